package kvfallback

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// outageTimeout is how long the other instances may take to say whether they reach the service.
const outageTimeout = 400 * time.Millisecond

// Outage finds out whether the service is down for all instances, or whether this instance is
// partitioned from it and others may reach it.
type Outage struct {
	Peers Peers
	// Domains returns the addresses of some other instances of each failure domain. It
	// leaves out the domain of this instance if there are others: instances of one domain
	// are partitioned together.
	Domains func() [][]string
	Timer   timer.Service

	inquiries singleflight.Group
}

// inquiry is the outcome of asking the other instances.
type inquiry struct {
	at   timer.Instant
	down bool
}

// Confirmed asks other instances, and reports whether in each failure domain at least one answers
// and none reaches the service. It returns the time up to which the service is known to have been
// down. It is true if there are no other instances.
func (o *Outage) Confirmed(ctx context.Context) (timer.Instant, bool) {
	result := o.inquiries.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outageTimeout)
		defer cancel()
		return o.ask(ctx), nil
	})
	select {
	case r := <-result:
		found := r.Val.(inquiry)
		return found.at, found.down
	case <-ctx.Done():
		return 0, false
	}
}

// ask asks the instances of all failure domains at the same time.
func (o *Outage) ask(ctx context.Context) inquiry {
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := o.Timer.Now()
	found := inquiry{
		at:   began,
		down: true,
	}
	for _, addresses := range o.Domains() {
		wg.Go(func() {
			age, down := o.askDomain(ctx, addresses)
			mu.Lock()
			defer mu.Unlock()
			found.down = found.down && down
			found.at = min(found.at, began.Add(-age))
		})
	}
	wg.Wait()
	return found
}

// askDomain reports whether instances of a failure domain answer and none of them reaches the
// service, and how old the latest evidence is.
func (o *Outage) askDomain(ctx context.Context, addresses []string) (age time.Duration, down bool) {
	answers := make(chan Reply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := o.Peers.Call(ctx, address, Call{Kind: KindGet, Key: outageProbeKey})
			if err != nil {
				reply.Failure = failureNoAnswer
			}
			answers <- reply // the channel has room for all
		}()
	}
	for range addresses {
		switch r := <-answers; r.Failure {
		case failureNoAnswer:
		case FailureDown, FailureLost:
			a := time.Duration(r.DownForMS) * time.Millisecond
			if !down || a < age {
				age = a
			}
			down = true
		default:
			return 0, false
		}
	}
	return age, down
}

// outageProbeKey is the key that is read to find out whether the service answers. It need not
// exist.
const outageProbeKey = "egretbend/probe"

// failureNoAnswer stands for an instance that does not answer.
const failureNoAnswer Failure = -1
