package poison

import (
	"fmt"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
)

// Thresholds for limiting the attempts of a request and for quarantining it.
const (
	// singleAttemptFrom is the number of crashes from which a request is sent to one upstream
	// only. Three upstreams may crash during a request without being crashed by it.
	singleAttemptFrom = 3
	// poisonMinCrashes and poisonMinBlame are the number of crashes and the blame for them
	// from which a request is a poison request.
	poisonMinCrashes = 4
	poisonMinBlame   = 2
	// initialQuarantine is how long a poison request is refused after its last crash, before
	// one instance tries it again. The quarantine is temporary because an outage of a whole
	// service puts crashes on popular requests too. Each further crash multiplies it by
	// quarantineFactor, up to maxQuarantine.
	initialQuarantine = 60 * time.Second
	quarantineFactor  = 8
	maxQuarantine     = time.Hour
	// A request's crashes are kept for minRetention or retentionQuarantines quarantines after
	// the last one, whichever is longer.
	minRetention         = 10 * time.Minute
	retentionQuarantines = 2
)

// Verdict is the decision on a request with its reasons. The zero value means that the
// request is not suspected.
type Verdict struct {
	Fingerprint fingerprint.Fingerprint
	// Crashes is the number of upstreams that crashed one after the other while running the
	// request.
	Crashes int
	// TotalCrashes is the total number of upstreams that crashed while running the request.
	TotalCrashes int
	// Blame is the blame attributed to the request, where each crash contributes 1 in all.
	Blame float64
	// Age is the time since the last crash.
	Age time.Duration
	// RetryAfter is the remaining quarantine; zero if the request is not refused.
	RetryAfter time.Duration
	// Trial reports that the quarantine is over and one instance may try the request again.
	Trial bool
}

// Judge returns the verdict on a request.
func (t *Tracker) Judge(p fingerprint.Fingerprint, now timer.Instant) Verdict {
	t.updateBlame()
	b, ok := t.blame[p]
	if !ok || now >= b.expiry() {
		return Verdict{}
	}
	v := Verdict{
		Fingerprint:  p,
		Crashes:      b.countedCrashes(),
		TotalCrashes: b.total,
		Blame:        b.share,
		Age:          now.Sub(b.lastCrash),
	}
	if b.isPoison() {
		v.RetryAfter = max(0, b.lastCrash.Add(b.quarantine()).Sub(now))
		v.Trial = v.RetryAfter == 0
	}
	return v
}

// PoisonCount returns the number of poison requests.
func (t *Tracker) PoisonCount() int {
	t.updateBlame()
	n := 0
	for _, b := range t.blame {
		if b.isPoison() {
			n++
		}
	}
	return n
}

// Quarantined reports whether the request is in quarantine.
func (v Verdict) Quarantined() bool { return v.RetryAfter > 0 }

// Suspected reports whether any crash counts against the request.
func (v Verdict) Suspected() bool { return v.Crashes > 0 }

// MayRetry reports whether the request may be sent to one more upstream, given the number
// of its attempts that were cut off and the number of its attempts still in flight.
func (v Verdict) MayRetry(cut, inFlight int) bool { return v.Crashes+cut+inFlight < singleAttemptFrom }

// String returns the reason for the verdict, for callers and the log.
func (v Verdict) String() string {
	return fmt.Sprintf("%d upstreams crashed while running this request, the last one %s ago",
		v.Crashes, v.Age.Round(time.Millisecond))
}

// Fields returns the log fields of the verdict.
func (v Verdict) Fields() log.Fields {
	return log.Fields{
		"fingerprint":    v.Fingerprint.String(),
		"crashes":        v.Crashes,
		"ends":           v.TotalCrashes,
		"blame":          strconv.FormatFloat(v.Blame, 'f', 2, 64),
		"crash_age_ms":   v.Age.Milliseconds(),
		"retry_after_ms": v.RetryAfter.Milliseconds(),
	}
}

// isPoison reports whether the request has enough crashes and blame to be quarantined.
func (b blame) isPoison() bool {
	return b.countedCrashes() >= poisonMinCrashes && b.share >= poisonMinBlame
}

// quarantine returns how long a poison request is refused after its last crash.
func (b blame) quarantine() time.Duration {
	d := initialQuarantine
	for range b.countedCrashes() - poisonMinCrashes {
		d = min(d*quarantineFactor, maxQuarantine)
	}
	return d
}

// expiry returns the time at which the request's crashes expire.
func (b blame) expiry() timer.Instant {
	return b.lastCrash.Add(max(minRetention, retentionQuarantines*b.quarantine()))
}
