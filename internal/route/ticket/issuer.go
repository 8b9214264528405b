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
	// the runs with an answer, in the order in which they ended.
	storedBytes int
	answerOrder []uint64
}

// Run is the only run of a ticket's request.
type Run struct {
	// Done is closed when the run has ended.
	Done <-chan struct{}

	done        chan struct{}
	issuer      *Issuer
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
func (i *Issuer) Issue(n int) []Ticket {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := make([]Ticket, 0, n)
	for range n {
		i.lastIssued++
		list = append(list, Ticket{
			Address:     i.Address,
			Incarnation: i.Incarnation,
			Number:      i.lastIssued,
			Expires:     i.Timer.Now().Add(TTL),
		})
	}
	return list
}

// Issued reports whether this incarnation of the instance issued t.
func (i *Issuer) Issued(t Ticket) bool {
	return t.Address == i.Address && t.Incarnation == i.Incarnation
}

// Use starts the run of a ticket's request, or returns the earlier run if the ticket was used
// before for the same request. Errors: problem.TicketHolderGone, .TicketExpired,
// .TicketMismatch, .BadRequest.
func (i *Issuer) Use(t Ticket, fingerprint uint64) (run, earlier *Run, err error) {
	if !i.Issued(t) {
		return nil, nil, problem.TicketHolderGone.Withf("the ticket is of an earlier incarnation of %s", t.Address)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expireRuns()
	if t.Number == 0 || t.Number > i.lastIssued {
		return nil, nil, problem.BadRequest.Withf("ticket %v was never issued", t)
	}
	if earlierRun, ok := i.runs[t.Number]; ok {
		if earlierRun.fingerprint != fingerprint {
			return nil, nil, problem.TicketMismatch.Withf("ticket %v was used for another request", t)
		}
		return nil, earlierRun, nil
	}
	// The run of a used ticket is kept until the ticket has expired, so a ticket without a run
	// that has not expired was never used. Tickets expire in the order of their numbers, so
	// forgottenThrough also rejects a ticket whose expiry the caller altered.
	if i.Timer.Now() >= t.Expires || t.Number <= i.forgottenThrough {
		return nil, nil, problem.TicketExpired.Withf("ticket %v has expired", t)
	}
	return i.startRun(t, fingerprint), nil, nil
}

// startRun adds a run for t. The caller holds i.mu.
func (i *Issuer) startRun(t Ticket, fingerprint uint64) *Run {
	done := make(chan struct{})
	run := &Run{
		Done:        done,
		done:        done,
		issuer:      i,
		number:      t.Number,
		expires:     t.Expires,
		fingerprint: fingerprint,
	}
	if i.runs == nil {
		i.runs = make(map[uint64]*Run)
	}
	i.runs[t.Number] = run
	i.runOrder = append(i.runOrder, t.Number)
	return run
}

// Finish ends the run with its result, which all repeats get.
func (r *Run) Finish(answer *relay.Answer, err error) {
	i := r.issuer
	i.mu.Lock()
	defer i.mu.Unlock()
	r.answer = answer
	r.err = err
	if answer != nil {
		i.storedBytes += len(answer.Body)
		i.answerOrder = append(i.answerOrder, r.number)
	}
	i.evictAnswers()
	close(r.done)
}

// Result returns the result given to Finish. It must be called after Done is closed. If the
// answer is no longer kept, the outcome is reported as unknown and the request is not run
// again.
func (r *Run) Result() (*relay.Answer, error) {
	r.issuer.mu.Lock()
	defer r.issuer.mu.Unlock()
	if r.answer == nil && r.err == nil {
		return nil, problem.TicketExpired.Withf("the request was answered, but its answer is no longer kept")
	}
	return r.answer, r.err
}

// expireRuns deletes the runs whose ticket expired at least TTL ago. The caller holds i.mu.
func (i *Issuer) expireRuns() {
	now := i.Timer.Now()
	for len(i.runOrder) > 0 {
		run, ok := i.runs[i.runOrder[0]]
		if ok && now < run.expires.Add(TTL) {
			return
		}
		if ok && run.answer != nil {
			i.storedBytes -= len(run.answer.Body)
		}
		i.forgottenThrough = max(i.forgottenThrough, i.runOrder[0])
		delete(i.runs, i.runOrder[0])
		i.runOrder = i.runOrder[1:]
	}
}

// evictAnswers deletes the oldest answers while they exceed maxAnswerBytes, except the last one.
// The runs are kept, so that the requests don't run again. The caller holds i.mu.
func (i *Issuer) evictAnswers() {
	for i.storedBytes > maxAnswerBytes && len(i.answerOrder) > 1 {
		if run, ok := i.runs[i.answerOrder[0]]; ok && run.answer != nil {
			i.storedBytes -= len(run.answer.Body)
			run.answer = nil
		}
		i.answerOrder = i.answerOrder[1:]
	}
}
