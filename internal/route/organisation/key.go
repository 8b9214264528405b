package organisation

import (
	"errors"
	"net/http"
	"strings"
)

// Header carries the key of a request, as a bearer token.
const Header = "Authorization"

// maxKey bounds a key; longer ones are no keys.
const maxKey = 512

// The ways in which a request can be without a key.
var (
	// ErrNoKey means that a request names no key.
	ErrNoKey = errors.New("the request carries no key; send it as a bearer token")
	// ErrMalformed means that what a request names can't be a key.
	ErrMalformed = errors.New("the key is not one bearer token")
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
	if key == "" || len(key) > maxKey || strings.ContainsFunc(key, unprintable) {
		return "", ErrMalformed
	}
	return key, nil
}

// unprintable reports whether a rune can't be part of a key.
func unprintable(r rune) bool { return r <= ' ' || r > '~' }
