package organisation

import (
	"errors"
	"net/http"
	"strings"
)

// Header is the HTTP header that carries the key of a request, as a bearer token.
const Header = "Authorization"

// maxKeyBytes is the maximum length of a key in bytes.
const maxKeyBytes = 512

// Errors of KeyOf.
var (
	// ErrNoKey means that a request carries no key.
	ErrNoKey = errors.New("the request carries no key; send it as a bearer token")
	// ErrMalformed means that the header is not a single bearer token that can be a key.
	ErrMalformed = errors.New("the request does not carry exactly one valid bearer token")
)

// KeyOf returns the key that a request carries.
func KeyOf(h http.Header) (string, error) {
	values := h.Values(Header)
	if len(values) == 0 {
		return "", ErrNoKey
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if len(values) > 1 || !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", ErrMalformed
	}
	key = strings.Trim(key, " ")
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, invalidKeyRune) {
		return "", ErrMalformed
	}
	return key, nil
}

// invalidKeyRune reports whether a rune is not allowed in a key.
func invalidKeyRune(r rune) bool { return r <= ' ' || r > '~' }
