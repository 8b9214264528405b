package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/relay"
	"github.com/egretbend/egretbend/internal/route/ticket"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

// mechanisms are what the proofs switch off, one at a time.
type mechanisms struct {
	anyInstance bool // an instance runs a ticket that it did not issue
	trueExpiry  bool // the caller may alter the time in its ticket
}

const instances = 3

// world is a fleet of books, callers who ask again anywhere, and an oracle:
// how often each request ran.
type world struct {
	t     *rapid.T
	off   mechanisms
	clock *timer.Manual
	books []*ticket.Book

	issued []ticket.Ticket
	runs   map[ticket.Ticket]int
	open   []*ticket.Run
}

func newWorld(t *rapid.T, off mechanisms) *world {
	w := &world{
		t:     t,
		off:   off,
		clock: &timer.Manual{},
		runs:  make(map[ticket.Ticket]int),
	}
	for i := range instances {
		w.books = append(w.books, w.book(i, 1))
	}
	return w
}

func (w *world) book(i int, incarnation uint64) *ticket.Book {
	return &ticket.Book{
		Address:     fmt.Sprintf("127.0.0.1:%d", 7000+i),
		Incarnation: incarnation,
		Timer:       w.clock,
	}
}

// ask sends a ticket's request to an instance, which passes it on to the
// instance at the issuer's address.
func (w *world) ask(t ticket.Ticket, at int) {
	key := t
	target := w.books[at]
	for _, b := range w.books {
		if b.Address == t.Address && !w.off.anyInstance {
			target = b
		}
	}
	if w.off.anyInstance {
		t.Address = target.Address
		t.Incarnation = target.Incarnation
		target.Issue(int(t.Number))
	}
	if w.off.trueExpiry {
		t.Expires = w.clock.Now().Add(time.Hour)
	}
	run, _, err := target.Use(t, 1)
	if run != nil {
		w.runs[key]++
		if w.runs[key] > 1 {
			w.t.Fatalf("request of ticket %v ran twice", key)
		}
		w.open = append(w.open, run)
		return
	}
	if err != nil && problem.From(err).Kind.Outcome == problem.NotRun && w.runs[key] > 0 {
		w.t.Fatalf("ticket %v ran and was told not run: %v", key, err)
	}
}

func (w *world) finish(pick int) {
	if len(w.open) == 0 {
		return
	}
	i := pick % len(w.open)
	w.open[i].Finish(&relay.Answer{
		Status: 200,
	}, nil)
	w.open = append(w.open[:i], w.open[i+1:]...)
}

// history drives a world through issues, repeats, deaths and long waits.
func history(off mechanisms) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, off)
		pick := rapid.IntRange(0, 1000)
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				w.issued = append(w.issued, w.books[pick.Draw(t, "issuer")%instances].Issue(1)...)
			},
			"ask": func(t *rapid.T) {
				if len(w.issued) > 0 {
					w.ask(w.issued[pick.Draw(t, "ticket")%len(w.issued)], pick.Draw(t, "instance")%instances)
				}
			},
			"finish": func(t *rapid.T) { w.finish(pick.Draw(t, "run")) },
			"replace": func(t *rapid.T) {
				i := pick.Draw(t, "instance") % instances
				w.books[i] = w.book(i, w.books[i].Incarnation+1)
			},
			"wait": func(t *rapid.T) {
				w.clock.Advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "minutes")) * time.Minute)
			},
		})
	}
}

// A caller asks again at another instance, after the first one died, was
// replaced under the same address, or long after. It would notice a hide that
// is cut twice, or one that was cut though it was told "not run".
func TestTicketRunsAtMostOnce(t *testing.T) {
	proof.Check(t, history(mechanisms{}))
}

// An instance that runs a request under another one's ticket runs it a second
// time when the first one did already.
func TestTicketRunsTwiceWhenAnyInstanceHonoursIt(t *testing.T) {
	proof.Refute(t, history(mechanisms{
		anyInstance: true,
	}))
}

// A caller alters the time in its ticket. The book forgot the run, and only
// the order of the numbers tells that the ticket is an old one.
func TestAlteredExpiryDoesNotRunAgain(t *testing.T) {
	proof.Check(t, history(mechanisms{
		trueExpiry: true,
	}))
}
