package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/part"
)

// Request describes one generation.
type Request struct {
	ID        string
	Attempt   string
	Model     string
	Prompt    string
	MaxTokens int
	Seed      uint64
	// Priority is higher for more urgent work.
	Priority int
	// Resume holds the tokens of earlier attempts; generation continues after
	// them.
	Resume []string
}

// Token is one generated token.
type Token struct {
	Index   int
	Text    string
	Version version.Version
}

// Finish describes how a generation ended.
type Finish struct {
	Reason string
	// Report is the last load report that the engine sent in the stream, or nil
	// if there was none.
	Report *LoadReport
}

// LoadReport is the load and state of an engine or service as reported by itself. It may
// be out of date.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// SlowdownPercent is how long work takes at this moment relative to its usual time, which
	// is 100, on a machine that the engine shares with others; 0 if the engine does not say.
	SlowdownPercent int             `json:"slowdown_percent,omitempty"`
	Version         version.Version `json:"version"`
	// Fetched is the newest version whose weights the engine has fetched.
	Fetched     version.Version `json:"fetched"`
	Incarnation uint64          `json:"incarnation"`
	Leaving     bool            `json:"leaving"`
}

// Order is a command to an engine to fetch the weights of a version or to switch to
// it.
type Order struct {
	Action       Action          `json:"action"`
	Version      version.Version `json:"version"`
	Source       string          `json:"source"`
	FencingToken uint64          `json:"fencing"`
}

// Action is the kind of an Order.
type Action string

// The actions of orders.
const (
	ActionFetch  Action = "fetch"
	ActionSwitch Action = "switch"
)

// Adapter is a client for engines of one protocol.
type Adapter interface {
	// Generate runs req and calls emit for each token in order.
	Generate(ctx context.Context, address string, req Request, emit func(Token) error) (Finish, error)
	// Report queries the engine's load and state.
	Report(ctx context.Context, address string) (LoadReport, error)
	// Order sends an order and returns when it has been carried out or refused.
	Order(ctx context.Context, address string, order Order) error
}

// Errors of generations and orders.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("the request was not sent")
	// ErrWithdrawn means that no byte of the request was sent, because its upstream may not
	// receive it any more. It says nothing about the upstream's health.
	ErrWithdrawn = errors.New("the request was withdrawn before it was sent")
	// ErrIncompleteResponse means that the request was sent, but that no complete and
	// valid response arrived. The upstream may have run it.
	ErrIncompleteResponse = errors.New("the stream ended early")
	// ErrConnectionLost is an ErrIncompleteResponse whose connection was closed or reset
	// before the response began.
	ErrConnectionLost = fmt.Errorf("%w, before a response", ErrIncompleteResponse)
	// ErrWrongAttempt means that the response belongs to another attempt.
	ErrWrongAttempt = errors.New("the response is for another attempt")
	// ErrMisdirected means that the address now belongs to another upstream, or
	// that the upstream has other weights than expected. The request was not run.
	ErrMisdirected = errors.New("the address belongs to another upstream, or the upstream has other weights than expected")
	// ErrAttemptFailed means that the upstream ran the request and reported that
	// it failed.
	ErrAttemptFailed = errors.New("the upstream ran the request and failed")
	// ErrUnservable means that no upstream will ever be able to run the request.
	ErrUnservable = errors.New("the upstream reports that the request can never be run")
	// ErrStaleFencingToken means that the engine has seen a higher fencing token.
	ErrStaleFencingToken = errors.New("the order has a stale fencing token")
)

// RefusedError means that the upstream refused the request and guarantees that it did
// not run it. RetryAfter is zero when the upstream gave no time.
type RefusedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "the upstream refused the request before running it" }

// Adapters holds the adapters by the name of their protocol.
var Adapters part.Registry[Adapter]
