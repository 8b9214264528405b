package part

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/setting"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Stage orders the start of parts; they stop in reverse.
type Stage int

// The stages, in order of start. Doors open last and close first, so that
// requests in flight at the end still have all they need; peers are heard until
// the doors are closed, so that the fleet learns that this instance leaves.
const (
	StagePlatform Stage = iota
	StageMember
	StageFleet
	StageRoute
	StageRollout
	StageDoor
	StageEntry
	StagePeer
	StageListen
)

// Part is a running piece of an instance.
type Part interface {
	// Start begins the part's goroutines under t and returns.
	Start(t *tomb.Tomb) error
	// Stop begins a graceful end. It returns when nothing of the part's work
	// is left that others wait for; t is killed after that.
	Stop()
}

// Factory makes one part.
type Factory struct {
	Name  string
	Stage Stage
	Make  func(h *Host) (Part, error)
}

var factories Registry[Factory]

// Register adds a factory to those that every host starts.
func Register(f Factory) { factories.Add(f.Name, f) }

// Host carries what all parts share, and the parts.
type Host struct {
	Settings setting.Instance
	Timer    timer.Service
	Journal  *journal.Journal
	Metrics  *prometheus.Registry

	shared  map[reflect.Type]any
	running []running
	leave   chan struct{}
	once    sync.Once
}

// Leaving returns a channel that is closed by Leave. It must be called once
// before the parts start.
func (h *Host) Leaving() <-chan struct{} {
	h.leave = make(chan struct{})
	return h.leave
}

// Leave asks the program to stop this instance gracefully.
func (h *Host) Leave() {
	if h.leave != nil {
		h.once.Do(func() { close(h.leave) })
	}
}

type running struct {
	name string
	part Part
	tomb *tomb.Tomb
}

// Put publishes v to parts made later.
func Put[T any](h *Host, v T) {
	if h.shared == nil {
		h.shared = make(map[reflect.Type]any)
	}
	h.shared[reflect.TypeFor[T]()] = v
}

// Get returns what an earlier part published under type T. It panics when
// there is none: the stages are then wrong, which can only be a mistake in the
// program.
func Get[T any](h *Host) T {
	v, ok := h.shared[reflect.TypeFor[T]()]
	if !ok {
		panic(fmt.Sprintf("part: nothing published as %v", reflect.TypeFor[T]()))
	}
	return v.(T)
}

// Start makes and starts all registered parts in order.
func (h *Host) Start() error {
	var list []Factory
	for _, name := range factories.Names() {
		f, err := factories.Find(name)
		if err != nil {
			return err
		}
		list = append(list, f)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Stage < list[j].Stage })
	for _, f := range list {
		if err := h.start(f); err != nil {
			return errors.Join(fmt.Errorf("part %s: %w", f.Name, err), h.Stop())
		}
	}
	return nil
}

func (h *Host) start(f Factory) error {
	p, err := f.Make(h)
	if err != nil {
		return err
	}
	t := &tomb.Tomb{}
	// A tomb that never ran a goroutine is never dead, and Stop would wait for
	// it for ever.
	t.Go(func() error {
		<-t.Dying()
		return nil
	})
	if err := p.Start(t); err != nil {
		return err
	}
	h.running = append(h.running, running{
		name: f.Name,
		part: p,
		tomb: t,
	})
	return nil
}

// Stop ends all parts in reverse order and returns what went wrong.
func (h *Host) Stop() error {
	var errs []error
	for i := len(h.running) - 1; i >= 0; i-- {
		r := h.running[i]
		r.part.Stop()
		r.tomb.Kill(nil)
		if err := r.tomb.Wait(); err != nil {
			errs = append(errs, fmt.Errorf("part %s: %w", r.name, err))
		}
	}
	h.running = nil
	return errors.Join(errs...)
}

// Idle is a Part without work of its own, for those that only publish state.
type Idle struct{}

// Start implements Part.
func (Idle) Start(*tomb.Tomb) error { return nil }

// Stop implements Part.
func (Idle) Stop() {}
