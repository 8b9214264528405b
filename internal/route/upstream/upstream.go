package upstream

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// Parameters of ejection, slow start and load estimation.
const (
	// ejectThreshold is the number of consecutive failures that ejects an upstream.
	ejectThreshold = 5
	// initialEjection is the duration of the first ejection; each further one doubles it, up to
	// maxEjection.
	initialEjection = 2 * time.Second
	maxEjection     = 30 * time.Second
	// SlowStart is how long an upstream that is new or returns from an ejection takes to get its
	// full share of the load.
	SlowStart = 3 * time.Second
	// minSlowStartShare is the share of the load at the beginning of the slow start.
	minSlowStartShare = 0.25
	// reportHalfLife is the age at which the load in a report is weighted by half.
	reportHalfLife = 2 * time.Second
	// peakWindow is longer than the lag of any report.
	peakWindow = time.Second
	// paceWeight is the weight of a new measurement in the smoothed pace.
	paceWeight = 0.1
	// maxPaceJump bounds one measurement to this multiple of the smoothed pace. A single slow
	// stream says little about its engine; many slow streams still add up.
	maxPaceJump = 3
	// maxSlowness bounds the factor by which slowness raises the load of an upstream.
	maxSlowness = 8
	// slowThreshold is the ratio to the median pace above which an upstream is slow.
	slowThreshold = 2
)

// Upstream is one engine or service instance, with its state as known to this instance. Its
// methods may be called concurrently.
type Upstream struct {
	ID            string
	Address       string
	FailureDomain string
	Incarnation   uint64
	Slots         int
	// Shared is shared by the upstreams of a service; it may be nil.
	Shared *Shared

	// inFlight is the number of requests of this instance at the upstream; peak and
	// previousPeak are its maxima in the window that began at windowStart and in the one before.
	inFlight     atomic.Int64
	peak         atomic.Int64
	previousPeak atomic.Int64
	windowStart  atomic.Int64
	leaving      atomic.Bool
	evacuated    atomic.Bool
	report       atomic.Pointer[receivedReport]
	version      atomic.Pointer[version.Version]
	// failures counts consecutive failures, and ejections the ejections since the last success.
	failures     atomic.Int32
	ejections    atomic.Int32
	ejectedUntil atomic.Int64
	// slowStartFrom is the time at which the slow start begins.
	slowStartFrom atomic.Int64
	// paceMeasuredAt is the time of the last call of RecordPace.
	paceMeasuredAt atomic.Int64
	// lastEvent is when any stream of the upstream last produced an event.
	lastEvent atomic.Int64
	// backoffUntil is the end of the backoff after a refusal.
	backoffUntil atomic.Int64
	// pace is the smoothed pace in seconds, and slowness its ratio to the median of the set,
	// both as float64 bits.
	pace     atomic.Uint64
	slowness atomic.Uint64
	// paceNoise is the smoothed relative difference between a measured pace and the smoothed
	// pace before it, as float64 bits.
	paceNoise atomic.Uint64
	idleConns idleConnections
	cold      coldness
	// inIdleList says that the upstream is in the list of Shared.
	inIdleList atomic.Bool
	// foundAt is the index at which Set.Find last found the upstream.
	foundAt atomic.Int32
	// reportsSlowdown says that the reports have the slowdown of the upstream's machine,
	// slowdown is the last one, and slowPace when paces were much higher than before.
	reportsSlowdown atomic.Bool
	slowdown        atomic.Pointer[slowdownState]
	slowPace        atomic.Pointer[slowPaces]
}

// receivedReport is a report with the state of this instance when it was received.
type receivedReport struct {
	engine.LoadReport
	receivedAt timer.Instant
	// ownPeak is the largest number of this instance's requests that the report may include.
	ownPeak int64
}

// SetSlowStart sets the time at which the slow start begins.
func (u *Upstream) SetSlowStart(at timer.Instant) { u.slowStartFrom.Store(int64(at)) }

// Begin counts a request that is being sent.
func (u *Upstream) Begin() {
	u.takeIdleConnection()
	n := u.inFlight.Add(1)
	for {
		old := u.peak.Load()
		if n <= old || u.peak.CompareAndSwap(old, n) {
			return
		}
	}
}

// InFlight returns the number of requests of this instance at the upstream.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// Succeeded ends a request that was answered. pace is its time per unit of
// work, which is a token or a request.
func (u *Upstream) Succeeded(pace time.Duration) {
	u.inFlight.Add(-1)
	u.failures.Store(0)
	u.ejections.Store(0)
	u.smoothPace(pace, paceWeight, maxPaceJump)
}

// Cancelled ends a request whose outcome says nothing about the upstream, such as one
// that the caller cancelled or that the upstream refused because it was full.
func (u *Upstream) Cancelled() { u.inFlight.Add(-1) }

// Failed ends a request that the upstream failed. It reports whether this ejects the upstream.
func (u *Upstream) Failed(now timer.Instant) bool {
	u.inFlight.Add(-1)
	if u.failures.Add(1) < ejectThreshold {
		return false
	}
	u.eject(now)
	return true
}

// Unreachable ends a request that could not be sent. A closed port is stronger
// evidence than a failed answer, so the upstream is ejected at once.
func (u *Upstream) Unreachable(now timer.Instant) {
	u.inFlight.Add(-1)
	if !u.Ejected(now) {
		u.eject(now)
	}
}

// eject takes the upstream out of use for a duration that doubles with each ejection since the
// last success, and starts its slow start after that.
func (u *Upstream) eject(now timer.Instant) {
	u.failures.Store(0)
	duration := initialEjection << min(u.ejections.Add(1)-1, 10)
	until := now.Add(min(duration, maxEjection))
	u.ejectedUntil.Store(int64(until))
	u.slowStartFrom.Store(int64(until))
}

// Ejected reports whether the upstream is ejected.
func (u *Upstream) Ejected(now timer.Instant) bool { return int64(now) < u.ejectedUntil.Load() }

// MarkLeaving marks the upstream as leaving. The mark can't be removed.
func (u *Upstream) MarkLeaving() { u.leaving.Store(true) }

// Leaving reports whether the upstream is leaving.
func (u *Upstream) Leaving() bool { return u.leaving.Load() }

// SetEvacuated sets whether the failure domain of the upstream is evacuated.
func (u *Upstream) SetEvacuated(evacuated bool) { u.evacuated.Store(evacuated) }

// Evacuated reports whether the failure domain of the upstream is evacuated. Nothing may be sent
// to it then.
func (u *Upstream) Evacuated() bool { return u.evacuated.Load() }

// CheckSend returns engine.ErrWithdrawn if nothing may be sent to the upstream. It is called
// immediately before the first byte of a request is written.
func (u *Upstream) CheckSend() error {
	if u.Evacuated() {
		return fmt.Errorf("%w: the failure domain %s is evacuated", engine.ErrWithdrawn, u.FailureDomain)
	}
	return nil
}

// Usable reports whether the upstream may get new requests from this instance now.
func (u *Upstream) Usable(now timer.Instant) bool {
	return u.InService(now) && !u.Evacuated() && !u.Held(now)
}

// InService reports whether the upstream is neither leaving nor ejected. This instance may still
// have to wait before it sends to a cold one.
func (u *Upstream) InService(now timer.Instant) bool { return !u.leaving.Load() && !u.Ejected(now) }

const (
	// measuredPaceWeight is the weight of a measurement over many events in the smoothed pace.
	measuredPaceWeight = 0.4
	// paceHalfLife is the time after which a pace that is no longer measured counts for
	// half: while faster engines have free slots, an engine that was slow gets no work that
	// would show its recovery. Engines of an older kind stay slow for good, so it spans a few
	// steps, during which they get no long items.
	paceHalfLife = 10 * time.Second
)

// maxEventGap is the longest time without an event of any stream for which an engine counts as
// alive. It is above the pause between events while an engine processes prompts.
const maxEventGap = 300 * time.Millisecond

// RecordEvent records that a stream produced an event.
func (u *Upstream) RecordEvent(now timer.Instant) { u.lastEvent.Store(int64(now)) }

// Alive reports whether any stream produced an event within maxEventGap.
func (u *Upstream) Alive(now timer.Instant) bool {
	return now.Sub(timer.Instant(u.lastEvent.Load())) < maxEventGap
}

// refusalBackoff is how long this instance sends no new requests to an upstream after a
// refusal: the upstream is full, or loads weights, which takes about a second.
const refusalBackoff = 150 * time.Millisecond

// RecordRefusal records a refusal and starts the backoff.
func (u *Upstream) RecordRefusal(now timer.Instant) {
	u.backoffUntil.Store(int64(now.Add(refusalBackoff)))
}

// BackingOff reports whether the upstream is in backoff after a refusal.
func (u *Upstream) BackingOff(now timer.Instant) bool { return int64(now) < u.backoffUntil.Load() }

// FreeSlots returns the estimated number of free slots, from the exact number of this instance's
// requests and the load of other instances in the last report.
func (u *Upstream) FreeSlots(now timer.Instant) float64 {
	own := float64(u.inFlight.Load())
	report := u.report.Load()
	if report == nil {
		return float64(max(1, u.Slots)) - own
	}
	return float64(u.effectiveSlots(report)) - own - u.othersLoad(report, now)
}

// RecordReport records a report that was received at now.
func (u *Upstream) RecordReport(r engine.LoadReport, now timer.Instant) {
	u.report.Store(&receivedReport{
		LoadReport: r,
		receivedAt: now,
		ownPeak:    u.recentPeak(now),
	})
	u.recordSlowdown(r.SlowdownPercent, now)
	u.RecordVersion(r.Version)
	if r.Leaving {
		u.MarkLeaving()
	}
}

// recentPeak returns the maximum number of this instance's requests in the last one to two
// windows. A report may lag by as much, however often reports arrive: answers carry reports
// too, many times a second.
func (u *Upstream) recentPeak(now timer.Instant) int64 {
	start := u.windowStart.Load()
	if now.Sub(timer.Instant(start)) >= peakWindow && u.windowStart.CompareAndSwap(start, int64(now)) {
		u.previousPeak.Store(u.peak.Swap(u.inFlight.Load()))
	}
	return max(u.peak.Load(), u.previousPeak.Load())
}

// RecordVersion records the weight version that the upstream stated, in a report or in a stream.
// A stream is the first to show that an engine restarted with old weights.
func (u *Upstream) RecordVersion(v version.Version) {
	if old := u.version.Load(); old == nil || *old != v {
		u.version.Store(&v)
	}
}

// Version returns the weight version that the upstream last stated, if any.
func (u *Upstream) Version() (version.Version, bool) {
	v := u.version.Load()
	if v == nil {
		return version.Version{}, false
	}
	return *v, true
}

// Report returns the last report and its age, and false if there is none.
func (u *Upstream) Report(now timer.Instant) (engine.LoadReport, time.Duration, bool) {
	report := u.report.Load()
	if report == nil {
		return engine.LoadReport{}, 0, false
	}
	return report.LoadReport, now.Sub(report.receivedAt), true
}

// ReportedLoad returns the load as a share of the slots, by the last report alone.
func (u *Upstream) ReportedLoad() float64 {
	report := u.report.Load()
	if report == nil {
		return 0
	}
	return float64(report.Running+report.Waiting) / float64(u.effectiveSlots(report))
}

// Load estimates the load with one more request, as a share of the upstream's slots; 1 means
// that all would be taken. A new or slow upstream counts as more loaded. This instance's own
// requests are counted exactly. The load of others is what the last report shows beyond them,
// and its weight falls as the report ages: an old report of an idle upstream would otherwise
// attract every instance.
func (u *Upstream) Load(now timer.Instant) float64 {
	own := float64(u.inFlight.Load())
	report := u.report.Load()
	if report == nil {
		return (own + 1) / float64(max(1, u.Slots)) * u.loadFactor(now)
	}
	return (own + u.othersLoad(report, now) + 1) / float64(u.effectiveSlots(report)) * u.loadFactor(now)
}

// othersLoad estimates the load of other instances from a report. The report has an unknown
// lag, so it may include as many requests of this instance as were in flight at any moment of
// the last windows. If only the current ones were subtracted, an instance that just finished
// its requests would take them for those of others and hold back.
func (u *Upstream) othersLoad(report *receivedReport, now timer.Instant) float64 {
	halfLives := float64(now.Sub(report.receivedAt)) / float64(reportHalfLife)
	return max(0, float64(report.Running+report.Waiting)-float64(report.ownPeak)) / (1 + max(0, halfLives))
}

// effectiveSlots returns the slots in a report, or the configured ones if it has none.
func (u *Upstream) effectiveSlots(report *receivedReport) int {
	if report.Slots > 0 {
		return report.Slots
	}
	return max(1, u.Slots)
}

// loadFactor returns the factor by which the load of a new or slow upstream is raised.
func (u *Upstream) loadFactor(now timer.Instant) float64 {
	factor := 1.0
	if s := math.Float64frombits(u.slowness.Load()); s > 1 {
		factor = min(s, maxSlowness)
	}
	age := now.Sub(timer.Instant(u.slowStartFrom.Load()))
	if age >= SlowStart {
		return factor
	}
	share := max(minSlowStartShare, float64(age)/float64(SlowStart))
	return factor / share
}
