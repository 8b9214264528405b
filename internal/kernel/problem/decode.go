package problem

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// ReadBody reads a request body of at most limit bytes. If reading fails with an *Error,
// it returns that.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, TooLarge.Withf("the body is larger than %d bytes", limit)
	}
	var typed *Error
	if errors.As(err, &typed) {
		return nil, typed
	}
	if err != nil {
		return nil, BadRequest.Withf("the body could not be read: %w", err)
	}
	return b, nil
}

// ReadJSON decodes a JSON request body of at most limit bytes into v and rejects
// unknown fields. If reading fails with an *Error, it returns that.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return TooLarge.Withf("the body is larger than %d bytes", limit)
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	if err != nil {
		return BadRequest.Withf("the body is not the expected JSON: %w", err)
	}
	return nil
}
