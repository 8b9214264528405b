package session

import (
	"slices"
	"sort"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/sample"
)

// Session is the state of one trainer's session on the instance that serves
// it. It is not safe for use by several goroutines.
type Session struct {
	Trainer string
	Number  uint64
	// Handed is told of each sample that is handed over; nil tells nobody.
	Handed func(deployment string, k Kept)

	steps   map[uint64]*step
	order   []*step
	ready   []*item
	batch   []*item
	start   uint64
	running int
}

// Bound says which samples are too old to be handed over.
type Bound struct {
	Newest      version.Version
	MaxVersions uint64
	// MaxAge bounds the time since the first token; zero sets no bound.
	MaxAge time.Duration
}

// TooOld reports whether k may not be handed over now.
func (b Bound) TooOld(k Kept, now timer.Instant) bool {
	if k.Oldest.Behind(b.Newest) > b.MaxVersions {
		return true
	}
	return b.MaxAge > 0 && now.Sub(k.Begun) > b.MaxAge
}

// Submit adds a step. Submitting it again changes nothing; another step under
// the same number is refused with problem.StepConflict.
func (s *Session) Submit(spec Spec, dropAfter time.Duration, now timer.Instant) error {
	if err := spec.Check(); err != nil {
		return err
	}
	if old, ok := s.steps[spec.Step]; ok {
		if sameGroups(old.spec, spec) {
			return nil
		}
		return problem.StepConflict.Withf("step %d was submitted with other groups", spec.Step)
	}
	if s.openSteps() >= MaxOpenSteps {
		return problem.StepConflict.Withf("the session has %d open steps", MaxOpenSteps)
	}
	s.add(newStep(spec, dropAfter, now))
	return nil
}

func (s *Session) add(st *step) {
	if s.steps == nil {
		s.steps = make(map[uint64]*step)
	}
	s.steps[st.spec.Step] = st
	s.order = append(s.order, st)
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].spec.Step < s.order[j].spec.Step })
	s.forget()
}

// finishedKept is how many closed steps a session still tells about.
const finishedKept = 16

func (s *Session) forget() {
	closed := len(s.order) - s.openSteps()
	for i := 0; i < len(s.order) && closed > finishedKept; {
		if s.order[i].open() || s.inBatch(s.order[i]) {
			i++
			continue
		}
		delete(s.steps, s.order[i].spec.Step)
		s.order = slices.Delete(s.order, i, i+1)
		closed--
	}
}

func (s *Session) inBatch(st *step) bool {
	for _, it := range s.batch {
		if it.step == st {
			return true
		}
	}
	return false
}

func (s *Session) openSteps() int {
	n := 0
	for _, st := range s.order {
		if st.open() {
			n++
		}
	}
	return n
}

func newStep(spec Spec, dropAfter time.Duration, now timer.Instant) *step {
	st := &step{
		spec: spec,
		status: Status{
			Step:  spec.Step,
			State: Running,
		},
		items:     make(map[sample.Key]*item),
		remaining: make(map[string]int),
	}
	if spec.DropAfterMS > 0 {
		dropAfter = time.Duration(spec.DropAfterMS) * time.Millisecond
	}
	if dropAfter > 0 {
		st.dropAt = now.Add(dropAfter)
	}
	for i := range spec.Groups {
		st.addGroup(&spec.Groups[i])
	}
	for _, key := range spec.Have {
		if it, ok := st.items[key]; ok && it.state == pending {
			st.take(it)
		}
	}
	// Longest first: a long sample that begins late is the one that a whole
	// step waits for.
	sort.SliceStable(st.order, func(i, j int) bool {
		return st.order[i].group.MaxTokens > st.order[j].group.MaxTokens
	})
	st.settle()
	return st
}

func (st *step) addGroup(g *Group) {
	for i := range g.Samples {
		it := &item{
			key: sample.Key{
				Step:  st.spec.Step,
				Group: g.Group,
				Index: i,
			},
			group: g,
			step:  st,
		}
		st.items[it.key] = it
		st.order = append(st.order, it)
	}
	st.remaining[g.Group] += g.Samples
	st.status.Samples += g.Samples
}

func (st *step) take(it *item) {
	it.state = taken
	it.finished = Kept{}
	st.remaining[it.key.Group]--
	st.status.Taken++
	st.settle()
}

func sameGroups(a, b Spec) bool {
	return a.Deployment == b.Deployment && slices.Equal(a.Groups, b.Groups)
}

// Steps returns the status of all steps that the session knows.
func (s *Session) Steps() []Status {
	list := make([]Status, 0, len(s.order))
	for _, st := range s.order {
		list = append(list, st.status)
	}
	return list
}

// Find returns the status of a step.
func (s *Session) Find(n uint64) (Status, bool) {
	st, ok := s.steps[n]
	if !ok {
		return Status{}, false
	}
	return st.status, true
}

// Tick drops steps whose time has passed and returns their numbers.
func (s *Session) Tick(now timer.Instant) []uint64 {
	var dropped []uint64
	for _, st := range s.order {
		if st.open() && st.overdue(now) {
			st.drop()
			dropped = append(dropped, st.spec.Step)
		}
	}
	s.ready = slices.DeleteFunc(s.ready, func(it *item) bool { return it.state != ready })
	return dropped
}

// Deployment returns the deployment of the oldest open step.
func (s *Session) Deployment() string {
	for _, st := range s.order {
		if st.open() {
			return st.spec.Deployment
		}
	}
	return ""
}

// DoneBelow returns the number of the oldest open step; no step below it is
// open any more.
func (s *Session) DoneBelow() uint64 {
	for _, st := range s.order {
		if st.open() {
			return st.spec.Step
		}
	}
	return 0
}

// Discarded returns how many finished samples were thrown away as too old.
func (s *Session) Discarded() int {
	n := 0
	for _, st := range s.order {
		n += st.status.Discarded
	}
	return n
}
