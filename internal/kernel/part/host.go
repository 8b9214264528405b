package part

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"sync"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/setting"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Stage determines when a part starts. Parts stop in reverse order.
type Stage int

// The stages, in order of start. The listener for clients starts last and stops
// first, so that requests in flight at shutdown still have all they need. The
// listener for other instances stops after it, so that the fleet learns that this
// instance is leaving.
const (
	StagePlatform Stage = iota
	StageMember
	StageFleet
	StageRoute
	StageRollout
	StageMux
	StageHandlers
	StagePeerListener
	StageListener
)

// Part is a component of an instance that can be started and stopped.
type Part interface {
	// Start begins the part's goroutines under t and returns.
	Start(t *tomb.Tomb) error
	// Stop shuts the part down gracefully. It returns when no work is left that
	// others wait for; the tomb passed to Start is killed after that.
	Stop()
}

// Factory creates a part. Name must be unique among all parts.
type Factory struct {
	Name  string
	Stage Stage
	Make  func(h *Host) (Part, error)
}

var factories Registry[Factory]

// Register adds a factory whose part every Host starts. It panics when the name is
// taken.
func Register(f Factory) { factories.Add(f.Name, f) }

// Host runs the parts of an instance and holds what they share.
type Host struct {
	Settings setting.Instance
	Timer    timer.Service
	Journal  *journal.Journal
	Metrics  *prometheus.Registry

	published    map[reflect.Type]any
	running      []runningPart
	shutdown     chan struct{}
	shutdownOnce sync.Once
}

// ShutdownRequested returns a channel that RequestShutdown closes. Call it once, before
// Start.
func (h *Host) ShutdownRequested() <-chan struct{} {
	h.shutdown = make(chan struct{})
	return h.shutdown
}

// RequestShutdown asks the program to shut this instance down gracefully.
func (h *Host) RequestShutdown() {
	if h.shutdown != nil {
		h.shutdownOnce.Do(func() { close(h.shutdown) })
	}
}

type runningPart struct {
	name string
	part Part
	tomb *tomb.Tomb
}

// Provide publishes v under its type T for parts that are created later.
func Provide[T any](h *Host, v T) {
	if h.published == nil {
		h.published = make(map[reflect.Type]any)
	}
	h.published[reflect.TypeFor[T]()] = v
}

// MustGet returns the value that an earlier part published under type T. It panics when
// there is none, since that means that the order of stages in the program is wrong.
func MustGet[T any](h *Host) T {
	v, ok := h.published[reflect.TypeFor[T]()]
	if !ok {
		panic(fmt.Sprintf("part: no value published under type %v", reflect.TypeFor[T]()))
	}
	return v.(T)
}

// Start creates and starts all registered parts in order of their stage. When one
// fails, it stops those already started.
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
	// A tomb that never ran a goroutine never becomes dead, and Stop would wait
	// for it forever.
	t.Go(func() error {
		<-t.Dying()
		if err := t.Err(); err != nil {
			// The instance can't serve without the part.
			h.Journal.Warn("a part of the process ended", err, log.Fields{
				"part": f.Name,
			})
			h.RequestShutdown()
		}
		return nil
	})
	if err := p.Start(t); err != nil {
		return err
	}
	h.running = append(h.running, runningPart{
		name: f.Name,
		part: p,
		tomb: t,
	})
	return nil
}

// Stop stops all parts in reverse order and returns their joined errors.
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

// Noop is a Part that does nothing, for factories that only publish a value.
type Noop struct{}

// Start implements Part.
func (Noop) Start(*tomb.Tomb) error { return nil }

// Stop implements Part.
func (Noop) Stop() {}
