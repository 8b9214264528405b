package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/egretbend/egretbend/internal/entry/client"
	"github.com/egretbend/egretbend/internal/entry/trainer"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/addresses"
	"github.com/egretbend/egretbend/internal/rollout/runner"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/rollout/session"
)

const (
	// maxReadEntries is the maximum number of entries in the answer to a read.
	maxReadEntries = 256
	// readWait is how long a read waits for entries.
	readWait    = 2 * time.Second
	callTimeout = 10 * time.Second
	// retryDelay is the minimum time before a failed call is repeated.
	retryDelay = 100 * time.Millisecond
)

// Trainer is a simulated trainer. It needs Settings, Addresses and a Timer.
type Trainer struct {
	Settings  Settings
	Addresses *addresses.Cache
	Timer     timer.Service
	// MaxStaleness is the maximum staleness of a sample, in versions.
	MaxStaleness uint64
	// OnPublish is called with each published version, unless it is nil.
	OnPublish func(v version.Version)
	// Key is the bearer token for the trainer endpoints, or empty.
	Key string

	result        Result
	version       version.Version
	sessionNumber uint64
	// address is the instance that has the session; empty without a session.
	address string
	// cursor is the position of the next read in the session.
	cursor uint64
	steps  map[uint64]*pendingStep
}

// pendingStep is a submitted step and the samples received for it.
type pendingStep struct {
	spec     session.Spec
	received map[sample.Key]bool
	// total is the number of samples in the step.
	total int
	// submittedIn is the number of the last session that it was submitted in.
	submittedIn uint64
	// dropped is set when the service gave up the step.
	dropped bool
}

// complete reports whether the step needs no further samples.
func (p *pendingStep) complete() bool { return p.dropped || len(p.received) == p.total }

// Run trains until ctx is done or all steps are finished, and returns the result.
func (t *Trainer) Run(ctx context.Context) Result {
	t.steps = make(map[uint64]*pendingStep)
	t.version = version.Version{
		Epoch:  1,
		Number: 1,
	}
	t.publish(ctx)
	for n := uint64(1); ctx.Err() == nil; n++ {
		if t.Settings.Steps > 0 && n > uint64(t.Settings.Steps) {
			break
		}
		started := t.Timer.Now()
		if !t.waitForStep(ctx, n) {
			break
		}
		waited := t.Timer.Now().Sub(started)
		t.recordStep(n, waited)
		trainingStarted := t.Timer.Now()
		timer.Wait(t.Timer, time.Duration(t.Settings.TrainMS)*time.Millisecond, ctx.Done())
		if n > 1 {
			t.result.busy += t.Timer.Now().Sub(trainingStarted)
			t.result.idle += waited
		}
		t.version.Number++
		t.publish(ctx)
	}
	t.result.Name = t.Settings.Name
	t.result.Sessions = int(t.sessionNumber)
	t.result.summarize()
	return t.result
}

// recordStep counts step n as finished or dropped, and forgets the step before a
// finished one.
func (t *Trainer) recordStep(n uint64, waited time.Duration) {
	if t.steps[n].dropped {
		t.result.StepsDropped++
		return
	}
	t.result.StepsFinished++
	t.result.stepSeconds = append(t.result.stepSeconds, waited.Seconds())
	if n > 1 {
		delete(t.steps, n-1)
	}
}

// waitForStep reads until step n is complete. It reports false if ctx is done
// before.
func (t *Trainer) waitForStep(ctx context.Context, n uint64) bool {
	for {
		if err := t.ensureSubmitted(ctx, n); err != nil {
			if !t.backOff(ctx, err) {
				return false
			}
			continue
		}
		if t.steps[n].complete() {
			return true
		}
		if err := t.read(ctx, n); err != nil && !t.backOff(ctx, err) {
			return false
		}
	}
}

// backOff waits after an error. If the session is gone or the instance does not
// answer, the next attempt opens a new session. It reports false if ctx is done.
func (t *Trainer) backOff(ctx context.Context, err error) bool {
	e := problem.From(err)
	switch {
	case errors.Is(err, client.ErrNoAnswer),
		problem.Is(err, problem.SessionUnknown),
		problem.Is(err, problem.SessionFenced),
		problem.Is(err, problem.CursorUnknown):
		if t.address != "" {
			t.Addresses.MarkFailed(t.address)
		}
		t.address = ""
	}
	return timer.Wait(t.Timer, max(retryDelay, e.RetryAfter), ctx.Done())
}

// ensureSubmitted opens a session if there is none, and submits step n and the
// next Settings.RunAhead steps in it.
func (t *Trainer) ensureSubmitted(ctx context.Context, n uint64) error {
	if t.address == "" {
		if err := t.open(ctx); err != nil {
			return err
		}
	}
	last := n + uint64(t.Settings.RunAhead)
	if t.Settings.Steps > 0 {
		last = min(last, uint64(t.Settings.Steps))
	}
	for s := n; s <= last; s++ {
		if err := t.submit(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// open opens a session with the next number at an instance.
func (t *Trainer) open(ctx context.Context) error {
	address, err := t.Addresses.Next(ctx)
	if err != nil {
		return err
	}
	t.sessionNumber++
	err = t.call(ctx, address, t.path("sessions"), trainer.OpenSessionRequest{
		Session: t.sessionNumber,
	}, nil)
	if err != nil {
		t.Addresses.MarkFailed(address)
		return err
	}
	t.address = address
	t.cursor = 0
	return nil
}

// submit submits step n, unless it was submitted in this session. It names the
// samples that were received in earlier sessions.
func (t *Trainer) submit(ctx context.Context, n uint64) error {
	pending, ok := t.steps[n]
	if !ok {
		spec := t.Settings.stepSpec(n)
		pending = &pendingStep{
			spec:     spec,
			received: make(map[sample.Key]bool),
			total:    t.Settings.Groups * t.Settings.SamplesPerGroup,
		}
		t.steps[n] = pending
	}
	if pending.submittedIn == t.sessionNumber {
		return nil
	}
	spec := pending.spec
	for key := range pending.received {
		spec.Have = append(spec.Have, key)
	}
	err := t.call(ctx, t.address, t.path("steps"), trainer.SubmitStepRequest{
		Session: t.sessionNumber,
		Step:    spec,
	}, nil)
	if err == nil {
		pending.submittedIn = t.sessionNumber
	}
	return err
}

// read reads the next entries of the session while it waits for step n.
func (t *Trainer) read(ctx context.Context, n uint64) error {
	var batch session.Batch
	err := t.call(ctx, t.address, t.path("read"), runner.ReadArgs{
		Session: t.sessionNumber,
		Cursor:  t.cursor,
		Max:     maxReadEntries,
		WaitMS:  readWait.Milliseconds(),
		Newest: map[string]version.Version{
			t.Settings.Deployment: t.version,
		},
	}, &batch)
	if err != nil {
		return err
	}
	// Reject the answer to a read of another session or cursor.
	if batch.Session != t.sessionNumber || batch.From != t.cursor {
		return fmt.Errorf("read at cursor %d of session %d: got the answer for cursor %d of session %d", t.cursor, t.sessionNumber, batch.From, batch.Session)
	}
	for _, entry := range batch.Entries {
		t.addEntry(entry)
	}
	t.cursor = batch.Cursor
	t.updateSteps(batch.Steps, n)
	return nil
}

// addEntry checks the sample of an entry and adds it to its step, or counts a
// withdrawal.
func (t *Trainer) addEntry(entry session.Entry) {
	if entry.Withdrawn != nil {
		t.result.Withdrawn++
		return
	}
	var key sample.Key
	if err := json.Unmarshal(entry.Sample, &key); err != nil {
		t.result.Foreign++
		return
	}
	pending, ok := t.steps[key.Step]
	if !ok {
		t.result.Foreign++
		t.result.recordFault("received a sample of step %d, which is not open", key.Step)
		return
	}
	k, valid := t.result.checkSample(entry.Sample, pending.spec, t.MaxStaleness, t.version)
	if !valid {
		return
	}
	if pending.received[k] {
		t.result.Duplicates++
		t.result.recordFault("received sample %v twice", k)
	}
	pending.received[k] = true
}

// updateSteps marks the steps that were dropped, and adds the counters of step n
// to the result when it is complete.
func (t *Trainer) updateSteps(steps []session.Status, n uint64) {
	for _, st := range steps {
		pending, ok := t.steps[st.Step]
		if !ok {
			continue
		}
		if st.State == session.Dropped {
			pending.dropped = true
		}
		if st.Step == n && pending.complete() {
			t.result.Discarded += st.Discarded
			t.result.SecondAttempts += st.SecondAttempts
			t.result.Recovered += st.Recovered
		}
	}
}

// publish publishes the current version, and retries until it succeeds or ctx is
// done.
func (t *Trainer) publish(ctx context.Context) {
	for ctx.Err() == nil {
		address, err := t.Addresses.Next(ctx)
		if err == nil {
			err = t.call(ctx, address, "/v1/models/"+t.Settings.Deployment+"/versions", version.Published{
				Version: t.version,
				Source:  fmt.Sprintf("%s-%v", t.Settings.Name, t.version),
			}, nil)
		}
		// Trainers that share a model in a test may publish a newer version
		// first; the newest one takes effect.
		if err == nil || problem.Is(err, problem.VersionBehind) {
			if t.OnPublish != nil {
				t.OnPublish(t.version)
			}
			return
		}
		t.Addresses.MarkFailed(address)
		timer.Wait(t.Timer, retryDelay, ctx.Done())
	}
}

// path returns the path of one of the trainer's endpoints.
func (t *Trainer) path(endpoint string) string {
	return "/v1/trainers/" + t.Settings.Name + "/" + endpoint
}

// call sends one request with a timeout of callTimeout.
func (t *Trainer) call(ctx context.Context, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.Client{
		Address: address,
		Key:     t.Key,
	}.Do(ctx, http.MethodPost, path, in, out)
}
