package standby

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

var ownerA = ledger.Owner{
	Instance:    "a",
	Incarnation: "1",
	Address:     "a:1",
}

// book is the work of an owner as a test writes it: one batch of some items.
type book struct {
	texts map[string][]string
	ends  map[string]submission.Result
	over  bool
}

// Busy implements Work.
func (b *book) Busy() bool { return !b.over }

// Changes implements Work.
func (b *book) Changes(had Marks) ([]string, []Delta, Marks) {
	if b.over {
		return nil, nil, Marks{}
	}
	d := Delta{
		Batch: "b",
		Whole: had["b"] == nil,
	}
	marks := make(map[string]int)
	for id, text := range b.texts {
		end, done := b.ends[id]
		mark := had["b"][id]
		switch {
		case done:
			marks[id] = Done
			if mark != Done {
				from := min(max(0, mark), len(text))
				end.Text = ""
				d.Pieces = append(d.Pieces, Piece{
					Item:   id,
					From:   from,
					Events: slices.Clone(text[from:]),
					Result: &end,
				})
			}
		default:
			marks[id] = len(text)
			from := mark
			if mark > len(text) {
				from = 0
			}
			d.Pieces = append(d.Pieces, Piece{
				Item:   id,
				From:   from,
				Events: slices.Clone(text[from:]),
			})
		}
	}
	return []string{"b"}, []Delta{d}, Marks{"b": marks}
}

// change changes an item, unless it has ended.
func (b *book) change(id, what string, n int) {
	if _, done := b.ends[id]; done {
		return
	}
	switch what {
	case "event":
		b.texts[id] = append(b.texts[id], fmt.Sprint(n))
	case "restart":
		b.texts[id] = nil
	case "end":
		b.ends[id] = submission.Result{
			Item: id,
			Text: submission.TextOf(b.texts[id]),
		}
	}
}

// link is the path to one successor. Its messages get lost, or their answers do.
type link struct {
	Peers
	copies *Copies
	clock  timer.Service
	// fails says what becomes of the next message.
	fails string
	// lies says that a lost message is reported as taken.
	lies bool
}

var errLost = errors.New("no answer")

// Send implements Peers.
func (l *link) Send(_ context.Context, _ string, b Heartbeat) error {
	if l.fails == "lost" {
		if l.lies {
			return nil
		}
		return errLost
	}
	err := l.copies.Take(b, l.clock.Now())
	if l.fails == "unanswered" {
		return errLost
	}
	return err
}

// copied drives an owner whose texts grow, begin anew and end, over a path that
// loses messages, and compares the copy with what the owner had when the last
// message came through.
func copied(t *rapid.T, lies bool) {
	clock := &timer.Manual{}
	l := &link{
		copies: &Copies{},
		clock:  clock,
		lies:   lies,
	}
	work := &book{
		texts: map[string][]string{"x": nil, "y": nil, "z": nil},
		ends:  map[string]submission.Result{},
	}
	s := &Sender{
		Self:       ownerA,
		Lease:      func() uint64 { return 1 },
		Work:       work,
		Urgent:     func() bool { return false },
		Successors: func() []string { return []string{"s"} },
		Peers:      l,
		Timer:      clock,
	}
	ids := slices.Sorted(maps.Keys(work.texts))
	for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
		id := rapid.SampledFrom(ids).Draw(t, "item")
		what := rapid.SampledFrom([]string{"event", "event", "event", "restart", "end", "forget"}).Draw(t, "what")
		if what == "forget" {
			// The successor was started again.
			l.copies = &Copies{}
		} else {
			work.change(id, what, n)
		}
		l.fails = rapid.SampledFrom([]string{"", "", "lost", "unanswered"}).Draw(t, "path")
		clock.Advance(workEvery)
		s.beat(context.Background(), true)
	}
	l.fails = ""
	// A gap is told with one heartbeat and closed with the next.
	s.beat(context.Background(), true)
	s.beat(context.Background(), true)
	got, ok := l.copies.Find("b")
	if !ok {
		t.Fatal("no copy")
	}
	texts := map[string][]string{}
	for _, p := range got.Progress {
		texts[p.Item] = p.Events
	}
	for _, id := range ids {
		if end, done := work.ends[id]; done {
			if !slices.ContainsFunc(got.Results, func(r submission.Result) bool { return r.Item == id && r.Text == end.Text }) {
				t.Fatalf("the end of %s is missing", id)
			}
			continue
		}
		if !slices.Equal(texts[id], work.texts[id]) {
			t.Fatalf("text of %s: %v, the owner has %v", id, texts[id], work.texts[id])
		}
	}
}

// Guards against copies that lack events, hold them twice, or join two texts.
func TestCopyFollowsItsOwner(t *testing.T) {
	proof.CheckN(t, 300, func(t *rapid.T) { copied(t, false) })
}

// With a path that reports lost messages as taken the copy differs.
func TestCopyDiffersIfLossesAreHidden(t *testing.T) {
	proof.Refute(t, func(t *rapid.T) { copied(t, true) })
}

// Guards against an instance that starts again and wipes out the copies of its life before.
func TestCopyOutlivesItsOwner(t *testing.T) {
	is := is.New(t)
	var c Copies
	is.NoErr(c.Take(Heartbeat{
		Owner: ownerA,
		Open:  []string{"b"},
		Deltas: []Delta{
			{Batch: "b", Whole: true, Pieces: []Piece{{Item: "x", Events: []string{"e1"}}}},
		},
	}, 0))
	again := ownerA
	again.Incarnation = "2"
	is.NoErr(c.Take(Heartbeat{
		Owner: again,
	}, 1))
	_, ok := c.Find("b")
	is.True(ok)
	is.NoErr(c.Take(Heartbeat{
		Owner: ownerA,
	}, 2))
	_, ok = c.Find("b")
	is.Equal(ok, false) // its owner runs it no more
}

// Guards against copies that fill the memory of a successor.
func TestCopiesAreBounded(t *testing.T) {
	is := is.New(t)
	var c Copies
	for n := range 3 * mostCopies {
		owner := ownerA
		owner.Instance = fmt.Sprint(n)
		is.NoErr(c.Take(Heartbeat{
			Owner: owner,
			Open:  []string{fmt.Sprint(n)},
			Deltas: []Delta{
				{Batch: fmt.Sprint(n), Whole: true},
			},
		}, timer.Instant(n)))
	}
	is.Equal(len(c.batches), mostCopies)
	is.NoErr(c.Take(Heartbeat{
		Owner: ownerA,
	}, timer.Instant(2*copyLasts)))
	is.Equal(len(c.batches), 0)
}

// A copy that another instance holds is found by one that was started again.
func TestFinderAsksSuccessors(t *testing.T) {
	is := is.New(t)
	f := &Finder{
		Copies:     &Copies{},
		Successors: func() []string { return []string{"far", "near"} },
		Peers:      holders{"near": {Progress: []submission.Progress{{Item: "x", Events: []string{"e1", "e2"}}}}},
	}
	is.Equal(f.Find(context.Background(), "b").Events(), 2)
	f.Peers = holders{}
	is.Equal(f.Find(context.Background(), "b").Events(), 0)
}

// holders are instances with copies, by address.
type holders map[string]Copy

func (h holders) Send(context.Context, string, Heartbeat) error          { return errLost }
func (h holders) Ask(context.Context, string, string) Answer             { return Silent }
func (h holders) Observe(context.Context, string, string, string) Answer { return Unasked }
func (h holders) Fetch(_ context.Context, address, _ string) (Copy, bool) {
	c, ok := h[address]
	return c, ok
}

// beats notes who got which heartbeat.
type beats struct {
	holders
	got chan string
}

// Send implements Peers.
func (b beats) Send(_ context.Context, address string, beat Heartbeat) error {
	b.got <- fmt.Sprint(address, " ", beat.Every)
	return nil
}

// Guards against callers that go on trying an instance without batches that lost power.
func TestInstanceWithoutWorkIsMissedAsWell(t *testing.T) {
	is := is.New(t)
	peers := beats{
		got: make(chan string, 4),
	}
	work := &book{
		over: true,
	}
	s := &Sender{
		Self:       ownerA,
		Lease:      func() uint64 { return 1 },
		Work:       work,
		Urgent:     func() bool { return false },
		Successors: func() []string { return []string{"first", "second"} },
		Peers:      peers,
	}
	is.Equal(s.beat(context.Background(), true), restEvery)
	is.Equal(<-peers.got, "first 500ms")
	work.over = false
	is.Equal(s.beat(context.Background(), true), workEvery)
	got := []string{<-peers.got, <-peers.got}
	slices.Sort(got)
	is.Equal(got, []string{"first 200ms", "second 200ms"})
	work.over = true
	is.Equal(s.beat(context.Background(), true), restEvery)
	got = []string{<-peers.got, <-peers.got}
	slices.Sort(got)
	is.Equal(got, []string{"first 500ms", "second 0s"})
	is.Equal(s.beat(context.Background(), true), restEvery)
	is.Equal(<-peers.got, "first 500ms")
	is.Equal(len(peers.got), 0)
}
