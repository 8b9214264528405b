package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/part"
)

// Request is one generation.
type Request struct {
	ID        string
	Attempt   string
	Model     string
	Prompt    string
	MaxTokens int
	Seed      uint64
	// Priority is higher for more urgent work.
	Priority int
	// Resume holds the tokens of earlier attempts; generation goes on after
	// them.
	Resume []string
}

// Token is one generated token.
type Token struct {
	Index   int
	Text    string
	Version version.Version
}

// Finish says how a generation ended.
type Finish struct {
	Reason string
	// Report is the load that the engine told with the end; nil if none.
	Report *Report
}

// Report is the load and state of an engine or service, in its own words. It
// may be late.
type Report struct {
	Running int             `json:"running"`
	Waiting int             `json:"waiting"`
	Slots   int             `json:"slots"`
	Version version.Version `json:"version"`
	// Fetched is the newest version whose weights the engine has at hand.
	Fetched     version.Version `json:"fetched"`
	Incarnation uint64          `json:"incarnation"`
	Leaving     bool            `json:"leaving"`
}

// Order tells an engine what state is wanted.
type Order struct {
	Action  Action          `json:"action"`
	Version version.Version `json:"version"`
	Source  string          `json:"source"`
	Fencing uint64          `json:"fencing"`
}

// Action is what an order asks for.
type Action string

// The actions.
const (
	ActionFetch  Action = "fetch"
	ActionSwitch Action = "switch"
)

// Adapter talks to engines of one protocol.
type Adapter interface {
	// Generate runs req and emits each token in order.
	Generate(ctx context.Context, address string, req Request, emit func(Token) error) (Finish, error)
	// Report asks for the load.
	Report(ctx context.Context, address string) (Report, error)
	// Order gives an order and returns when it is carried out or refused.
	Order(ctx context.Context, address string, o Order) error
}

// The ways in which a generation or an order can fail.
var (
	// ErrNotSent means that no byte of the request left.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken means that the stream ended before its end.
	ErrBroken = errors.New("the stream ended early")
	// ErrCut is an ErrBroken of a connection that was closed or reset before an
	// answer began.
	ErrCut = fmt.Errorf("%w, before an answer", ErrBroken)
	// ErrCrossed means that the answer belongs to another attempt.
	ErrCrossed = errors.New("the answer is for another attempt")
	// ErrMisdirected means that another upstream has the address now, or the
	// upstream has other weights than were expected. It did not run.
	ErrMisdirected = errors.New("the address belongs to another upstream")
	// ErrAttemptFailed means that the upstream ran the request and says that
	// it failed.
	ErrAttemptFailed = errors.New("the upstream ran the request and failed")
	// ErrImpossible means that no upstream will ever be able to run it.
	ErrImpossible = errors.New("the upstream says that the request can never be done")
	// ErrFenced means that the engine saw a higher fencing number.
	ErrFenced = errors.New("the order's fencing number is old")
)

// RefusedError means that the engine says it did not run the request.
type RefusedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "the upstream refused the request before running it" }

// Adapters holds the known engine protocols.
var Adapters part.Registry[Adapter]
