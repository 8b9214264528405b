package ticket

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/relay"
)

// Limits of an Issuer.
const (
	// TTL is how long a ticket may be used after its issue. Its run is kept for another TTL
	// after that.
	TTL = 10 * time.Minute
	// maxAnswerBytes bounds the total size of the answers that are kept for repeats.
	maxAnswerBytes = 64 << 20
)

// Issuer issues tickets and keeps the runs of their requests, for one incarnation of an instance.
type Issuer struct {
	Address     string
	Incarnation uint64
	Timer       timer.Service

	mu sync.Mutex
	// lastIssued is the number of the last ticket issued.
	lastIssued uint64
	// forgottenThrough is the highest ticket number whose run was forgotten.
	forgottenThrough uint64
	// runs are the kept runs by ticket number, and runOrder these numbers in order of first use.
	runs     map[uint64]*Run
	runOrder []uint64
	// storedBytes is the total size of the kept answers, and answerOrder the ticket numbers of
	// the runs with an answer in order of their end.
	storedBytes int
	answerOrder []uint64
}

// Run is the only run of a ticket's request.
type Run struct {
	// Done is closed when the run has ended.
	Done <-chan struct{}

	done        chan struct{}
	book        *Issuer
	number      uint64
	expires     timer.Instant
	fingerprint uint64
	answer      *relay.Answer
	err         error
}

// Fingerprint returns the fingerprint of a request, which distinguishes a repeat from another
// request with the same ticket.
func Fingerprint(method, deployment, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, deployment, path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Issue returns n new tickets.
func (b *Issuer) Issue(n int) []Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Ticket, 0, n)
	for range n {
		b.lastIssued++
		list = append(list, Ticket{
			Address:     b.Address,
			Incarnation: b.Incarnation,
			Number:      b.lastIssued,
			Expires:     b.Timer.Now().Add(TTL),
		})
	}
	return list
}

// Issued reports whether this incarnation of the instance issued t.
func (b *Issuer) Issued(t Ticket) bool {
	return t.Address == b.Address && t.Incarnation == b.Incarnation
}

// Use starts the run of a ticket's request, or returns the earlier run if the ticket was used
// before for the same request. Errors: problem.TicketHolderGone, .TicketExpired,
// .TicketMismatch, .BadRequest.
func (b *Issuer) Use(t Ticket, fingerprint uint64) (run, earlier *Run, err error) {
	if !b.Issued(t) {
		return nil, nil, problem.TicketHolderGone.Withf("the ticket is of an earlier incarnation of %s", t.Address)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireRuns()
	if t.Number == 0 || t.Number > b.lastIssued {
		return nil, nil, problem.BadRequest.Withf("ticket %v was never issued", t)
	}
	if earlierRun, ok := b.runs[t.Number]; ok {
		if earlierRun.fingerprint != fingerprint {
			return nil, nil, problem.TicketMismatch.Withf("ticket %v was used for another request", t)
		}
		return nil, earlierRun, nil
	}
	// The run of a used ticket is kept until the ticket has expired, so a ticket without a run
	// that has not expired was never used. Tickets expire in the order of their numbers, so
	// forgottenThrough also rejects a ticket whose expiry the caller altered.
	if b.Timer.Now() >= t.Expires || t.Number <= b.forgottenThrough {
		return nil, nil, problem.TicketExpired.Withf("ticket %v has expired", t)
	}
	return b.startRun(t, fingerprint), nil, nil
}

// startRun adds a run for t. The caller holds b.mu.
func (b *Issuer) startRun(t Ticket, fingerprint uint64) *Run {
	done := make(chan struct{})
	run := &Run{
		Done:        done,
		done:        done,
		book:        b,
		number:      t.Number,
		expires:     t.Expires,
		fingerprint: fingerprint,
	}
	if b.runs == nil {
		b.runs = make(map[uint64]*Run)
	}
	b.runs[t.Number] = run
	b.runOrder = append(b.runOrder, t.Number)
	return run
}

// Finish ends the run with its result, which all repeats get.
func (r *Run) Finish(answer *relay.Answer, err error) {
	b := r.book
	b.mu.Lock()
	defer b.mu.Unlock()
	r.answer = answer
	r.err = err
	if answer != nil {
		b.storedBytes += len(answer.Body)
		b.answerOrder = append(b.answerOrder, r.number)
	}
	b.evictAnswers()
	close(r.done)
}

// Result returns the result given to Finish. It must be called after Done is closed. If the
// answer is no longer kept, the outcome is reported as unknown and the request is not run
// again.
func (r *Run) Result() (*relay.Answer, error) {
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	if r.answer == nil && r.err == nil {
		return nil, problem.TicketExpired.Withf("the request was answered, but its answer is no longer kept")
	}
	return r.answer, r.err
}

// expireRuns deletes the runs whose ticket expired at least TTL ago. The caller holds b.mu.
func (b *Issuer) expireRuns() {
	now := b.Timer.Now()
	for len(b.runOrder) > 0 {
		run, ok := b.runs[b.runOrder[0]]
		if ok && now < run.expires.Add(TTL) {
			return
		}
		if ok && run.answer != nil {
			b.storedBytes -= len(run.answer.Body)
		}
		b.forgottenThrough = max(b.forgottenThrough, b.runOrder[0])
		delete(b.runs, b.runOrder[0])
		b.runOrder = b.runOrder[1:]
	}
}

// evictAnswers deletes the oldest answers while they exceed maxAnswerBytes, except the last one.
// The runs are kept, so that the requests don't run again. The caller holds b.mu.
func (b *Issuer) evictAnswers() {
	for b.storedBytes > maxAnswerBytes && len(b.answerOrder) > 1 {
		if run, ok := b.runs[b.answerOrder[0]]; ok && run.answer != nil {
			b.storedBytes -= len(run.answer.Body)
			run.answer = nil
		}
		b.answerOrder = b.answerOrder[1:]
	}
}
