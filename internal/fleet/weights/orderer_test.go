package weights

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// counting is an engine that has accepted some orders of an earlier holder.
type counting struct {
	mu       sync.Mutex
	orders   uint64
	version  uint64
	commands []Command
}

// Order implements Engines.
func (e *counting) Order(_ context.Context, _ *catalog.Upstream, c Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commands = append(e.commands, c)
	if c.Seen != e.orders {
		return ErrCount
	}
	e.orders++
	e.version = c.Version
	return nil
}

// State implements Engines.
func (e *counting) State(context.Context, *catalog.Upstream) (State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{
		Orders:   e.orders,
		Versions: map[string]uint64{"m": e.version},
	}, nil
}

// The holder of the order duty starts again, as all instances do after a loss of
// power. Its first order to each engine bore a count of zero and was refused, and
// the next one came half a second later; the trainers' next steps found engines
// with old weights.
func TestFirstOrderOfALifeBearsTheEnginesCount(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	engine := &counting{
		orders:  3,
		version: 4,
	}
	book := &catalog.Book{
		Timer: clock,
	}
	book.Update([]catalog.Listed{{ID: "e", Service: "s", Address: "e", Slots: 8, Versions: map[string]uint64{"m": 4}}}, nil)
	o := &Orderer{
		Book:    book,
		Engines: engine,
		Timer:   clock,
		named:   map[string]uint64{"m": 6},
		since:   map[string]timer.Instant{},
		last:    map[string]*standing{},
	}
	settled := func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.last["e"].seen == 4
	}
	o.serve(context.Background(), 7, "s", []string{"m"}, Continue)
	is.True(timer.Until(timer.Real{}, time.Millisecond, 5*time.Second, nil, settled))
	engine.mu.Lock()
	defer engine.mu.Unlock()
	is.Equal(len(engine.commands), 1)
	is.Equal(engine.commands[0].Seen, uint64(3))
	is.Equal(engine.version, uint64(6))
}
