package session_test

import (
	"encoding/json"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/copystore"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/rollout/session"
)

// disabledMechanisms selects the mechanisms that a simulation runs without. The
// tests that expect a failure disable one each.
type disabledMechanisms struct {
	acceptLateResponses bool // the trainer accepts responses that it no longer waits for
	omitHave            bool // a new session is not told which samples the trainer has
	skipWithdrawal      bool // the age is not checked again when a batch is repeated
	skipAgeCheck        bool // the age is never checked
	keepCursor          bool // the trainer does not advance its cursor
}

const (
	maxVersions = 2
	nodeCount   = 3
	maxAttempts = 6
)

// node is an instance with its copy store and the sessions that it serves.
type node struct {
	alive    bool
	store    *copystore.Store
	sessions []*servedSession
}

// servedSession is a session and whether a copy store reported it as fenced.
type servedSession struct {
	state  *session.Session
	fenced bool
}

// attempt is a running attempt, whose tokens are all of one version.
type attempt struct {
	node    *node
	session *servedSession
	work    session.Attempt
	version version.Version
}

// response is a batch in transit to the trainer, with the newest version when it
// was sent.
type response struct {
	batch  session.Batch
	newest version.Version
}

// simulation is a fleet and a trainer, with a record of the samples that the
// trainer received.
type simulation struct {
	t        *rapid.T
	disabled disabledMechanisms
	clock    *timer.Manual
	nodes    []*node

	runningAttempts []attempt
	lateResponses   []response

	newestVersion  version.Version
	sessionNumber  uint64
	trainerNode    *node
	cursor         uint64
	specs          map[uint64]session.Spec
	received       map[sample.Key]bool
	deliveredBytes map[string][]byte
	serial         int
	dropped        map[uint64]bool
}

func newSimulation(t *rapid.T, disabled disabledMechanisms) *simulation {
	w := &simulation{
		t:        t,
		disabled: disabled,
		clock:    &timer.Manual{},
		newestVersion: version.Version{
			Epoch:  1,
			Number: 1,
		},
		specs:          make(map[uint64]session.Spec),
		received:       make(map[sample.Key]bool),
		deliveredBytes: make(map[string][]byte),
		dropped:        make(map[uint64]bool),
	}
	for range nodeCount {
		n := &node{}
		w.restart(n)
		w.nodes = append(w.nodes, n)
	}
	w.openSession(w.nodes[0])
	return w
}

// restart starts a node without any state.
func (w *simulation) restart(n *node) {
	n.alive = true
	n.sessions = nil
	n.store = &copystore.Store{
		Timer: w.clock,
	}
}

// stalenessBound returns the bound that sessions apply to reads.
func (w *simulation) stalenessBound(string) session.StalenessBound {
	if w.disabled.skipAgeCheck {
		return session.StalenessBound{
			MaxVersions: 1 << 40,
		}
	}
	return session.StalenessBound{
		Newest:      w.newestVersion,
		MaxVersions: maxVersions,
	}
}

// openSession opens the trainer's next session at n and submits all steps again.
func (w *simulation) openSession(n *node) {
	w.sessionNumber++
	w.trainerNode = n
	w.cursor = 0
	w.deliveredBytes = make(map[string][]byte)
	n.sessions = append(n.sessions, &servedSession{
		state: &session.Session{
			Trainer: "t",
			Number:  w.sessionNumber,
		},
	})
	for step := uint64(1); step <= uint64(len(w.specs)); step++ {
		w.submit(w.specs[step])
	}
}

// currentSession returns the session that the trainer reads from, or nil if its
// node is not alive or has lost it.
func (w *simulation) currentSession() *servedSession {
	if !w.trainerNode.alive {
		return nil
	}
	for _, s := range w.trainerNode.sessions {
		if s.state.Number == w.sessionNumber {
			return s
		}
	}
	return nil
}

// submit submits a step to the current session and recovers its copies from all
// nodes that are alive.
func (w *simulation) submit(spec session.Spec) {
	s := w.currentSession()
	if s == nil {
		return
	}
	var copies []copystore.Copy
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		var reply copystore.GatherReply
		_ = n.store.Gather(copystore.GatherArgs{
			Trainer: "t",
			Session: w.sessionNumber,
			Step:    spec.Step,
		}, &reply)
		copies = append(copies, reply.Copies...)
	}
	spec.Have = nil
	if !w.disabled.omitHave {
		for key := range w.received {
			if key.Step == spec.Step {
				spec.Have = append(spec.Have, key)
			}
		}
	}
	if err := s.state.Submit(spec, 0, w.clock.Now()); err != nil {
		w.t.Fatalf("submit: %v", err)
	}
	for _, c := range copies {
		s.state.Recover(c.Key, session.FinishedSample{
			Raw:    c.Raw,
			Oldest: c.Oldest,
		})
	}
}

// submitNewStep creates and submits the trainer's next step.
func (w *simulation) submitNewStep(groups, samples int) {
	spec := session.Spec{
		Step:       uint64(len(w.specs) + 1),
		Deployment: "m",
	}
	for g := range groups {
		spec.Groups = append(spec.Groups, session.Group{
			Group:     fmt.Sprintf("g%d", g),
			Prompt:    "p",
			Samples:   samples,
			MaxTokens: 4 + g,
		})
	}
	w.specs[spec.Step] = spec
	w.submit(spec)
}

// startAttempt starts an attempt in one of the sessions that are not fenced on
// nodes that are alive.
func (w *simulation) startAttempt(pick int) {
	var all []attempt
	for _, n := range w.nodes {
		for _, s := range n.sessions {
			if n.alive && !s.fenced {
				all = append(all, attempt{
					node:    n,
					session: s,
				})
			}
		}
	}
	if len(all) == 0 {
		return
	}
	a := all[pick%len(all)]
	work, ok := a.session.state.Next(session.Limits{
		MaxAttempts:    maxAttempts,
		SecondAttempts: 0.5,
		RunAhead:       maxVersions,
	}, w.clock.Now())
	if !ok {
		return
	}
	a.work = work
	a.version = w.newestVersion
	w.runningAttempts = append(w.runningAttempts, a)
}

// endAttempt ends an attempt with a sample, which is copied to another node, or
// with a failure.
func (w *simulation) endAttempt(pick int, success bool) {
	if len(w.runningAttempts) == 0 {
		return
	}
	i := pick % len(w.runningAttempts)
	a := w.runningAttempts[i]
	w.runningAttempts = append(w.runningAttempts[:i], w.runningAttempts[i+1:]...)
	if !a.node.alive {
		return
	}
	if !success {
		a.session.state.Fail(a.work.Key, w.clock.Now())
		return
	}
	w.serial++
	raw, _ := json.Marshal(map[string]any{
		"key":    a.work.Key,
		"serial": w.serial,
		"oldest": a.version,
	})
	for _, n := range w.nodes {
		if n == a.node || !n.alive {
			continue
		}
		var reply copystore.KeepReply
		_ = n.store.Keep(copystore.KeepArgs{
			Trainer:   "t",
			Session:   a.session.state.Number,
			Key:       a.work.Key,
			Raw:       raw,
			Oldest:    a.version,
			DoneBelow: a.session.state.DoneBelow(),
		}, &reply)
		if reply.Fenced {
			a.session.fenced = true
		}
		break
	}
	a.session.state.Finish(a.work.Key, session.FinishedSample{
		Raw:    raw,
		Oldest: a.version,
	}, w.clock.Now())
}

// recoverAndFinish runs without further faults until the trainer has all samples.
// It fails if any of them never arrives.
func (w *simulation) recoverAndFinish() {
	if w.currentSession() == nil {
		for _, n := range w.nodes {
			if n.alive {
				w.openSession(n)
				break
			}
		}
	}
	if w.currentSession() == nil {
		w.restart(w.nodes[0])
		w.openSession(w.nodes[0])
	}
	total := 0
	for _, spec := range w.specs {
		for _, g := range spec.Groups {
			total += g.Samples
		}
	}
	for range 20 * (total + 1) {
		if len(w.received) == total {
			return
		}
		w.clock.Advance(time.Second)
		s := w.currentSession()
		for {
			work, ok := s.state.Next(session.Limits{
				MaxAttempts: 1000,
				RunAhead:    maxVersions,
			}, w.clock.Now())
			if !ok {
				break
			}
			w.runningAttempts = append(w.runningAttempts, attempt{
				node:    w.trainerNode,
				session: s,
				work:    work,
				version: w.newestVersion,
			})
		}
		for len(w.runningAttempts) > 0 {
			w.endAttempt(0, true)
		}
		w.read(64, "good")
	}
	w.t.Fatalf("only %d of %d samples ever reached the trainer", len(w.received), total)
}
