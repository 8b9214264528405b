package problem

import (
	"errors"
	"fmt"
	"time"
)

// Error is one occurrence of a Kind with its cause. It is immutable.
type Error struct {
	Kind       Kind
	Cause      error
	RetryAfter time.Duration
}

// With returns an error of this kind with a cause.
func (k Kind) With(cause error) *Error {
	return &Error{
		Kind:  k,
		Cause: cause,
	}
}

// Withf returns an error of this kind with a formatted cause.
func (k Kind) Withf(format string, args ...any) *Error {
	return k.With(fmt.Errorf(format, args...))
}

// Error implements error. The text contains the code, the cause and the remedy.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Kind.Code, e.Kind.Remedy)
	}
	return fmt.Sprintf("%s: %v; remedy: %s", e.Kind.Code, e.Cause, e.Kind.Remedy)
}

// message returns the message for a response body, which carries the code and the
// remedy in fields of their own.
func (e *Error) message() string {
	if e.Cause == nil {
		return e.Kind.Code
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter returns a copy that tells the client how long to wait before it
// retries.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithOutcome returns a copy with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Kind.Outcome = o
	return &c
}

// From returns the *Error in the chain of err, or Internal with err as its cause.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Internal.With(err)
}

// Is reports whether the chain of err contains an *Error of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind.Code == k.Code
}
