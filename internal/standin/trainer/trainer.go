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
	readMost    = 256
	readWait    = 2 * time.Second
	callTimeout = 10 * time.Second
	retryPause  = 100 * time.Millisecond
)

// Trainer is the stand-in. It needs Settings, Addresses and a Timer.
type Trainer struct {
	Settings  Settings
	Addresses *addresses.Book
	Timer     timer.Service
	// MaxVersions is the bound that samples are checked against.
	MaxVersions uint64
	// Published is told of each version that was published; nil tells nobody.
	Published func(v version.Version)
	// Key is the bearer token of the trainers' doors, or empty.
	Key string

	result  Result
	version version.Version
	number  uint64
	address string
	cursor  uint64
	steps   map[uint64]*work
}

// work is a step that the trainer waits for.
type work struct {
	spec    session.Spec
	have    map[sample.Key]bool
	total   int
	sent    uint64
	dropped bool
}

func (w *work) whole() bool { return w.dropped || len(w.have) == w.total }

// Run trains until ctx ends or all steps are done, and returns what it saw.
func (t *Trainer) Run(ctx context.Context) Result {
	t.steps = make(map[uint64]*work)
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
		if !t.gather(ctx, n) {
			break
		}
		waited := t.Timer.Now().Sub(started)
		t.note(n, waited)
		trained := t.Timer.Now()
		timer.Wait(t.Timer, time.Duration(t.Settings.TrainMS)*time.Millisecond, ctx.Done())
		if n > 1 {
			t.result.busy += t.Timer.Now().Sub(trained)
			t.result.idle += waited
		}
		t.version.Number++
		t.publish(ctx)
	}
	t.result.Name = t.Settings.Name
	t.result.Sessions = int(t.number)
	t.result.close()
	return t.result
}

func (t *Trainer) note(n uint64, waited time.Duration) {
	if t.steps[n].dropped {
		t.result.StepsDropped++
		return
	}
	t.result.StepsFinished++
	t.result.steps = append(t.result.steps, waited.Seconds())
	if n > 1 {
		delete(t.steps, n-1)
	}
}

// gather reads until step n is whole. It reports false when ctx ended first.
func (t *Trainer) gather(ctx context.Context, n uint64) bool {
	for {
		if err := t.ensure(ctx, n); err != nil {
			if !t.pause(ctx, err) {
				return false
			}
			continue
		}
		if t.steps[n].whole() {
			return true
		}
		if err := t.read(ctx, n); err != nil && !t.pause(ctx, err) {
			return false
		}
	}
}

// pause waits after an error. One that says that the session is gone, and one
// of an instance that does not answer, moves the trainer to a new session.
func (t *Trainer) pause(ctx context.Context, err error) bool {
	e := problem.From(err)
	switch {
	case errors.Is(err, client.ErrNoAnswer),
		problem.Is(err, problem.SessionUnknown),
		problem.Is(err, problem.SessionFenced),
		problem.Is(err, problem.CursorUnknown):
		if t.address != "" {
			t.Addresses.Failed(t.address)
		}
		t.address = ""
	}
	return timer.Wait(t.Timer, max(retryPause, e.RetryAfter), ctx.Done())
}

// ensure has a session open and the steps up to n and the ones ahead
// submitted in it.
func (t *Trainer) ensure(ctx context.Context, n uint64) error {
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

func (t *Trainer) open(ctx context.Context) error {
	address, err := t.Addresses.Pick(ctx)
	if err != nil {
		return err
	}
	t.number++
	err = t.call(ctx, address, t.path("sessions"), trainer.OpenRequest{
		Session: t.number,
	}, nil)
	if err != nil {
		t.Addresses.Failed(address)
		return err
	}
	t.address = address
	t.cursor = 0
	return nil
}

func (t *Trainer) submit(ctx context.Context, n uint64) error {
	w, ok := t.steps[n]
	if !ok {
		spec := t.Settings.step(n)
		w = &work{
			spec:  spec,
			have:  make(map[sample.Key]bool),
			total: t.Settings.Groups * t.Settings.PerGroup,
		}
		t.steps[n] = w
	}
	if w.sent == t.number {
		return nil
	}
	spec := w.spec
	for key := range w.have {
		spec.Have = append(spec.Have, key)
	}
	err := t.call(ctx, t.address, t.path("steps"), trainer.SubmitRequest{
		Session: t.number,
		Step:    spec,
	}, nil)
	if err == nil {
		w.sent = t.number
	}
	return err
}

func (t *Trainer) read(ctx context.Context, n uint64) error {
	var batch session.Batch
	err := t.call(ctx, t.address, t.path("read"), runner.ReadArgs{
		Session: t.number,
		Cursor:  t.cursor,
		Max:     readMost,
		WaitMS:  readWait.Milliseconds(),
		Newest: map[string]version.Version{
			t.Settings.Deployment: t.version,
		},
	}, &batch)
	if err != nil {
		return err
	}
	// An answer of another session or place is not the one asked for.
	if batch.Session != t.number || batch.From != t.cursor {
		return fmt.Errorf("read %d of session %d was answered for %d of %d", t.cursor, t.number, batch.From, batch.Session)
	}
	for _, entry := range batch.Entries {
		t.take(entry)
	}
	t.cursor = batch.Cursor
	t.follow(batch.Steps, n)
	return nil
}

func (t *Trainer) take(entry session.Entry) {
	if entry.Withdrawn != nil {
		t.result.Withdrawn++
		return
	}
	var key sample.Key
	if err := json.Unmarshal(entry.Sample, &key); err != nil {
		t.result.Foreign++
		return
	}
	w, ok := t.steps[key.Step]
	if !ok {
		t.result.Foreign++
		t.result.fault("a sample of step %d, which is not open", key.Step)
		return
	}
	k, valid := t.result.check(entry.Sample, w.spec, t.MaxVersions, t.version)
	if !valid {
		return
	}
	if w.have[k] {
		t.result.Doubled++
		t.result.fault("sample %v came twice", k)
	}
	w.have[k] = true
}

func (t *Trainer) follow(steps []session.Status, n uint64) {
	for _, st := range steps {
		w, ok := t.steps[st.Step]
		if !ok {
			continue
		}
		if st.State == session.Dropped {
			w.dropped = true
		}
		if st.Step == n && w.whole() {
			t.result.Discarded += st.Discarded
			t.result.SecondAttempts += st.SecondAttempts
			t.result.Recovered += st.Recovered
		}
	}
}

func (t *Trainer) publish(ctx context.Context) {
	for ctx.Err() == nil {
		address, err := t.Addresses.Pick(ctx)
		if err == nil {
			err = t.call(ctx, address, "/v1/models/"+t.Settings.Deployment+"/versions", version.Published{
				Version: t.version,
				Source:  fmt.Sprintf("%s-%v", t.Settings.Name, t.version),
			}, nil)
		}
		// Several trainers may share a model in a test; the newest one counts.
		if err == nil || problem.Is(err, problem.VersionBehind) {
			if t.Published != nil {
				t.Published(t.version)
			}
			return
		}
		t.Addresses.Failed(address)
		timer.Wait(t.Timer, retryPause, ctx.Done())
	}
}

func (t *Trainer) path(door string) string { return "/v1/trainers/" + t.Settings.Name + "/" + door }

func (t *Trainer) call(ctx context.Context, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.Client{
		Address: address,
		Key:     t.Key,
	}.Do(ctx, http.MethodPost, path, in, out)
}
