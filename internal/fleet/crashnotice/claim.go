package crashnotice

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
)

// Limits of the value of a claim.
const (
	maxClaimCrashes = 8
	maxClaimCleared = 16
)

// claimValue is the value of the key of a claim. The key holds it until its lease ends,
// also after the claim has ended, so that later claims count on from its crashes.
type claimValue struct {
	// Instance is the incarnation of the instance that wrote the value.
	Instance string `json:"instance"`
	// Held is set while that instance may send the request.
	Held bool `json:"held"`
	// Crashes holds the latest uncleared crashes during the request.
	Crashes []notice `json:"crashes,omitempty"`
	// Cleared holds upstreams that crashed before an upstream answered the request.
	Cleared []crash.Incarnation `json:"cleared,omitempty"`
}

// newClaimValue returns the value that passes on the known crashes. known and cleared are
// those known when an answered claim was taken: crashes that are known no longer are
// cleared.
func newClaimValue(instance string, held bool, crashes []poison.Crash, known []poison.Crash, cleared []crash.Incarnation, now timer.Instant) claimValue {
	v := claimValue{
		Instance: instance,
		Held:     held,
		Cleared:  slices.Clone(cleared),
	}
	for _, old := range known {
		if !slices.ContainsFunc(crashes, func(c poison.Crash) bool { return c.Incarnation == old.Incarnation }) {
			v.Cleared = append(v.Cleared, old.Incarnation)
		}
	}
	v.Cleared = v.Cleared[max(0, len(v.Cleared)-maxClaimCleared):]
	for _, c := range crashes[max(0, len(crashes)-maxClaimCrashes):] {
		v.Crashes = append(v.Crashes, notice{
			Print:    c.Fingerprint,
			Upstream: c.Incarnation,
			Row:      c.Consecutive,
			AgeMS:    now.Sub(c.At).Milliseconds(),
		})
	}
	return v
}

func (v claimValue) encode() ([]byte, error) { return json.Marshal(v) }

// decodeClaim decodes the value of a claim.
func decodeClaim(value []byte) (claimValue, error) {
	var v claimValue
	err := json.Unmarshal(value, &v)
	return v, err
}

// claimStep is what an instance does next to take a claim.
type claimStep int

const (
	// stepTake writes the claim in place of the present value.
	stepTake claimStep = iota
	// stepWait reads the value again after a pause.
	stepWait
	// stepStop takes no claim, as the request needs none or must not be sent.
	stepStop
)

// nextStep returns the next step of the instance self. current is the present value of the
// key, or its zero value, and v the verdict on the request with the crashes in it.
func nextStep(current claimValue, self string, v poison.Verdict, ran bool) claimStep {
	switch {
	case v.Permit(ran) != poison.Serial:
		return stepStop
	case current.Held && current.Instance != self:
		return stepWait
	}
	// A claim of this instance is a remainder of one whose write was not confirmed: the
	// instance takes only one at a time for a request.
	return stepTake
}

// verdictOn returns the verdict on a request without starting a trial. It calls digest
// only if there is evidence.
func (b *Board) verdictOn(digest func() fingerprint.Digest) poison.Verdict {
	if !b.hasEvidence.Load() {
		return poison.Verdict{}
	}
	secret := b.Secret.Value()
	if secret == nil {
		return poison.Verdict{}
	}
	return b.verdictOf(digest().Keyed(secret))
}

// verdictOf returns the verdict on a request without starting a trial.
func (b *Board) verdictOf(f fingerprint.Fingerprint) poison.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evidence.Judge(f, b.Timer.Now())
}

// crashesOf returns the crashes during a request, the oldest first.
func (b *Board) crashesOf(f fingerprint.Fingerprint) []poison.Crash {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evidence.Crashes(f)
}

// applyClaim adds the crashes in a claim, and removes those that it reports as cleared.
func (b *Board) applyClaim(f fingerprint.Fingerprint, v claimValue) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	for _, incarnation := range v.Cleared {
		b.evidence.ClearCrash(f, incarnation, now)
	}
	b.own = slices.DeleteFunc(b.own, func(n notice) bool {
		return n.Print == f && !n.published && slices.Contains(v.Cleared, n.Upstream)
	})
	for _, n := range v.Crashes {
		n.Print = f
		n.at = now.Add(-time.Duration(max(0, n.AgeMS)) * time.Millisecond)
		b.evidence.Add(n.crash())
	}
	b.updateHasEvidence()
}
