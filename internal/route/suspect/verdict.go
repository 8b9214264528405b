package suspect

import (
	"fmt"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
)

// When a request is suspected, and when refused.
const (
	// trialFrom is from how many crashes on a request goes to one upstream only. Three
	// upstreams may end under a request without its doing.
	trialFrom = 3
	// guiltyFrom and guiltyShare are how many crashes convict a request, and the part of
	// the blame that it must bear for them.
	guiltyFrom  = 4
	guiltyShare = 2
	// quarantineFirst is how long a convicted request is refused after its last crash,
	// before one instance tries it again: a service that is lost as a whole takes down
	// what all ask for. Each further crash makes that quarantineTimes as long, up to
	// quarantineMost.
	quarantineFirst = 60 * time.Second
	quarantineTimes = 8
	quarantineMost  = time.Hour
	// remembers is for how long crashes are remembered at least, and how many quarantines.
	remembers      = 10 * time.Minute
	remembersTimes = 2
)

// Verdict is what is decided about a request, and why. Its zero value suspects nothing.
type Verdict struct {
	Print fingerprint.Print
	// Crashes is how many upstreams ended under it, one after the other.
	Crashes int
	// Ends is how many ended under it in all.
	Ends int
	// Blame is the part that it bears in them.
	Blame float64
	// Age is the time since the last one.
	Age time.Duration
	// RetryAfter is how long it is refused; zero if it is not.
	RetryAfter time.Duration
	// Trial says that it was refused long enough for one instance to try it.
	Trial bool
}

// Judge decides about a request.
func (e *Evidence) Judge(p fingerprint.Print, now timer.Instant) Verdict {
	e.assess()
	b, ok := e.blame[p]
	if !ok || now >= b.forgotten() {
		return Verdict{}
	}
	v := Verdict{
		Print:   p,
		Crashes: b.crashes(),
		Ends:    b.ends,
		Blame:   b.share,
		Age:     now.Sub(b.last),
	}
	if b.guilty() {
		v.RetryAfter = max(0, b.last.Add(b.quarantine()).Sub(now))
		v.Trial = v.RetryAfter == 0
	}
	return v
}

// Guilty returns how many requests are convicted.
func (e *Evidence) Guilty() int {
	e.assess()
	n := 0
	for _, b := range e.blame {
		if b.guilty() {
			n++
		}
	}
	return n
}

// Refused reports whether no upstream may run the request now.
func (v Verdict) Refused() bool { return v.RetryAfter > 0 }

// Suspects reports whether anything speaks against the request.
func (v Verdict) Suspects() bool { return v.Crashes > 0 }

// MayRepeat reports whether the request may go to one more upstream after some cut it,
// beside some that are still at work on it.
func (v Verdict) MayRepeat(cut, atWork int) bool { return v.Crashes+cut+atWork < trialFrom }

// String says why, for a caller and for the log.
func (v Verdict) String() string {
	return fmt.Sprintf("%d upstreams ended while they ran this request, the last one %s ago",
		v.Crashes, v.Age.Round(time.Millisecond))
}

// Fields returns what the log says of the request.
func (v Verdict) Fields() log.Fields {
	return log.Fields{
		"fingerprint":    v.Print.String(),
		"crashes":        v.Crashes,
		"ends":           v.Ends,
		"blame":          strconv.FormatFloat(v.Blame, 'f', 2, 64),
		"crash_age_ms":   v.Age.Milliseconds(),
		"retry_after_ms": v.RetryAfter.Milliseconds(),
	}
}

func (b blame) guilty() bool { return b.crashes() >= guiltyFrom && b.share >= guiltyShare }

// quarantine returns how long after its last crash the request is refused.
func (b blame) quarantine() time.Duration {
	d := quarantineFirst
	for range b.crashes() - guiltyFrom {
		d = min(d*quarantineTimes, quarantineMost)
	}
	return d
}

// forgotten returns when the crashes are forgotten.
func (b blame) forgotten() timer.Instant {
	return b.last.Add(max(remembers, remembersTimes*b.quarantine()))
}
