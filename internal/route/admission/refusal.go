package admission

import (
	"hash/maphash"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// refusedRequest is a request that the gate refused.
type refusedRequest struct {
	hash uint64
	at   timer.Instant
}

// refuse returns the refusal of a request and remembers it.
func (g *Gate) refuse(r *Request, reason string, wait time.Duration, now timer.Instant) Refusal {
	if r.ID != "" {
		g.refused[g.refusedNext] = refusedRequest{
			hash: g.hash(r.ID),
			at:   now,
		}
		g.refusedNext = (g.refusedNext + 1) % refusedMemory
	}
	return Refusal{
		Reason:       reason,
		Waiting:      g.queues[r.Class].length,
		Window:       g.Window(r.Class, now),
		ExpectedWait: wait,
		RetryAfter:   Jitter(min(max(wait, minRetryAfter), maxRetryAfter), g.Random()),
	}
}

func (g *Gate) hash(id string) uint64 {
	if g.seed == (maphash.Seed{}) {
		g.seed = maphash.MakeSeed()
	}
	return maphash.String(g.seed, id)
}

// wasRefused reports whether the gate refused this request within refusedFor. Such a request
// often has less time left than those that wait, but must not overtake them.
func (g *Gate) wasRefused(r *Request, now timer.Instant) bool {
	if r.ID == "" {
		return false
	}
	hash := g.hash(r.ID)
	for _, f := range g.refused {
		if f.hash == hash && now.Sub(f.at) < refusedFor {
			return true
		}
	}
	return false
}
