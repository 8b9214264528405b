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

// Session is the state of a trainer's session on the instance that serves it. It
// is not safe for concurrent use.
type Session struct {
	Trainer string
	Number  uint64
	// OnDeliver, if not nil, is called with each sample when it is first put into
	// a batch.
	OnDeliver func(deployment string, finished FinishedSample)

	steps map[uint64]*step
	// stepsByNumber holds the same steps in ascending order of their numbers.
	stepsByNumber []*step
	// ready holds finished items that are in no batch yet.
	ready []*item
	// batch holds the items of the last batch, which is not acknowledged yet.
	batch []*item
	// batchStart is the cursor at which batch starts.
	batchStart      uint64
	runningAttempts int
}

// StalenessBound is the staleness bound of samples: those beyond it are too old to
// be delivered.
type StalenessBound struct {
	// Newest is the newest published version.
	Newest version.Version
	// MaxVersions is by how many versions the oldest version of a sample may
	// be behind Newest.
	MaxVersions uint64
	// MaxAge limits the time since the first token; zero means no limit.
	MaxAge time.Duration
}

// TooOld reports whether finished is too old to be delivered now.
func (b StalenessBound) TooOld(finished FinishedSample, now timer.Instant) bool {
	if finished.Oldest.Behind(b.Newest) > b.MaxVersions {
		return true
	}
	return b.MaxAge > 0 && now.Sub(finished.FirstTokenAt) > b.MaxAge
}

// Submit adds a step, which is dropped after dropAfter unless the spec sets
// another time. Submitting the same step again changes nothing. Submit returns
// problem.StepConflict for a step with the number of another one, and if too
// many steps are open.
func (s *Session) Submit(spec Spec, dropAfter time.Duration, now timer.Instant) error {
	if err := spec.Check(); err != nil {
		return err
	}
	if old, ok := s.steps[spec.Step]; ok {
		if sameDeploymentAndGroups(old.spec, spec) {
			return nil
		}
		return problem.StepConflict.Withf("step %d was submitted with another deployment or other groups", spec.Step)
	}
	if s.countOpenSteps() >= MaxOpenSteps {
		return problem.StepConflict.Withf("the session has %d open steps, which is the maximum", MaxOpenSteps)
	}
	s.addStep(newStep(spec, dropAfter, now))
	return nil
}

func (s *Session) addStep(st *step) {
	if s.steps == nil {
		s.steps = make(map[uint64]*step)
	}
	s.steps[st.spec.Step] = st
	s.stepsByNumber = append(s.stepsByNumber, st)
	sort.Slice(s.stepsByNumber, func(i, j int) bool { return s.stepsByNumber[i].spec.Step < s.stepsByNumber[j].spec.Step })
	s.removeOldSteps()
}

// maxClosedSteps is the number of closed steps whose status a session keeps.
const maxClosedSteps = 16

// removeOldSteps removes the closed steps with the lowest numbers beyond
// maxClosedSteps, except those with samples in the unacknowledged batch.
func (s *Session) removeOldSteps() {
	closed := len(s.stepsByNumber) - s.countOpenSteps()
	for i := 0; i < len(s.stepsByNumber) && closed > maxClosedSteps; {
		if s.stepsByNumber[i].open() || s.inBatch(s.stepsByNumber[i]) {
			i++
			continue
		}
		delete(s.steps, s.stepsByNumber[i].spec.Step)
		s.stepsByNumber = slices.Delete(s.stepsByNumber, i, i+1)
		closed--
	}
}

// inBatch reports whether the unacknowledged batch has a sample of the step.
func (s *Session) inBatch(st *step) bool {
	for _, it := range s.batch {
		if it.step == st {
			return true
		}
	}
	return false
}

func (s *Session) countOpenSteps() int {
	n := 0
	for _, st := range s.stepsByNumber {
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
		items:            make(map[sample.Key]*item),
		remainingByGroup: make(map[string]int),
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
			st.acknowledge(it)
		}
	}
	// Longest first: a long sample that starts late delays the whole step.
	sort.SliceStable(st.itemsByLength, func(i, j int) bool {
		return st.itemsByLength[i].group.MaxTokens > st.itemsByLength[j].group.MaxTokens
	})
	st.finishIfComplete()
	return st
}

// addGroup adds a pending item for each sample of the group.
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
		st.itemsByLength = append(st.itemsByLength, it)
	}
	st.remainingByGroup[g.Group] += g.Samples
	st.status.Samples += g.Samples
}

// acknowledge records that the trainer has the sample, and drops its content.
func (st *step) acknowledge(it *item) {
	it.state = acknowledged
	it.result = FinishedSample{}
	st.remainingByGroup[it.key.Group]--
	st.status.Acknowledged++
	st.finishIfComplete()
}

func sameDeploymentAndGroups(a, b Spec) bool {
	return a.Deployment == b.Deployment && slices.Equal(a.Groups, b.Groups)
}

// Steps returns the status of all steps that the session knows.
func (s *Session) Steps() []Status {
	list := make([]Status, 0, len(s.stepsByNumber))
	for _, st := range s.stepsByNumber {
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

// DropOverdue drops the steps whose drop time has passed and returns their numbers.
func (s *Session) DropOverdue(now timer.Instant) []uint64 {
	var dropped []uint64
	for _, st := range s.stepsByNumber {
		if st.open() && st.overdue(now) {
			st.drop()
			dropped = append(dropped, st.spec.Step)
		}
	}
	s.ready = slices.DeleteFunc(s.ready, func(it *item) bool { return it.state != ready })
	return dropped
}

// Deployment returns the deployment of the oldest open step, or "" if no step is
// open.
func (s *Session) Deployment() string {
	for _, st := range s.stepsByNumber {
		if st.open() {
			return st.spec.Deployment
		}
	}
	return ""
}

// DoneBelow returns the number of the oldest open step, or 0 if no step is open.
// All steps with lower numbers are closed.
func (s *Session) DoneBelow() uint64 {
	for _, st := range s.stepsByNumber {
		if st.open() {
			return st.spec.Step
		}
	}
	return 0
}

// Discarded returns the number of finished samples that were discarded as too
// old.
func (s *Session) Discarded() int {
	n := 0
	for _, st := range s.stepsByNumber {
		n += st.status.Discarded
	}
	return n
}
