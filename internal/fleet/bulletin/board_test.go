package bulletin

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
	"github.com/egretbend/egretbend/internal/route/suspect"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// desk is a store with boards on a clock of its own.
type desk struct {
	clock *timer.Manual
	store *space.Space
}

func newDesk() *desk {
	d := &desk{
		clock: &timer.Manual{},
	}
	d.clock.Advance(time.Hour)
	d.store = &space.Space{
		Timer: d.clock,
	}
	return d
}

func (d *desk) board(key string) *Board {
	return &Board{
		Secret: known{},
		Key:    key,
		Poster: &Key{
			Space: d.store,
			Name:  key,
			Timer: d.clock,
		},
		Instances: func() int { return 20 },
		Timer:     d.clock,
	}
}

func sumOf(body string) fingerprint.Sum { return fingerprint.Of(fingerprint.Parts{Body: []byte(body)}) }

// ended lets upstreams end under a request, one after the other.
func (d *desk) ended(b *Board, body string, from, n int) {
	for i := range n {
		d.clock.Advance(time.Millisecond)
		b.Ended(suspect.Crash{
			Incarnation: crash.IncarnationOf("u", uint64(from+i)),
			Print:       sumOf(body).Under(known{}.Known()),
			At:          d.clock.Now(),
			Row:         judge(b, body).Crashes + 1,
		})
	}
}

// answered lets a request be answered.
func answered(b *Board, body string) { b.Answered(func() fingerprint.Sum { return sumOf(body) }) }

func judge(b *Board, body string) suspect.Verdict {
	return b.Judge(func() fingerprint.Sum { return sumOf(body) })
}

// pass lets a board hear what another one's key holds.
func (d *desk) pass(is *is.I, from, to *Board) {
	item, err := d.store.Get(context.Background(), from.Key)
	is.NoErr(err)
	to.Take([]keyvalue.Change{{Item: item}})
}

// Guards against instances that each count the crashes they saw themselves.
func TestCrashesAddUpOverInstances(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	a, b, c := d.board("a"), d.board("b"), d.board("c")
	d.ended(a, "deadly", 0, 2)
	is.NoErr(a.write(context.Background()))
	d.pass(is, a, b)
	d.ended(b, "deadly", 2, 2)
	is.NoErr(b.write(context.Background()))
	is.True(!judge(c, "deadly").Refused())
	d.pass(is, a, c)
	d.pass(is, b, c)
	is.True(judge(c, "deadly").Refused())
	is.True(!judge(c, "another").Suspects())
	d.pass(is, b, c) // told again, it is the same
	is.Equal(judge(c, "deadly").Crashes, 4)
}

// Guards against a call of the service for each request whose upstream ended, though
// another one answered it at once; and against one that stays suspected elsewhere.
func TestAnsweredRequestsAreToldOnlyIfTheyWereToldBefore(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	a, b := d.board("a"), d.board("b")
	d.ended(a, "plain", 0, 1)
	answered(a, "plain")
	is.True(!a.untold())
	is.True(!a.some.Load())

	d.clock.Advance(time.Second)
	d.ended(a, "plain", 1, 3)
	is.NoErr(a.write(context.Background()))
	d.pass(is, a, b)
	is.Equal(judge(b, "plain").Crashes, 3)
	d.clock.Advance(time.Second)
	answered(b, "plain")
	is.True(b.untold())
	is.NoErr(b.write(context.Background()))
	d.pass(is, b, a)
	is.True(!judge(a, "plain").Suspects())
	d.pass(is, a, b) // its old notice is not news
	is.True(!judge(b, "plain").Suspects())
}

// Guards against notices that end with the instance that wrote them, or with
// a lease that ran out while the service was away.
func TestNoticesOutliveTheirInstanceAndTheirLease(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	a, b := d.board("a"), d.board("b")
	d.ended(a, "deadly", 0, 4)
	is.NoErr(a.write(context.Background()))
	d.pass(is, a, b)
	gone := keyvalue.Change{Item: keyvalue.Item{Key: "a"}, Removed: true}
	b.Take([]keyvalue.Change{gone})
	is.True(judge(b, "deadly").Refused())
	is.True(!a.untold())
	d.store.Lapse(a.Poster.(*Key).lease)
	a.Take([]keyvalue.Change{gone})
	is.True(a.untold())
	is.True(a.write(context.Background()) != nil) // finds that the lease has ended
	is.NoErr(a.write(context.Background()))
	_, err := d.store.Get(context.Background(), "a")
	is.NoErr(err)
}

// Guards against an instance that starts, and takes for news what was answered elsewhere
// since: it would refuse for minutes what all others serve.
func TestWhatIsOverIsNotToldToThoseThatStart(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	a, b := d.board("a"), d.board("b")
	d.ended(a, "popular", 0, 4)
	is.NoErr(a.write(context.Background()))
	d.pass(is, a, b)
	d.clock.Advance(time.Second)
	answered(b, "popular")
	is.NoErr(b.write(context.Background()))
	d.pass(is, b, a)
	a.expire(context.Background())
	is.True(a.untold())
	is.NoErr(a.write(context.Background()))
	is.True(!a.untold())
	started := d.board("c")
	d.pass(is, a, started)
	is.True(!judge(started, "popular").Suspects())
}

// Guards against a flood of requests that crash upstreams, each another one, that fills
// memory, the key or the service's allowance of calls.
func TestFloodOfDifferentRequestsIsBounded(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	a := d.board("a")
	calls, begun := 0, d.clock.Now()
	for i := range 3000 {
		d.ended(a, "deadly "+time.Duration(i).String(), 10*i, 1)
		d.clock.Advance(20 * time.Millisecond)
		wait := a.pace
		if wait.wait(d.clock.Now(), 20) == 0 {
			a.pace = wait
			is.NoErr(a.write(context.Background()))
			calls++
		}
	}
	each := 20 * pauseEach // twenty instances
	is.True(calls <= int(d.clock.Now().Sub(begun)/each)+burst+1)
	is.True(len(a.own) <= maxNotices)
	is.True(a.evidence.Len() <= suspect.MaxCrashes)
	item, err := d.store.Get(context.Background(), "a")
	is.NoErr(err)
	is.True(len(item.Value) < 100*maxNotices)
	var list []notice
	is.NoErr(json.Unmarshal(item.Value, &list))
	is.True(!strings.Contains(string(item.Value), "deadly"))
	d.clock.Advance(time.Hour)
	a.expire(context.Background())
	is.True(!a.some.Load())
	is.Equal(len(a.own), 0)
}

// Guards against a convicted request that all instances try again at the same time, or that
// the chosen one tries without a pause.
func TestOneInstanceTriesAgain(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	a, b := d.board("a"), d.board("b")
	a.Chosen = func(fingerprint.Print) bool { return true }
	d.ended(a, "deadly", 0, 4)
	d.ended(b, "deadly", 0, 4)
	is.True(judge(a, "deadly").Refused())
	d.clock.Advance(time.Minute)
	is.True(!judge(a, "deadly").Refused())
	is.True(judge(a, "deadly").Refused())
	is.True(judge(b, "deadly").Refused())
	d.clock.Advance(tryEvery)
	is.True(!judge(a, "deadly").Refused())
	answered(a, "deadly")
	is.True(!judge(a, "deadly").Suspects())
}

// Guards against a digest of each request while nothing has crashed.
func TestCalmRequestsCostNoDigest(t *testing.T) {
	d := newDesk()
	a := d.board("a")
	sum := func() fingerprint.Sum {
		t.Fatal("a digest is made")
		return fingerprint.Sum{}
	}
	a.Judge(sum)
	a.Answered(sum)
}

// Guards against races of requests, the view and the writer.
func TestBoardRuns(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	a := d.board("a")
	stop := d.clock.Run(50*time.Millisecond, time.Millisecond)
	defer stop()
	var tb tomb.Tomb
	tb.Go(func() error { return a.Run(&tb) })
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			d.ended(a, "deadly", 10*i, 1)
			judge(a, "deadly")
			a.Take([]keyvalue.Change{{Item: keyvalue.Item{Key: "b", Value: []byte("[]")}}})
		})
	}
	wg.Wait()
	told := func() bool { return !a.untold() }
	is.True(timer.Until(timer.Real{}, time.Millisecond, 10*time.Second, nil, told))
	is.True(d.store.Calls(space.Commit) <= burst)
	tb.Kill(nil)
	is.NoErr(tb.Wait())
}
