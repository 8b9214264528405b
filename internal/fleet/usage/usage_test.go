package usage

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

const length = 5 * time.Second

// newMeter returns a meter whose current time is *now.
func newMeter(instance string, now *time.Time) *Meter {
	return &Meter{
		Instance:     instance,
		Incarnation:  instance + "-1",
		WindowLength: length,
		Now:          func() time.Time { return *now },
	}
}

func TestWindowBounds(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(12_499)
	is.Equal(WindowAt(at, length), Window(2))
	is.Equal(Window(2).End(length), time.UnixMilli(15_000))
	is.Equal(WindowAt(Window(2).End(length), length), Window(3))
}

func TestMeterCountsStartedRequests(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(14_999)
	m := newMeter("a", &now)
	undo := m.RequestStarted("saddlers")
	m.RequestStarted("saddlers")
	m.RequestStarted("bookbinders")
	now = time.UnixMilli(15_000)
	m.RequestStarted("saddlers")
	undo() // an upstream refused the request after its window had ended
	records := []Record{m.Record()}
	is.Equal(Sum(2, records), Counts{"saddlers": 1, "bookbinders": 1})
	is.Equal(Sum(3, records), Counts{"saddlers": 1})
	now = now.Add(retainedWindows * length)
	m.RequestStarted("saddlers")
	is.Equal(len(m.Record().Windows), 1) // the expired windows are dropped
}

// Guards against requests that are counted once per collector, or lost with an earlier
// incarnation of an instance.
func TestSumCountsEachIncarnationOnce(t *testing.T) {
	is := is.New(t)
	record := func(incarnation string, sequence uint64, n int) Record {
		return Record{
			Instance:    "a",
			Incarnation: incarnation,
			Sequence:    sequence,
			Windows:     map[Window]Counts{2: {"saddlers": n, "bookbinders": 0}},
		}
	}
	is.Equal(Sum(2, []Record{record("1", 4, 4), record("1", 3, 3), record("2", 1, 1)}), Counts{"saddlers": 5})
}

func TestCollectorKeepsNewestRecord(t *testing.T) {
	is := is.New(t)
	var c Collector
	now := time.UnixMilli(12_000)
	m := newMeter("a", &now)
	m.RequestStarted("saddlers")
	old := m.Record()
	m.RequestStarted("saddlers")
	c.Add(m.Record())
	c.Add(old) // a delayed record
	is.Equal(Sum(2, c.Find(2)), Counts{"saddlers": 2})
	is.Equal(len(c.Find(3)), 0)
	other := newMeter("b", &now)
	now = now.Add(2 * retainedWindows * length)
	other.RequestStarted("saddlers")
	c.Add(other.Record())
	is.Equal(len(c.Find(2)), 0)
	is.Equal(c.count, 1) // records without windows are dropped
}

// fakePeers is a set of collectors by address. Those in down don't answer.
type fakePeers struct {
	down       map[string]bool
	collectors map[string]*Collector
	stored     int
}

// Store implements Peers.
func (p *fakePeers) Store(_ context.Context, address string, r Record) error {
	if p.down[address] {
		return errors.New("no answer")
	}
	p.stored++
	p.collectors[address].Add(r)
	return nil
}

// Find implements Peers.
func (p *fakePeers) Find(_ context.Context, address string, w Window) ([]Record, error) {
	if p.down[address] {
		return nil, errors.New("no answer")
	}
	return p.collectors[address].Find(w), nil
}

// Guards against counts that are lost when a collector restarts without its records, or does
// not answer.
func TestSenderResendsCounts(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(12_000)
	peers := &fakePeers{
		down:       map[string]bool{},
		collectors: map[string]*Collector{"x": {}, "y": {}},
	}
	s := &Sender{
		Meter:      newMeter("a", &now),
		Collectors: func() []string { return []string{"x"} },
		Peers:      peers,
		Timer:      &timer.Manual{},
	}
	s.Meter.RequestStarted("saddlers")
	peers.down["x"] = true
	is.True(!s.Send(context.Background()))
	peers.down["x"] = false
	is.True(s.Send(context.Background()))
	is.True(s.Send(context.Background()))
	is.Equal(peers.stored, 1) // nothing to send again
	peers.collectors["x"] = &Collector{}
	s.resetAcks()
	is.True(s.Send(context.Background()))
	is.Equal(Sum(2, peers.collectors["x"].Find(2)), Counts{"saddlers": 1})
}

// Guards against usage that is never reported again because another writer has left something else
// where the last report is stored.
func TestOddStoredReportIsReplaced(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{"", "[", "[]", `{"window":1e999}`, "\x00"} {
		store := &memorystore.Store{
			Timer: timer.Real{},
		}
		revision, err := store.Commit(context.Background(), keyvalue.Transaction{
			Writes: []keyvalue.Write{
				{Key: "usage", Value: []byte(value)},
			},
		})
		is.NoErr(err)
		r := &Reporter{
			Key:   "usage",
			Store: store,
		}
		is.NoErr(r.loadLast(context.Background(), 1))
		is.Equal(r.revision, revision)
		is.True(r.last == nil && !r.pending)
	}
}
