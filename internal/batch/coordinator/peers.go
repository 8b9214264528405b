package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/egretbend/egretbend/internal/batch/runner"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// serviceName is the RPC service that instances call each other by.
const serviceName = "Batch"

// Call is the request of a call about a batch. Item, After and Wait are set where
// the method uses them.
type Call struct {
	Batch string
	Item  string
	After int
	Wait  time.Duration
}

// Reply is the answer of another instance.
type Reply struct {
	// NotHere means that the instance does not run the batch.
	NotHere bool
	// Prepared means that the batch was begun and is not stored yet.
	Prepared bool
	// NoUpstream means that the batch was refused because all failure domains with engines for
	// it are evacuated.
	NoUpstream bool
	// NotAllowedBy is the version of the configuration by which the batch was refused because
	// the instance is not in an allowed region, and 0 if it was not.
	NotAllowedBy uint64
	Page         runner.Page
	Body         []byte
	Found        bool
}

// Server serves the calls of other instances.
type Server struct {
	coordinator *Coordinator
}

// Register registers the calls that other instances make to this one.
func (d *Coordinator) Register(s *peer.Server) error {
	return s.Register(serviceName, &Server{coordinator: d})
}

// setNotHere carries runner.ErrNotRunHere, the only error that callers act on, in a
// field, since errors are sent as text. It returns any other error.
func (r *Reply) setNotHere(err error) error {
	r.NotHere = errors.Is(err, runner.ErrNotRunHere)
	if r.NotHere {
		return nil
	}
	return err
}

// Read returns results of a batch that runs here.
func (s *Server) Read(c *Call, r *Reply) error {
	page, err := s.coordinator.readLocal(context.Background(), c.Batch, c.After, min(c.Wait, MaxReadWait))
	r.Page = page
	return r.setNotHere(err)
}

// Stored returns results of a batch, or the body of an item if the call names one,
// from memory if the batch runs here and else from the ledger.
func (s *Server) Stored(c *Call, r *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerReaderTimeout)
	defer cancel()
	if !s.coordinator.mayReadFor(ctx, c.Batch) {
		return errNotAllowedHere
	}
	var err error
	if c.Item == "" {
		if r.Page, err = s.coordinator.readLocal(ctx, c.Batch, c.After, 0); errors.Is(err, runner.ErrNotRunHere) {
			r.Page, err = s.coordinator.readStored(ctx, c.Batch, c.After)
		}
		return err
	}
	if r.Body, r.Found, err = s.coordinator.Runner.Body(c.Batch, c.Item); errors.Is(err, runner.ErrNotRunHere) {
		r.Body, r.Found, err = s.coordinator.bodyStored(ctx, c.Batch, c.Item)
	}
	return err
}

// Body returns the body of an item of a batch that runs here.
func (s *Server) Body(c *Call, r *Reply) error {
	body, ok, err := s.coordinator.Runner.Body(c.Batch, c.Item)
	r.Body = body
	r.Found = ok
	return r.setNotHere(err)
}

// End ends a batch that runs here.
func (s *Server) End(c *Call, r *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	return r.setNotHere(s.coordinator.Runner.End(ctx, c.Batch))
}

// Runs reports in Found whether the batch runs here.
func (s *Server) Runs(c *Call, r *Reply) error {
	r.Found = s.coordinator.Runner.Has(c.Batch)
	return nil
}

// Adopt begins a batch that this instance owns by the ledger.
func (s *Server) Adopt(c *Call, _ *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.coordinator.Adopt(ctx, c.Batch)
}

// Submit accepts a batch that another instance forwards.
func (s *Server) Submit(sub *submission.Submission, r *Reply) error {
	cfg := s.coordinator.Config.Current()
	if cfg == nil {
		return problem.NotReady.Withf("no configuration yet")
	}
	route, ok := cfg.Find(sub.Host, sub.Path)
	if !ok {
		return problem.NotFound.Withf("no route for %s%s", sub.Host, sub.Path)
	}
	// The caller waits a shorter time and then tries elsewhere. If this call gave up
	// with the caller, the batch might be stored with this instance as an owner that
	// does not know of it.
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	err := s.coordinator.Accept(ctx, sub, route)
	r.Prepared = errors.Is(err, ErrPrepared)
	r.NoUpstream = problem.Is(err, problem.NoUpstream)
	if problem.Is(err, problem.RegionsEmpty) || problem.Is(err, problem.RegionUnavailable) {
		r.NotAllowedBy = s.coordinator.Config.Current().Version
	}
	if r.Prepared || r.NoUpstream || r.NotAllowedBy > 0 {
		return nil
	}
	return err
}

// Hint records the owner of a batch.
func (s *Server) Hint(hint *OwnerHint, _ *Reply) error {
	s.coordinator.RecordOwner(*hint)
	return nil
}

// PeerClient implements Peers over the RPC client of the instances.
type PeerClient struct {
	Client *peer.Client
}

func (p *PeerClient) call(ctx context.Context, address, method string, c Call) (*Reply, error) {
	r := &Reply{}
	if err := p.Client.Call(ctx, address, serviceName+"."+method, &c, r); err != nil {
		return nil, err
	}
	if r.NotHere {
		return nil, runner.ErrNotRunHere
	}
	return r, nil
}

// Read implements Peers.
func (p *PeerClient) Read(ctx context.Context, address, id string, after int, wait time.Duration) (runner.Page, error) {
	r, err := p.call(ctx, address, "Read", Call{
		Batch: id,
		After: after,
		Wait:  wait,
	})
	if err != nil {
		return runner.Page{}, err
	}
	return r.Page, nil
}

// Stored implements Peers.
func (p *PeerClient) Stored(ctx context.Context, address, id, item string, after int) (runner.Page, []byte, bool, error) {
	r, err := p.call(ctx, address, "Stored", Call{
		Batch: id,
		Item:  item,
		After: after,
	})
	if err != nil {
		return runner.Page{}, nil, false, err
	}
	return r.Page, r.Body, r.Found, nil
}

// Body implements Peers.
func (p *PeerClient) Body(ctx context.Context, address, id, item string) ([]byte, bool, error) {
	r, err := p.call(ctx, address, "Body", Call{
		Batch: id,
		Item:  item,
	})
	if err != nil {
		return nil, false, err
	}
	return r.Body, r.Found, nil
}

// End implements Peers.
func (p *PeerClient) End(ctx context.Context, address, id string) error {
	_, err := p.call(ctx, address, "End", Call{
		Batch: id,
	})
	return err
}

// Runs implements Peers.
func (p *PeerClient) Runs(ctx context.Context, address, id string) bool {
	r, err := p.call(ctx, address, "Runs", Call{
		Batch: id,
	})
	// An instance that does not answer is dead or cut off, and counts as not
	// running the batch.
	return err == nil && r.Found
}

// Adopt implements Peers.
func (p *PeerClient) Adopt(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.call(ctx, address, "Adopt", Call{
		Batch: id,
	})
	return err
}

// Submit implements Peers.
func (p *PeerClient) Submit(ctx context.Context, address string, sub *submission.Submission) error {
	var r Reply
	err := p.Client.Call(ctx, address, serviceName+".Submit", sub, &r)
	if err != nil {
		return err
	}
	return r.submitError()
}

// submitError returns the error that the reply to a Submit stands for.
func (r *Reply) submitError() error {
	switch {
	case r.Prepared:
		return ErrPrepared
	case r.NoUpstream:
		return noUpstreamProblem()
	case r.NotAllowedBy > 0:
		return &notAllowedError{version: r.NotAllowedBy}
	}
	return nil
}

// Hint implements Peers.
func (p *PeerClient) Hint(ctx context.Context, address string, hint OwnerHint) error {
	var r Reply
	return p.Client.Call(ctx, address, serviceName+".Hint", &hint, &r)
}
