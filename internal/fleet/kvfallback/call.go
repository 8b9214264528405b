package kvfallback

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Kind is one operation of the key-value service.
type Kind int

// The operations of the key-value service.
const (
	KindGet Kind = iota
	KindRange
	KindWatch
	KindCommit
	KindGrant
	KindKeepAlive
	KindRevoke
)

var kindNames = [...]string{"get", "range", "watch", "commit", "grant", "keep_alive", "revoke"}

// String returns the name of the kind.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("kind %d", int(k))
	}
	return kindNames[k]
}

// Call is a call of the key-value service that another instance can make. Each kind
// uses some of the fields.
type Call struct {
	Kind Kind
	// Key is the prefix for KindRange and KindWatch.
	Key   string
	Stale bool
	After uint64
	// WaitMS is the wait of KindWatch and the length of the lease of KindGrant.
	WaitMS      int64
	Lease       uint64
	Transaction keyvalue.Transaction
}

// keys returns the keys whose values the call or its answer may hold.
func (c *Call) keys() []string {
	keys := []string{c.Key}
	for _, e := range c.Transaction.Expects {
		keys = append(keys, e.Key)
	}
	for _, w := range c.Transaction.Writes {
		keys = append(keys, w.Key)
	}
	return keys
}

// Reply is the answer to a Call.
type Reply struct {
	Item     keyvalue.Item
	Listing  keyvalue.Listing
	Changes  []keyvalue.Change
	Revision uint64
	Lease    uint64
	Failure  Failure
	Text     string
	// Compared holds the items of a *keyvalue.ConflictError.
	Compared []keyvalue.Item
	// DownForMS is how long ago the last call that failed began, if this call was rejected
	// without trying the service.
	DownForMS int64
}

// Failure is the code of an error in messages between instances.
type Failure int

// The failures of calls.
const (
	FailureNone Failure = iota
	FailureNotFound
	FailureConflict
	FailureLeaseGone
	FailureCompacted
	FailureBusy
	FailureDown
	FailureLost
	FailureInvalid
)

var failures = map[Failure]error{
	FailureNotFound:  keyvalue.ErrNotFound,
	FailureLeaseGone: keyvalue.ErrLeaseGone,
	FailureCompacted: keyvalue.ErrCompacted,
	FailureBusy:      keyvalue.ErrRateLimited,
	FailureDown:      keyvalue.ErrUnavailable,
	FailureInvalid:   keyvalue.ErrInvalid,
}

// failureOf returns the code of an error. An unknown error is FailureLost: the call
// may have taken effect.
func failureOf(err error) Failure {
	if err == nil {
		return FailureNone
	}
	if errors.Is(err, keyvalue.ErrConflict) {
		return FailureConflict
	}
	for f, e := range failures {
		if errors.Is(err, e) {
			return f
		}
	}
	return FailureLost
}

// Err returns the answer's error.
func (r Reply) Err() error {
	switch r.Failure {
	case FailureNone:
		return nil
	case FailureConflict:
		return &keyvalue.ConflictError{
			Items: r.Compared,
		}
	}
	err, ok := failures[r.Failure]
	if !ok {
		err = keyvalue.ErrOutcomeUnknown
	}
	return &remoteError{
		kind: err,
		text: r.Text,
	}
}

// remoteError is an error that another instance reported.
type remoteError struct {
	kind error
	text string
}

// Error implements error.
func (e *remoteError) Error() string {
	if e.text == "" {
		return e.kind.Error()
	}
	return e.text
}

// Unwrap returns the error of package keyvalue.
func (e *remoteError) Unwrap() error { return e.kind }

// timeout returns how long the call may take on one path. usual is the timeout of all
// kinds but KindRange.
func (c Call) timeout(usual time.Duration) time.Duration {
	if c.Kind == KindRange {
		return listTimeout
	}
	return usual
}

// transferTime returns how long the values of a transaction take to another instance.
func (c Call) transferTime() time.Duration {
	size := 0
	for _, w := range c.Transaction.Writes {
		size += len(w.Value)
	}
	return time.Duration(size) * time.Second / peerBytesPerSecond
}

// MakeAt makes the call to a key-value service and returns its result and error.
func (c Call) MakeAt(ctx context.Context, s keyvalue.TransactionalStore) Reply {
	var reply Reply
	var err error
	wait := time.Duration(c.WaitMS) * time.Millisecond
	switch c.Kind {
	case KindGet:
		reply.Item, err = s.Get(ctx, c.Key)
	case KindRange:
		reply.Listing, err = s.Range(ctx, c.Key, keyvalue.Consistency(c.Stale))
	case KindWatch:
		reply.Changes, reply.Revision, err = s.Watch(ctx, c.Key, c.After, wait)
	case KindCommit:
		reply.Revision, err = s.Commit(ctx, c.Transaction)
	case KindGrant:
		reply.Lease, err = s.Grant(ctx, wait)
	case KindKeepAlive:
		err = s.KeepAlive(ctx, c.Lease)
	case KindRevoke:
		err = s.Revoke(ctx, c.Lease)
	}
	reply.Failure = failureOf(err)
	if err != nil {
		reply.Text = err.Error()
	}
	var conflict *keyvalue.ConflictError
	if errors.As(err, &conflict) {
		reply.Compared = conflict.Items
	}
	return reply
}

// receiver is the name under which Server is registered for calls between instances.
const receiver = "Detour"

// Server makes calls to the service for other instances.
type Server struct {
	store *Store
}

// Register lets other instances call the service through this one, which uses its
// direct path only.
func (s *Store) Register(server *peer.Server) error {
	return server.Register(receiver, &Server{
		store: s,
	})
}

// Call makes one call. It fails at once while the direct path is known to be broken.
func (s *Server) Call(c *Call, reply *Reply) error {
	if !s.store.TriesDirectFirst() {
		reply.Failure = FailureDown
		reply.DownForMS = s.store.sinceDirectFailed().Milliseconds()
		return nil
	}
	timeout := c.timeout(peerTimeout) + c.transferTime()
	if c.Kind == KindWatch {
		timeout += peerWatchWait
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := s.store.Timer.Now()
	*reply = c.MakeAt(ctx, s.store.Direct)
	if c.Kind != KindWatch {
		s.store.recordDirect(reply.Err(), began)
	}
	return nil
}

// PeerClient implements Peers.
type PeerClient struct {
	Client *peer.Client
}

// Call implements Peers.
func (p *PeerClient) Call(ctx context.Context, address string, c Call) (Reply, error) {
	var reply Reply
	err := p.Client.Call(ctx, address, receiver+".Call", &c, &reply)
	if err != nil {
		return reply, fmt.Errorf("%w: %w", keyvalue.ErrOutcomeUnknown, err)
	}
	return reply, nil
}
