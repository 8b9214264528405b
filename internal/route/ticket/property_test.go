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
	"github.com/egretbend/egretbend/internal/standin/property"
)

// faultConfig selects the faults that a test injects.
type faultConfig struct {
	anyInstance   bool // an instance runs a ticket that it did not issue
	alteredExpiry bool // the caller alters the expiry in its ticket
}

const instances = 3

// fleet is a set of issuers and of callers who repeat requests at any instance. It counts how
// often each request ran.
type fleet struct {
	t       *rapid.T
	faults  faultConfig
	clock   *timer.Manual
	issuers []*ticket.Issuer

	issued []ticket.Ticket
	runs   map[ticket.Ticket]int
	open   []*ticket.Run
}

func newFleet(t *rapid.T, faults faultConfig) *fleet {
	f := &fleet{
		t:      t,
		faults: faults,
		clock:  &timer.Manual{},
		runs:   make(map[ticket.Ticket]int),
	}
	for i := range instances {
		f.issuers = append(f.issuers, f.newIssuer(i, 1))
	}
	return f
}

func (f *fleet) newIssuer(i int, incarnation uint64) *ticket.Issuer {
	return &ticket.Issuer{
		Address:     fmt.Sprintf("127.0.0.1:%d", 7000+i),
		Incarnation: incarnation,
		Timer:       f.clock,
	}
}

// send sends a ticket's request to an instance, which forwards it to the
// instance at the issuer's address.
func (f *fleet) send(t ticket.Ticket, at int) {
	key := t
	target := f.issuers[at]
	for _, issuer := range f.issuers {
		if issuer.Address == t.Address && !f.faults.anyInstance {
			target = issuer
		}
	}
	if f.faults.anyInstance {
		t.Address = target.Address
		t.Incarnation = target.Incarnation
		target.Issue(int(t.Number))
	}
	if f.faults.alteredExpiry {
		t.Expires = f.clock.Now().Add(time.Hour)
	}
	run, _, err := target.Use(t, 1)
	if run != nil {
		f.runs[key]++
		if f.runs[key] > 1 {
			f.t.Fatalf("request of ticket %v ran twice", key)
		}
		f.open = append(f.open, run)
		return
	}
	if err != nil && problem.From(err).Kind.Outcome == problem.NotRun && f.runs[key] > 0 {
		f.t.Fatalf("ticket %v ran but was reported as not run: %v", key, err)
	}
}

func (f *fleet) finish(pick int) {
	if len(f.open) == 0 {
		return
	}
	i := pick % len(f.open)
	f.open[i].Finish(&relay.Answer{
		Status: 200,
	}, nil)
	f.open = append(f.open[:i], f.open[i+1:]...)
}

// randomOperations issues tickets, sends and repeats requests, replaces instances and lets time
// pass, in random order.
func randomOperations(faults faultConfig) func(*rapid.T) {
	return func(t *rapid.T) {
		f := newFleet(t, faults)
		pick := rapid.IntRange(0, 1000)
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				f.issued = append(f.issued, f.issuers[pick.Draw(t, "issuer")%instances].Issue(1)...)
			},
			"ask": func(t *rapid.T) {
				if len(f.issued) > 0 {
					f.send(f.issued[pick.Draw(t, "ticket")%len(f.issued)], pick.Draw(t, "instance")%instances)
				}
			},
			"finish": func(t *rapid.T) { f.finish(pick.Draw(t, "run")) },
			"replace": func(t *rapid.T) {
				i := pick.Draw(t, "instance") % instances
				f.issuers[i] = f.newIssuer(i, f.issuers[i].Incarnation+1)
			},
			"wait": func(t *rapid.T) {
				f.clock.Advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "minutes")) * time.Minute)
			},
		})
	}
}

// A caller repeats a request at another instance, after the first one died, was
// replaced under the same address, or long after. Guards against running the request twice, and
// against reporting it as not run after it ran.
func TestTicketRunsAtMostOnce(t *testing.T) {
	property.Check(t, randomOperations(faultConfig{}))
}

// Checks that the test above finds the fault of an instance that runs a request under a ticket
// that it did not issue: the request runs twice if the issuer ran it already.
func TestTicketRunsTwiceIfAnyInstanceRunsIt(t *testing.T) {
	property.CheckFails(t, randomOperations(faultConfig{
		anyInstance: true,
	}))
}

// A caller alters the expiry in its ticket after the issuer has deleted the run, and only the
// order of the ticket numbers shows that the ticket is old. Guards against running the request
// again.
func TestAlteredExpiryDoesNotRunAgain(t *testing.T) {
	property.Check(t, randomOperations(faultConfig{
		alteredExpiry: true,
	}))
}
