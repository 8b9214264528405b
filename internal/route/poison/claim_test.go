package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Guards against more sends of a suspected request than the quarantine allows for, and
// against refusing one that crashed a single upstream.
func TestPermissions(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		verdict               Verdict
		ran                   bool
		claimed, withoutClaim Permission
	}{
		{Verdict{Crashes: 1, TotalCrashes: 1}, false, Serial, Once},
		{Verdict{Crashes: 1, TotalCrashes: 1}, true, Serial, Refused},
		{Verdict{Crashes: 1, TotalCrashes: 5}, true, Serial, Refused},
		{Verdict{Crashes: 2, TotalCrashes: 2}, false, Serial, Refused},
		{Verdict{Crashes: 3, TotalCrashes: 3}, false, Serial, Refused},
		{Verdict{Crashes: 3, TotalCrashes: 3}, true, Refused, Refused},
		{Verdict{Crashes: 4, TotalCrashes: 4, RetryAfter: time.Minute}, false, Refused, Refused},
		{Verdict{Crashes: 4, TotalCrashes: 4, Trial: true}, false, Serial, Refused},
	} {
		is.Equal(c.verdict.Permit(c.ran), c.claimed)
		is.Equal(c.verdict.PermitWithoutClaim(c.ran), c.withoutClaim)
	}
	is.Equal(Verdict{}.Permit(true), Unrestricted)
}

// Guards against a crash that counts again after an answer, because the report of another
// instance arrives late with a later estimate of its time.
func TestClearedCrashIsNotAddedAgain(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	at := timer.Instant(time.Hour)
	for i := range 3 {
		tracker.Add(newCrash(i, 1, 1, at))
	}
	tracker.ClearCrash(fingerprintOf(1), incarnationOf(0), at.Add(time.Second))
	is.Equal(tracker.CrashCount(fingerprintOf(1)), 2) // the others still count
	tracker.Clear(fingerprintOf(1), at.Add(time.Second))
	for i := range 3 {
		is.True(!tracker.Add(newCrash(i, 1, 1, at.Add(2*time.Second))))
	}
	is.True(tracker.Add(newCrash(3, 1, 1, at.Add(2*time.Second))))
	is.Equal(len(tracker.Crashes(fingerprintOf(1))), 1)
	tracker.Expire(at.Add(time.Second + clearedTTL))
	is.Equal(len(tracker.clearedCrashes), 0)
}
