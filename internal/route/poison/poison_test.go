package poison

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/standin/property"
)

func fingerprintOf(n int) (p fingerprint.Fingerprint) {
	binary.LittleEndian.PutUint64(p[:], uint64(n))
	return p
}

func incarnationOf(n int) crash.Incarnation { return crash.IncarnationOf("u", uint64(n)) }

// newCrash returns the crash of an upstream incarnation during a request.
func newCrash(incarnation, request, consecutive int, at timer.Instant) Crash {
	return Crash{
		Incarnation: incarnationOf(incarnation),
		Fingerprint: fingerprintOf(request),
		At:          at,
		Consecutive: consecutive,
	}
}

// addPoisonRequest adds enough crashes to make a request a poison request, one second apart,
// the last one at the given time.
func addPoisonRequest(tracker *Tracker, request, firstIncarnation int, at timer.Instant) {
	for i := range poisonMinCrashes {
		tracker.Add(newCrash(firstIncarnation+i, request, 1+i, at.Add(-time.Duration(poisonMinCrashes-1-i)*time.Second)))
	}
}

// Guards against quarantining a request after three crashes, which it may not have caused,
// and against serving it after a fourth.
func TestFourthCrashQuarantinesRequest(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	at := timer.Instant(time.Hour)
	for i := range 3 {
		at = at.Add(time.Second)
		is.True(tracker.Add(newCrash(i, 1, 1+i, at)))
		is.True(!tracker.Add(newCrash(i, 1, 1+i, at))) // duplicate
	}
	v := tracker.Judge(fingerprintOf(1), at)
	is.True(!v.Quarantined())
	is.True(!v.MayRetry(0, 0)) // one upstream only
	at = at.Add(time.Second)
	tracker.Add(newCrash(3, 1, 4, at))
	v = tracker.Judge(fingerprintOf(1), at.Add(time.Second))
	is.True(v.Quarantined())
	is.Equal(v.RetryAfter, initialQuarantine-time.Second)
	is.Equal(v.Crashes, 4)
	is.Equal(tracker.PoisonCount(), 1)
}

// Guards against a quarantine that never ends, and against one that starts at its initial
// length again with the request's next crash.
func TestQuarantineEndsAndGrows(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	at := timer.Instant(time.Hour)
	addPoisonRequest(&tracker, 1, 0, at)
	later := at.Add(initialQuarantine)
	v := tracker.Judge(fingerprintOf(1), later)
	is.True(!v.Quarantined())
	is.True(v.Trial)
	is.True(!v.MayRetry(0, 0)) // at one upstream only
	tracker.Add(newCrash(9, 1, 5, later))
	is.Equal(tracker.Judge(fingerprintOf(1), later).RetryAfter, quarantineFactor*initialQuarantine)
	is.True(tracker.Expire(later.Add(time.Hour)))
	is.True(tracker.Empty())
	is.Equal(tracker.Judge(fingerprintOf(1), later.Add(time.Hour)), Verdict{})
}

// Guards against quarantining a popular request that was in flight at several upstreams that
// crashed at the same time.
func TestConcurrentCrashesCountOnce(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	at := timer.Instant(time.Hour)
	for i := range 20 {
		tracker.Add(newCrash(i, 1, 1, at.Add(time.Duration(i)*time.Millisecond)))
	}
	v := tracker.Judge(fingerprintOf(1), at)
	is.Equal(v.Crashes, 1)
	is.Equal(v.TotalCrashes, 20)
	is.True(!v.Quarantined())
	// Attempts that were cut off for another reason raise Consecutive, but not the count
	// of crashes.
	tracker.Add(newCrash(0, 2, 9, at))
	is.Equal(tracker.Judge(fingerprintOf(2), at).Crashes, 1)
}

// Guards against blaming a bystander: it was in flight at as many crashes as each poison
// request, but always together with one of them.
func TestBystandersAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	at := timer.Instant(time.Hour)
	incarnation := 0
	for _, poison := range []int{1, 2} {
		for i := range 6 {
			incarnation++
			at = at.Add(time.Second)
			tracker.Add(newCrash(incarnation, poison, 1+i, at))
			if i < 3 {
				tracker.Add(newCrash(incarnation, 3, incarnation, at))
			}
		}
	}
	is.True(tracker.Judge(fingerprintOf(1), at).Quarantined())
	is.True(tracker.Judge(fingerprintOf(2), at).Quarantined())
	bystander := tracker.Judge(fingerprintOf(3), at)
	is.Equal(bystander.Crashes, 6)
	is.True(!bystander.Quarantined())
}

// Guards against a crash report that arrives after the request was answered by another
// upstream.
func TestAnsweredRequestIsCleared(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	at := timer.Instant(time.Hour)
	addPoisonRequest(&tracker, 1, 0, at)
	is.True(tracker.Clear(fingerprintOf(1), at.Add(time.Second)))
	is.True(tracker.Empty())
	is.True(!tracker.Add(newCrash(9, 1, 1, at)))
	is.True(tracker.Add(newCrash(9, 1, 1, at.Add(2*time.Second))))
}

// Guards against memory use that grows with the number of requests that crash upstreams, and
// against a flood of them that evicts a poison request.
func TestMemoryIsBoundedAndKeepsPoisonRequests(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	at := timer.Instant(time.Hour)
	addPoisonRequest(&tracker, 0, 1_000_000, at)
	for i := range 4 * MaxCrashes {
		tracker.Add(newCrash(i, i+1, 1, at.Add(time.Duration(i))))
		tracker.Clear(fingerprintOf(-i-1), at)
	}
	is.Equal(tracker.Len(), MaxCrashes)
	is.True(len(tracker.cleared) <= maxCleared)
	is.True(tracker.Judge(fingerprintOf(0), at).Quarantined())
	for i := range 2 * maxRequestsPerCrash {
		tracker.Add(newCrash(1_000_000, 5_000+i, 1, at))
	}
	for _, x := range tracker.crashes {
		is.True(len(x.requests) <= maxRequestsPerCrash)
	}
}

// checkRandomCrashes runs poison requests and innocent ones in random order on upstreams that
// also crash for other reasons. It checks that each poison request runs a bounded number of
// times, and that no innocent request is quarantined: neither one that was in flight beside a
// poison request three times before it was answered, nor one that met three unrelated crashes.
func checkRandomCrashes(t *rapid.T) {
	var tracker Tracker
	now := timer.Instant(time.Hour)
	poisonRuns, chanceCrashes := map[int]int{}, map[int]int{}
	for incarnation := range rapid.IntRange(1, 120).Draw(t, "ends") {
		now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "pause")) * time.Millisecond)
		culprit := rapid.IntRange(0, 3).Draw(t, "culprit")
		first := 10
		if culprit == 0 {
			first = 20
		}
		if culprit > 0 {
			if tracker.Judge(fingerprintOf(culprit), now).Quarantined() {
				continue
			}
			poisonRuns[culprit]++
			tracker.Add(newCrash(incarnation, culprit, 1+tracker.Judge(fingerprintOf(culprit), now).Crashes, now))
		}
		for _, p := range rapid.SliceOfNDistinct(rapid.IntRange(first, first+9), 0, 4, rapid.ID).Draw(t, "there") {
			if v := tracker.Judge(fingerprintOf(p), now); v.Quarantined() {
				t.Fatalf("innocent request %d was refused: %+v", p, v)
			}
			if chanceCrashes[p] < 3 {
				chanceCrashes[p]++
				tracker.Add(newCrash(incarnation, p, 1+tracker.Judge(fingerprintOf(p), now).Crashes, now))
			}
			if rapid.Bool().Draw(t, "answered") {
				chanceCrashes[p] = 0
				tracker.Clear(fingerprintOf(p), now)
			}
		}
	}
	for p, n := range poisonRuns {
		if n > 12 {
			t.Fatalf("poison request %d ran %d times", p, n)
		}
	}
}

// Guards against quarantining innocent requests and against serving poison requests without
// bound.
func TestOnlyPoisonRequestsAreRefused(t *testing.T) { property.Check(t, checkRandomCrashes) }

// BenchmarkJudge measures Judge with and without a change before it, with MaxCrashes crashes
// of six requests each.
func BenchmarkJudge(b *testing.B) {
	var tracker Tracker
	at := timer.Instant(time.Hour)
	for i := range MaxCrashes {
		for j := range 6 {
			tracker.Add(newCrash(i, i*3+j, 1, at))
		}
	}
	for _, stale := range []bool{false, true} {
		b.Run(fmt.Sprintf("changed=%t", stale), func(b *testing.B) {
			for b.Loop() {
				tracker.stale = stale
				tracker.Judge(fingerprintOf(7), at)
			}
		})
	}
}

// Guards against refusing a request that was answered elsewhere while the store was away.
func TestClearedRequestNeedsNoClaim(t *testing.T) {
	is := is.New(t)
	is.Equal(Verdict{}.PermitWithoutClaim(true), Unrestricted)
	is.Equal(Verdict{Crashes: 1, TotalCrashes: 1}.PermitWithoutClaim(true), Refused)
	is.Equal(Verdict{Crashes: 1, TotalCrashes: 1}.PermitWithoutClaim(false), Once)
}
