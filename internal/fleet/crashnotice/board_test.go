package crashnotice

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// boardFixture holds a store for several boards, with a clock of its own.
type boardFixture struct {
	clock *timer.Manual
	store *memorystore.Store
}

func newBoardFixture() *boardFixture {
	f := &boardFixture{
		clock: &timer.Manual{},
	}
	f.clock.Advance(time.Hour)
	f.store = &memorystore.Store{
		Timer: f.clock,
	}
	return f
}

func (f *boardFixture) board(key string) *Board {
	return &Board{
		Secret: fixedSecret{},
		Key:    key,
		Publisher: &KeyPublisher{
			Store: f.store,
			Name:  key,
			Timer: f.clock,
		},
		InstanceCount: func() int { return 20 },
		Timer:         f.clock,
	}
}

func digestOf(body string) fingerprint.Digest {
	return fingerprint.DigestOf(fingerprint.Parts{Body: []byte(body)})
}

// crashUpstreams records that n upstreams crashed while they ran a request, one after the
// other. Their incarnations are numbered starting with from.
func (f *boardFixture) crashUpstreams(b *Board, body string, from, n int) {
	for i := range n {
		f.clock.Advance(time.Millisecond)
		b.RecordCrash(poison.Crash{
			Incarnation: crash.IncarnationOf("u", uint64(from+i)),
			Fingerprint: digestOf(body).Keyed(fixedSecret{}.Value()),
			At:          f.clock.Now(),
			Consecutive: judge(b, body).Crashes + 1,
		})
	}
}

// answer records that a request was answered.
func answer(b *Board, body string) {
	b.RecordAnswer(func() fingerprint.Digest { return digestOf(body) })
}

// judge returns the verdict of a board on a request.
func judge(b *Board, body string) poison.Verdict {
	return b.Judge(func() fingerprint.Digest { return digestOf(body) })
}

// deliver passes the published notices of one board to another one.
func (f *boardFixture) deliver(is *is.I, from, to *Board) {
	item, err := f.store.Get(context.Background(), from.Key)
	is.NoErr(err)
	to.Apply([]keyvalue.Change{{Item: item}})
}

// Guards against instances that count only the crashes that they observed themselves.
func TestCrashesAddUpOverInstances(t *testing.T) {
	is := is.New(t)
	f := newBoardFixture()
	a, b, c := f.board("a"), f.board("b"), f.board("c")
	f.crashUpstreams(a, "deadly", 0, 2)
	is.NoErr(a.publishNow(context.Background()))
	f.deliver(is, a, b)
	f.crashUpstreams(b, "deadly", 2, 2)
	is.NoErr(b.publishNow(context.Background()))
	is.True(!judge(c, "deadly").Quarantined())
	f.deliver(is, a, c)
	f.deliver(is, b, c)
	is.True(judge(c, "deadly").Quarantined())
	is.True(!judge(c, "another").Suspected())
	f.deliver(is, b, c) // the same notices again add nothing
	is.Equal(judge(c, "deadly").Crashes, 4)
}

// Guards against a write to the service for each request whose upstream crashed, even if
// another upstream answered it at once, and against an answered request that stays
// suspected at other instances.
func TestAnswersArePublishedOnlyAfterCrashes(t *testing.T) {
	is := is.New(t)
	f := newBoardFixture()
	a, b := f.board("a"), f.board("b")
	f.crashUpstreams(a, "plain", 0, 1)
	answer(a, "plain")
	is.True(!a.hasUnpublished())
	is.True(!a.hasEvidence.Load())

	f.clock.Advance(time.Second)
	f.crashUpstreams(a, "plain", 1, 3)
	is.NoErr(a.publishNow(context.Background()))
	f.deliver(is, a, b)
	is.Equal(judge(b, "plain").Crashes, 3)
	f.clock.Advance(time.Second)
	answer(b, "plain")
	is.True(b.hasUnpublished())
	is.NoErr(b.publishNow(context.Background()))
	f.deliver(is, b, a)
	is.True(!judge(a, "plain").Suspected())
	f.deliver(is, a, b) // the old notice is ignored
	is.True(!judge(b, "plain").Suspected())
}

// Guards against notices that are lost with the instance that published them, or with a
// lease that expired while the service was unavailable.
func TestNoticesOutliveTheirInstanceAndTheirLease(t *testing.T) {
	is := is.New(t)
	f := newBoardFixture()
	a, b := f.board("a"), f.board("b")
	f.crashUpstreams(a, "deadly", 0, 4)
	is.NoErr(a.publishNow(context.Background()))
	f.deliver(is, a, b)
	gone := keyvalue.Change{Item: keyvalue.Item{Key: "a"}, Removed: true}
	b.Apply([]keyvalue.Change{gone})
	is.True(judge(b, "deadly").Quarantined())
	is.True(!a.hasUnpublished())
	f.store.ExpireLease(a.Publisher.(*KeyPublisher).lease)
	a.Apply([]keyvalue.Change{gone})
	is.True(a.hasUnpublished())
	is.True(a.publishNow(context.Background()) != nil) // fails because the lease has expired
	is.NoErr(a.publishNow(context.Background()))
	_, err := f.store.Get(context.Background(), "a")
	is.NoErr(err)
}

// Guards against an instance that starts and takes a published crash as new although the
// request was answered elsewhere since: for minutes it would refuse a request that all
// others serve.
func TestStartingInstancesGetNoClearedCrashes(t *testing.T) {
	is := is.New(t)
	f := newBoardFixture()
	a, b := f.board("a"), f.board("b")
	f.crashUpstreams(a, "popular", 0, 4)
	is.NoErr(a.publishNow(context.Background()))
	f.deliver(is, a, b)
	f.clock.Advance(time.Second)
	answer(b, "popular")
	is.NoErr(b.publishNow(context.Background()))
	f.deliver(is, b, a)
	a.expire(context.Background())
	is.True(a.hasUnpublished())
	is.NoErr(a.publishNow(context.Background()))
	is.True(!a.hasUnpublished())
	started := f.board("c")
	f.deliver(is, a, started)
	is.True(!judge(started, "popular").Suspected())
}

// Guards against a flood of different poison requests that fills the memory or the key, or
// uses up the allowed rate of calls to the service.
func TestFloodOfDifferentRequestsIsBounded(t *testing.T) {
	is := is.New(t)
	f := newBoardFixture()
	a := f.board("a")
	calls, begun := 0, f.clock.Now()
	for i := range 3000 {
		f.crashUpstreams(a, "deadly "+time.Duration(i).String(), 10*i, 1)
		f.clock.Advance(20 * time.Millisecond)
		limiter := a.limiter
		if limiter.reserve(f.clock.Now(), 20) == 0 {
			a.limiter = limiter
			is.NoErr(a.publishNow(context.Background()))
			calls++
		}
	}
	pause := 20 * writePausePerInstance // at twenty instances
	is.True(calls <= int(f.clock.Now().Sub(begun)/pause)+writeBurst+1)
	is.True(len(a.own) <= maxNotices)
	is.True(a.evidence.Len() <= poison.MaxCrashes)
	item, err := f.store.Get(context.Background(), "a")
	is.NoErr(err)
	is.True(len(item.Value) < 100*maxNotices)
	var list []notice
	is.NoErr(json.Unmarshal(item.Value, &list))
	is.True(!strings.Contains(string(item.Value), "deadly"))
	f.clock.Advance(time.Hour)
	a.expire(context.Background())
	is.True(!a.hasEvidence.Load())
	is.Equal(len(a.own), 0)
}

// Guards against trials of a quarantined request at all instances at the same time, or at
// the chosen instance without a pause.
func TestOnlyChosenInstanceRunsTrial(t *testing.T) {
	is := is.New(t)
	f := newBoardFixture()
	a, b := f.board("a"), f.board("b")
	a.RunsTrial = func(fingerprint.Fingerprint) bool { return true }
	f.crashUpstreams(a, "deadly", 0, 4)
	f.crashUpstreams(b, "deadly", 0, 4)
	is.True(judge(a, "deadly").Quarantined())
	f.clock.Advance(time.Minute)
	is.True(!judge(a, "deadly").Quarantined())
	is.True(judge(a, "deadly").Quarantined())
	is.True(judge(b, "deadly").Quarantined())
	f.clock.Advance(trialInterval)
	is.True(!judge(a, "deadly").Quarantined())
	answer(a, "deadly")
	is.True(!judge(a, "deadly").Suspected())
}

// Guards against computing the digest of each request while no crash is known.
func TestNoDigestWithoutEvidence(t *testing.T) {
	f := newBoardFixture()
	a := f.board("a")
	digest := func() fingerprint.Digest {
		t.Fatal("a digest was computed without evidence")
		return fingerprint.Digest{}
	}
	a.Judge(digest)
	a.RecordAnswer(digest)
}

// Guards against data races between requests, changes from other instances and the
// writer.
func TestBoardConcurrentUse(t *testing.T) {
	is := is.New(t)
	f := newBoardFixture()
	a := f.board("a")
	stop := f.clock.Run(50*time.Millisecond, time.Millisecond)
	defer stop()
	var tb tomb.Tomb
	tb.Go(func() error { return a.Run(&tb) })
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			f.crashUpstreams(a, "deadly", 10*i, 1)
			judge(a, "deadly")
			a.Apply([]keyvalue.Change{{Item: keyvalue.Item{Key: "b", Value: []byte("[]")}}})
		})
	}
	wg.Wait()
	published := func() bool { return !a.hasUnpublished() }
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 10*time.Second, nil, published))
	is.True(f.store.CallCount(memorystore.Commit) <= writeBurst)
	tb.Kill(nil)
	is.NoErr(tb.Wait())
}
