package ticket

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/relay"
)

// How long tickets live.
const (
	// Life is the time in which a ticket may be used and asked about.
	Life = 10 * time.Minute
	// answerBytes bounds the answers that are kept for repeats.
	answerBytes = 64 << 20
)

// Book knows the tickets of this incarnation of this instance.
type Book struct {
	Address     string
	Incarnation uint64
	Timer       timer.Service

	mu      sync.Mutex
	next    uint64
	floor   uint64
	used    map[uint64]*Run
	byAge   []uint64
	stored  int
	answers []uint64
}

// Run is the one run of a ticket's request.
type Run struct {
	// Done is closed when the run has ended.
	Done <-chan struct{}

	done    chan struct{}
	book    *Book
	number  uint64
	expires timer.Instant
	print   uint64
	answer  *relay.Answer
	err     error
}

// Print is the fingerprint of a request, by which a repeat is told from
// another request under the same ticket.
func Print(method, deployment, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, deployment, path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Issue returns n new tickets.
func (b *Book) Issue(n int) []Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Ticket, 0, n)
	for range n {
		b.next++
		list = append(list, Ticket{
			Address:     b.Address,
			Incarnation: b.Incarnation,
			Number:      b.next,
			Expires:     b.Timer.Now().Add(Life),
		})
	}
	return list
}

// Mine reports whether this incarnation issued t.
func (b *Book) Mine(t Ticket) bool {
	return t.Address == b.Address && t.Incarnation == b.Incarnation
}

// Use begins the run of a ticket's request, or finds the run that a request
// before began. Errors: problem.TicketHolderGone, .TicketExpired,
// .TicketMismatch, .BadRequest.
func (b *Book) Use(t Ticket, print uint64) (run, earlier *Run, err error) {
	if !b.Mine(t) {
		return nil, nil, problem.TicketHolderGone.Withf("the ticket is of an earlier incarnation of %s", t.Address)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep()
	if t.Number == 0 || t.Number > b.next {
		return nil, nil, problem.BadRequest.Withf("ticket %v was never issued", t)
	}
	if old, ok := b.used[t.Number]; ok {
		if old.print != print {
			return nil, nil, problem.TicketMismatch.Withf("ticket %v was used for another request", t)
		}
		return nil, old, nil
	}
	// A used ticket is remembered until it has expired; so one that is neither
	// remembered nor expired was never used. Tickets expire in the order of
	// their numbers: the floor holds also for one whose time was altered.
	if b.Timer.Now() >= t.Expires || t.Number <= b.floor {
		return nil, nil, problem.TicketExpired.Withf("ticket %v has expired", t)
	}
	return b.begin(t, print), nil, nil
}

func (b *Book) begin(t Ticket, print uint64) *Run {
	done := make(chan struct{})
	run := &Run{
		Done:    done,
		done:    done,
		book:    b,
		number:  t.Number,
		expires: t.Expires,
		print:   print,
	}
	if b.used == nil {
		b.used = make(map[uint64]*Run)
	}
	b.used[t.Number] = run
	b.byAge = append(b.byAge, t.Number)
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
		b.stored += len(answer.Body)
		b.answers = append(b.answers, r.number)
	}
	b.trim()
	close(r.done)
}

// Result returns what Finish was given. It must be called after Done. An
// answer that is no longer kept is told as unknown, never run again.
func (r *Run) Result() (*relay.Answer, error) {
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	if r.answer == nil && r.err == nil {
		return nil, problem.TicketExpired.Withf("the request was answered, but its answer is no longer kept")
	}
	return r.answer, r.err
}

// sweep forgets runs whose ticket expired a full life ago.
func (b *Book) sweep() {
	now := b.Timer.Now()
	for len(b.byAge) > 0 {
		run, ok := b.used[b.byAge[0]]
		if ok && now < run.expires.Add(Life) {
			return
		}
		if ok && run.answer != nil {
			b.stored -= len(run.answer.Body)
		}
		b.floor = max(b.floor, b.byAge[0])
		delete(b.used, b.byAge[0])
		b.byAge = b.byAge[1:]
	}
}

// trim drops the oldest answers when too much is kept. That the request ran
// stays known.
func (b *Book) trim() {
	for b.stored > answerBytes && len(b.answers) > 1 {
		if run, ok := b.used[b.answers[0]]; ok && run.answer != nil {
			b.stored -= len(run.answer.Body)
			run.answer = nil
		}
		b.answers = b.answers[1:]
	}
}
