package runner

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/fleet/crashnotice"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/forward"
	"github.com/egretbend/egretbend/internal/route/poison"
	"github.com/egretbend/egretbend/internal/route/slowstart"
)

// refusingSender is a Sender that refuses this many sends and answers the others.
type refusingSender struct {
	refusals int32
	sent     atomic.Int32
}

// Send implements forward.Sender.
func (s *refusingSender) Send(context.Context, *catalog.Upstream, forward.Request, time.Duration) (*forward.Answer, error) {
	if s.sent.Add(1) <= s.refusals {
		return nil, &engine.RefusedError{}
	}
	return &forward.Answer{Status: http.StatusOK, Signature: "proof"}, nil
}

// Guards against a reward call that counts as failed, or is given up, because upstreams are full:
// it must wait and be sent once for each refusal.
func TestRefusedRewardCallIsKept(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	upstreams := &catalog.Upstreams{Timer: clock}
	upstreams.Update([]catalog.Entry{{ID: "u", Service: "s", Slots: 2}}, nil)
	holder := &catalog.Holder{}
	holder.Update(catalog.Configuration{
		Version: 1,
		Routes: []catalog.Route{{
			Host:     "h",
			Prefix:   "/",
			Kind:     catalog.Idempotent,
			Split:    []catalog.WeightedService{{Service: "s", Weight: 1}},
			Timeout:  time.Hour,
			Attempts: 2,
		}},
	}.WithIndex())
	sender := &refusingSender{refusals: 20}
	scorer := &RewardScorer{
		Config: holder,
		Forwarder: &forward.Forwarder{
			Upstreams: upstreams,
			Sender:    sender,
			Timer:     clock,
			Admission: &admission.Gates{Timer: clock},
		},
		Timer: clock,
	}
	defer clock.Run(10*time.Millisecond, 100*time.Microsecond)()
	signature, err := scorer.Score(context.Background(), &submission.Reward{ID: "r", Host: "h", Path: "/score"}, "", 0)
	is.NoErr(err)
	is.Equal(signature, "proof")
	is.Equal(sender.sent.Load(), int32(21))
}

// Guards against reward calls that are repeated, and logged, ten times a second for as long as all
// upstreams of their service are cold.
func TestRewardCallPausesWhileUpstreamsAreCold(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	services := map[string]catalog.Service{"s": {Name: "s", ColdStart: time.Minute, ColdRate: 4}}
	holder := &catalog.Holder{}
	holder.Update(catalog.Configuration{
		Version:  1,
		Services: services,
		Routes: []catalog.Route{{
			Host:    "h",
			Prefix:  "/",
			Kind:    catalog.Idempotent,
			Split:   []catalog.WeightedService{{Service: "s", Weight: 1}},
			Timeout: time.Second,
		}},
	}.WithIndex())
	upstreams := &catalog.Upstreams{Timer: clock}
	upstreams.SetServices(services)
	upstreams.Update([]catalog.Entry{{ID: "u", Service: "s", Slots: 2, ColdFor: 30 * time.Second}}, nil)
	upstreams.Group("s").Upstreams[0].DenyShare()
	var lines bytes.Buffer
	j, err := journal.Open(&lines, "info", "i")
	is.NoErr(err)
	limiter := &slowstart.Limiter{Config: holder, Timer: clock, Overage: 1.5, Slack: 5}
	scorer := &RewardScorer{
		Config: holder,
		Forwarder: &forward.Forwarder{
			Upstreams: upstreams,
			Sender:    &refusingSender{},
			Timer:     clock,
			Journal:   j,
			SlowStart: limiter,
		},
		Timer: clock,
	}
	defer clock.Run(10*time.Millisecond, 100*time.Microsecond)()
	_, err = scorer.Score(context.Background(), &submission.Reward{ID: "r", Host: "h", Path: "/score"}, "", 0)
	is.NoErr(err)
	is.NoErr(j.Flush())
	is.True(clock.Now().Sub(timer.Instant(time.Hour)) < 33*time.Second)
	is.True(strings.Count(lines.String(), "\n") <= 2*31+2)
}

// crashingSender is a Sender whose upstreams crash during this many sends and answer the others.
type crashingSender struct {
	crashes int32
	sent    atomic.Int32
}

// Send implements forward.Sender.
func (s *crashingSender) Send(context.Context, *catalog.Upstream, forward.Request, time.Duration) (*forward.Answer, error) {
	if s.sent.Add(1) <= s.crashes {
		return nil, engine.ErrConnectionLost
	}
	return &forward.Answer{Status: http.StatusOK, Signature: "proof"}, nil
}

// fixedSecret is a crashnotice.Secret.
type fixedSecret string

// Value implements crashnotice.Secret.
func (s fixedSecret) Value() []byte { return []byte(s) }

// crashRecorder is a forward.CrashReporter that takes each cut for the crash of another upstream.
type crashRecorder struct {
	board  *crashnotice.Board
	secret fixedSecret
	cuts   atomic.Int32
}

// ReportCutOff implements forward.CrashReporter.
func (r *crashRecorder) ReportCutOff(c crash.Cut) {
	r.board.RecordCrash(poison.Crash{
		Incarnation: crash.IncarnationOf(c.RequestID, uint64(r.cuts.Add(1))),
		Fingerprint: c.Digest.Keyed(r.secret.Value()),
		At:          c.At,
		Consecutive: c.Consecutive,
	})
}

// Guards against a reward call that is refused for a minute and longer, and its item with it, because
// several upstreams crashed while they ran it.
func TestRewardCallIsAnsweredAfterCrashes(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	upstreams := &catalog.Upstreams{Timer: clock}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		upstreams.Update([]catalog.Entry{{ID: id, Service: "s", Slots: 2}}, nil)
	}
	holder := &catalog.Holder{}
	holder.Update(catalog.Configuration{
		Version: 1,
		Routes: []catalog.Route{{
			Host:     "h",
			Prefix:   "/",
			Kind:     catalog.Idempotent,
			Split:    []catalog.WeightedService{{Service: "s", Weight: 1}},
			Timeout:  time.Second,
			Attempts: 2,
		}},
	}.WithIndex())
	for _, crashes := range []int32{3, 4, 5, 9, 15} {
		secret := fixedSecret("secret")
		board := &crashnotice.Board{Secret: secret, Timer: clock}
		sender := &crashingSender{crashes: crashes}
		scorer := &RewardScorer{
			Config: holder,
			Forwarder: &forward.Forwarder{
				Upstreams:      upstreams,
				Sender:         sender,
				Timer:          clock,
				CrashReporter:  &crashRecorder{board: board, secret: secret},
				PoisonDetector: board,
			},
			Timer: clock,
		}
		began := clock.Now()
		stop := clock.Run(10*time.Millisecond, 100*time.Microsecond)
		signature, err := scorer.Score(context.Background(), &submission.Reward{ID: "r", Host: "h", Path: "/score"}, "", 0)
		stop()
		is.NoErr(err)
		is.Equal(signature, "proof")
		t.Logf("%d crashes: answered after %s", crashes, clock.Now().Sub(began))
		is.True(clock.Now().Sub(began) < owedWithin)
	}
}

// owedWithin is the longest time without an attempt at an item that the platform allows while it is calm.
const owedWithin = 5 * time.Second
