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
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/standin/property"
)

var ownerA = ledger.Owner{
	Instance:    "a",
	Incarnation: "1",
	Address:     "a:1",
}

// fakeWork is the work of an owner: one batch of some items.
type fakeWork struct {
	texts map[string][]string
	// restarts counts how often each item was started again.
	restarts map[string]uint64
	results  map[string]submission.Result
	idle     bool
}

// Busy implements Work.
func (b *fakeWork) Busy() bool { return !b.idle }

// Changes implements Work.
func (b *fakeWork) Changes(since Marks, skip func(string) bool) ([]string, []BatchDelta, Marks) {
	if b.idle || skip("b") {
		return nil, nil, Marks{}
	}
	d := BatchDelta{
		Batch: "b",
		Whole: since["b"] == nil,
	}
	marks := make(map[string]Mark)
	for id, text := range b.texts {
		end, done := b.results[id]
		mark := since["b"][id].Of(b.restarts[id])
		marks[id] = Mark{
			Text:   b.restarts[id],
			Events: len(text),
			Result: done,
		}
		p := ItemDelta{
			Item:   id,
			Text:   b.restarts[id],
			From:   mark.Events,
			Events: slices.Clone(text[mark.Events:]),
		}
		if done && mark.Result {
			continue
		}
		if done {
			end.Text = ""
			p.Result = &end
		}
		d.Pieces = append(d.Pieces, p)
	}
	return []string{"b"}, []BatchDelta{d}, Marks{"b": marks}
}

// change applies an action to an item that has not ended.
func (b *fakeWork) change(id, action string, n int) {
	if _, done := b.results[id]; done {
		return
	}
	switch action {
	case "event":
		b.texts[id] = append(b.texts[id], fmt.Sprint(n))
	case "restart":
		b.texts[id] = nil
		b.restarts[id]++
	case "end":
		b.results[id] = submission.Result{
			Item: id,
			Text: submission.JoinEvents(b.texts[id]),
		}
	}
}

// lossyPeers sends to one successor, and loses messages or their answers.
type lossyPeers struct {
	Peers
	copies *Copies
	clock  timer.Service
	// fault is what happens to the next message: "lost", "unanswered" or nothing.
	fault string
	// hidesLoss makes a lost message appear as delivered.
	hidesLoss bool
}

var errLost = errors.New("no answer")

// Send implements Peers.
func (l *lossyPeers) Send(_ context.Context, _ string, b Heartbeat) error {
	if l.fault == "lost" {
		if l.hidesLoss {
			return nil
		}
		return errLost
	}
	err := l.copies.Apply(b, l.clock.Now())
	if l.fault == "unanswered" {
		return errLost
	}
	return err
}

// checkCopyFollowsOwner runs an owner whose texts grow, restart and end over a path that loses
// messages, and compares the copy with what the owner has once the messages arrive again.
func checkCopyFollowsOwner(t *rapid.T, hidesLoss bool) {
	clock := &timer.Manual{}
	l := &lossyPeers{
		copies:    &Copies{},
		clock:     clock,
		hidesLoss: hidesLoss,
	}
	work := &fakeWork{
		texts:    map[string][]string{"x": nil, "y": nil, "z": nil},
		restarts: map[string]uint64{},
		results:  map[string]submission.Result{},
	}
	s := &Sender{
		Self:          ownerA,
		Lease:         func() uint64 { return 1 },
		Work:          work,
		HasUrgentWork: func() bool { return false },
		Successors:    func() []string { return []string{"s"} },
		Peers:         l,
		Timer:         clock,
	}
	ids := slices.Sorted(maps.Keys(work.texts))
	for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
		id := rapid.SampledFrom(ids).Draw(t, "item")
		action := rapid.SampledFrom([]string{"event", "event", "event", "restart", "end", "forget"}).Draw(t, "what")
		if action == "forget" {
			// The successor restarts and loses its copies.
			l.copies = &Copies{}
		} else {
			work.change(id, action, n)
		}
		if !rapid.Bool().Draw(t, "heartbeat") {
			continue
		}
		l.fault = rapid.SampledFrom([]string{"", "", "lost", "unanswered"}).Draw(t, "path")
		clock.Advance(busyInterval)
		s.sendHeartbeats(context.Background(), true)
	}
	l.fault = ""
	// The first heartbeat reports a gap and the second closes it.
	s.sendHeartbeats(context.Background(), true)
	s.sendHeartbeats(context.Background(), true)
	got, ok := l.copies.Find("b")
	if !ok {
		t.Fatal("no copy")
	}
	texts := map[string][]string{}
	for _, p := range got.Progress {
		texts[p.Item] = p.Events
	}
	for _, id := range ids {
		if end, done := work.results[id]; done {
			if !slices.ContainsFunc(got.Results, func(r submission.Result) bool { return r.Item == id && r.Text == end.Text }) {
				t.Fatalf("the result of %s is missing in the copy", id)
			}
			continue
		}
		if !slices.Equal(texts[id], work.texts[id]) {
			t.Fatalf("text of %s in the copy: %v, at the owner: %v", id, texts[id], work.texts[id])
		}
	}
}

// Guards against copies that lack events, hold them twice, or join two texts.
func TestCopyFollowsItsOwner(t *testing.T) {
	property.CheckN(t, 300, func(t *rapid.T) { checkCopyFollowsOwner(t, false) })
}

// If lost messages are reported as delivered, the copy differs from the owner's text, so the
// property above does check something.
func TestCopyDiffersIfLossesAreHidden(t *testing.T) {
	property.CheckFails(t, func(t *rapid.T) { checkCopyFollowsOwner(t, true) })
}

// Guards against a restarted instance that wipes the copies of its previous incarnation.
func TestCopySurvivesRestartOfItsOwner(t *testing.T) {
	is := is.New(t)
	var c Copies
	is.NoErr(c.Apply(Heartbeat{
		Owner: ownerA,
		Open:  []string{"b"},
		Deltas: []BatchDelta{
			{Batch: "b", Whole: true, Pieces: []ItemDelta{{Item: "x", Events: []string{"e1"}}}},
		},
	}, 0))
	restarted := ownerA
	restarted.Incarnation = "2"
	is.NoErr(c.Apply(Heartbeat{
		Owner: restarted,
	}, 1))
	_, ok := c.Find("b")
	is.True(ok)
	is.NoErr(c.Apply(Heartbeat{
		Owner: ownerA,
	}, 2))
	_, ok = c.Find("b")
	is.Equal(ok, false) // its owner no longer runs it
}

// Guards against copies that fill the memory of a successor.
func TestCopiesAreBounded(t *testing.T) {
	is := is.New(t)
	var c Copies
	for n := range 3 * maxCopies {
		owner := ownerA
		owner.Instance = fmt.Sprint(n)
		is.NoErr(c.Apply(Heartbeat{
			Owner: owner,
			Open:  []string{fmt.Sprint(n)},
			Deltas: []BatchDelta{
				{Batch: fmt.Sprint(n), Whole: true},
			},
		}, timer.Instant(n)))
	}
	is.Equal(len(c.batches), maxCopies)
	is.NoErr(c.Apply(Heartbeat{
		Owner: ownerA,
	}, timer.Instant(2*copyTTL)))
	is.Equal(len(c.batches), 0)
}

// A restarted instance finds the copy that one of its successors holds.
func TestFinderFetchesCopyFromSuccessors(t *testing.T) {
	is := is.New(t)
	f := &Finder{
		Copies:     &Copies{},
		Successors: func() []string { return []string{"far", "near"} },
		Peers:      copyHolders{"near": {Progress: []submission.Progress{{Item: "x", Events: []string{"e1", "e2"}}}}},
	}
	is.Equal(f.Find(context.Background(), "b").Len(), 2)
	f.Peers = copyHolders{}
	is.Equal(f.Find(context.Background(), "b").Len(), 0)
}

// copyHolders are the copies that other instances hold, by address.
type copyHolders map[string]Copy

func (h copyHolders) Send(context.Context, string, Heartbeat) error          { return errLost }
func (h copyHolders) Ask(context.Context, string, string) Answer             { return Silent }
func (h copyHolders) Observe(context.Context, string, string, string) Answer { return Unasked }
func (h copyHolders) Fetch(_ context.Context, address, _ string) (Copy, bool) {
	c, ok := h[address]
	return c, ok
}

// recordingPeers records which successor got which heartbeat.
type recordingPeers struct {
	copyHolders
	got chan string
}

// Send implements Peers.
func (b recordingPeers) Send(_ context.Context, address string, heartbeat Heartbeat) error {
	b.got <- fmt.Sprint(address, " ", heartbeat.Every)
	return nil
}

// Guards against callers that keep trying an instance without batches after it lost power: an
// idle instance sends heartbeats too, to its first successor.
func TestIdleInstanceSendsHeartbeats(t *testing.T) {
	is := is.New(t)
	peers := recordingPeers{
		got: make(chan string, 4),
	}
	work := &fakeWork{
		idle: true,
	}
	s := &Sender{
		Self:          ownerA,
		Lease:         func() uint64 { return 1 },
		Work:          work,
		HasUrgentWork: func() bool { return false },
		Successors:    func() []string { return []string{"first", "second"} },
		Peers:         peers,
	}
	is.Equal(s.sendHeartbeats(context.Background(), true), idleInterval)
	is.Equal(<-peers.got, "first 500ms")
	work.idle = false
	is.Equal(s.sendHeartbeats(context.Background(), true), busyInterval)
	got := []string{<-peers.got, <-peers.got}
	slices.Sort(got)
	is.Equal(got, []string{"first 200ms", "second 200ms"})
	work.idle = true
	is.Equal(s.sendHeartbeats(context.Background(), true), idleInterval)
	got = []string{<-peers.got, <-peers.got}
	slices.Sort(got)
	is.Equal(got, []string{"first 500ms", "second 0s"})
	is.Equal(s.sendHeartbeats(context.Background(), true), idleInterval)
	is.Equal(<-peers.got, "first 500ms")
	is.Equal(len(peers.got), 0)
}

// Guards against copies of a batch at a successor in a region that is not allowed, and against
// one that stays there when the region is no longer allowed.
func TestCopiesStayInAllowedRegions(t *testing.T) {
	is := is.New(t)
	north := residency.FromList([]string{"north"})
	restrictions := map[string]residency.Regions{"b": north}
	copies := map[string]*Copies{"south1": {}, "north1": {}}
	s := &Sender{
		Self:             ownerA,
		Lease:            func() uint64 { return 1 },
		Work:             &fakeWork{texts: map[string][]string{"x": {"e1"}}},
		HasUrgentWork:    func() bool { return false },
		Successors:       func() []string { return []string{"south1"} },
		Restrictions:     func() map[string]residency.Regions { return restrictions },
		RegionSuccessors: func(residency.Regions) []string { return []string{"north1"} },
		Peers:            copyReceivers{copies: copies},
		Timer:            &timer.Manual{},
	}
	has := func(address string) bool {
		_, ok := copies[address].Find("b")
		return ok
	}
	s.sendHeartbeats(context.Background(), true)
	is.True(has("north1") && !has("south1"))
	is.Equal(copies["north1"].lastHeartbeats()[0].Heartbeat.SuccessorRank, 1)
	restrictions = nil // the batch may be stored anywhere
	s.sendHeartbeats(context.Background(), true)
	is.True(has("south1"))
	restrictions = map[string]residency.Regions{"b": north}
	s.sendHeartbeats(context.Background(), true)
	is.True(has("north1") && !has("south1"))
	copies["north1"].Allowed = func(submission.Binding) bool { return false }
	copies["north1"].DropDisallowed()
	is.True(!has("north1"))
	s.sendHeartbeats(context.Background(), true)
	is.True(!has("north1"))
	copies["north1"].Allowed = nil
	s.sendHeartbeats(context.Background(), true) // reports that the copy is missing
	s.sendHeartbeats(context.Background(), true)
	is.True(has("north1"))
}

// copyReceivers are successors by address.
type copyReceivers struct {
	copyHolders
	copies map[string]*Copies
}

// Send implements Peers.
func (r copyReceivers) Send(_ context.Context, address string, h Heartbeat) error {
	return r.copies[address].Apply(h, 0)
}

// Guards against the copy of a batch that is opened while a heartbeat is prepared, and that goes to
// an instance where it may not be stored.
func TestBatchOpenedMeanwhileIsNotSent(t *testing.T) {
	is := is.New(t)
	copies := map[string]*Copies{"south1": {}}
	restrictions := map[string]residency.Regions{}
	s := &Sender{
		Self:             ownerA,
		Lease:            func() uint64 { return 1 },
		Work:             &fakeWork{texts: map[string][]string{"x": {"e1"}}},
		HasUrgentWork:    func() bool { return false },
		Successors:       func() []string { return []string{"south1"} },
		Restrictions:     func() map[string]residency.Regions { return restrictions },
		RegionSuccessors: func(residency.Regions) []string { return nil },
		Peers:            copyReceivers{copies: copies},
		Timer:            &timer.Manual{},
	}
	s.sendHeartbeats(context.Background(), true)
	_, sent := copies["south1"].Find("b")
	is.True(!sent)
	restrictions["b"] = residency.Regions{}
	s.sendHeartbeats(context.Background(), true)
	_, sent = copies["south1"].Find("b")
	is.True(sent)
}
