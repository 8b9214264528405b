package upstream

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// How an upstream is judged.
const (
	// ejectAfter is how many failures in a row take an upstream out.
	ejectAfter = 5
	// ejectFirst is for how long it is out the first time; it doubles after.
	ejectFirst = 2 * time.Second
	ejectMost  = 30 * time.Second
	// SlowStart is how long an upstream that is new or comes back takes to
	// get its full share.
	SlowStart = 3 * time.Second
	// slowStartFloor is the share it begins with.
	slowStartFloor = 0.25
	// reportHalfLife is the age at which a report counts for half.
	reportHalfLife = 2 * time.Second
	// peakWindow is longer than the lag of any report.
	peakWindow = time.Second
	// paceWeight is the weight of one new measurement of pace.
	paceWeight = 0.1
	// paceJump bounds one measurement against the smoothed pace. A single slow
	// stream says little about its engine; many of them still add up.
	paceJump = 3
	// slowestFactor bounds how much worse a slow upstream is rated.
	slowestFactor = 8
	// slowFactor is from when on an upstream counts as slow.
	slowFactor = 2
)

// Upstream is one engine or service instance.
type Upstream struct {
	ID            string
	Address       string
	FailureDomain string
	Incarnation   uint64
	Slots         int

	inFlight atomic.Int64
	peak     atomic.Int64
	peakOld  atomic.Int64
	window   atomic.Int64
	leaving  atomic.Bool
	report   atomic.Pointer[heard]
	version  atomic.Pointer[version.Version]
	strikes  atomic.Int32
	ejects   atomic.Int32
	outUntil atomic.Int64
	since    atomic.Int64
	// measured is when the pace was measured last.
	measured atomic.Int64
	// made is when any stream there made an event last.
	made atomic.Int64
	// restsUntil is when a refusal is over.
	restsUntil atomic.Int64
	pace       atomic.Uint64
	slowness   atomic.Uint64
	warmth     warmth
}

// heard is a report with what was known when it came.
type heard struct {
	engine.Report
	at timer.Instant
	// own is the most requests of this instance that may be part of it.
	own int64
}

// StartedAt says since when the upstream serves; a new one starts slowly.
func (u *Upstream) StartedAt(at timer.Instant) { u.since.Store(int64(at)) }

// Begin counts a request that is sent now.
func (u *Upstream) Begin() {
	u.takeWarm()
	n := u.inFlight.Add(1)
	for {
		old := u.peak.Load()
		if n <= old || u.peak.CompareAndSwap(old, n) {
			return
		}
	}
}

// InFlight returns the requests of this instance at the upstream.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// Succeeded ends a request that was answered. pace is its time per unit of
// work: a token or a request.
func (u *Upstream) Succeeded(pace time.Duration) {
	u.inFlight.Add(-1)
	u.strikes.Store(0)
	u.ejects.Store(0)
	u.smooth(pace, paceWeight, paceJump)
}

// Ended ends a request that tells nothing about the upstream, such as one
// that the caller gave up or that the upstream refused when full.
func (u *Upstream) Ended() { u.inFlight.Add(-1) }

// Failed ends a request that the upstream failed. It reports whether the
// upstream is taken out now.
func (u *Upstream) Failed(now timer.Instant) bool {
	u.inFlight.Add(-1)
	if u.strikes.Add(1) < ejectAfter {
		return false
	}
	u.takeOut(now)
	return true
}

// Unreachable ends a request that could not even be sent. A closed port says
// more than a failed answer: the upstream is taken out at once.
func (u *Upstream) Unreachable(now timer.Instant) {
	u.inFlight.Add(-1)
	if !u.Out(now) {
		u.takeOut(now)
	}
}

func (u *Upstream) takeOut(now timer.Instant) {
	u.strikes.Store(0)
	out := ejectFirst << min(u.ejects.Add(1)-1, 10)
	until := now.Add(min(out, ejectMost))
	u.outUntil.Store(int64(until))
	u.since.Store(int64(until))
}

// Out reports whether the upstream is taken out for its failures.
func (u *Upstream) Out(now timer.Instant) bool { return int64(now) < u.outUntil.Load() }

// MarkLeaving says that the upstream is leaving. It can't be unsaid.
func (u *Upstream) MarkLeaving() { u.leaving.Store(true) }

// Leaving reports whether the upstream is leaving.
func (u *Upstream) Leaving() bool { return u.leaving.Load() }

// Usable reports whether the upstream may get new work.
func (u *Upstream) Usable(now timer.Instant) bool { return !u.leaving.Load() && !u.Out(now) }

// smooth takes a measurement of pace with some weight, bounded to jump times the
// smoothed one. It reports false for none.
func (u *Upstream) smooth(pace time.Duration, weight, jump float64) bool {
	if pace <= 0 {
		return false
	}
	old := u.Pace()
	if old == 0 {
		old = pace.Seconds()
	}
	now := min(pace.Seconds(), jump*old)
	u.pace.Store(math.Float64bits(old + weight*(now-old)))
	return true
}

// Measured notes a pace that was measured over many events of one request. It
// counts at once: a stream that left a slow engine would otherwise meet it again
// as the one with the most free slots.
func (u *Upstream) Measured(pace time.Duration, now timer.Instant) {
	if u.smooth(pace, measuredWeight, math.Inf(1)) {
		u.measured.Store(int64(now))
	}
}

const (
	// measuredWeight is the weight of a pace measured over many events.
	measuredWeight = 0.4
	// paceHalfLife is how soon a pace that is no longer measured counts for
	// half: an engine that was slow gets no work that would show its recovery
	// while faster ones have room. Engines of an older kind stay slow for good;
	// known as such for the time of a few steps, they get no long items.
	paceHalfLife = 10 * time.Second
)

// Against returns the pace against a usual one in seconds, 1 if unknown. It
// fades towards 1 while it is not measured.
func (u *Upstream) Against(usual float64, now timer.Instant) float64 {
	pace := u.Pace()
	if usual <= 0 || pace <= 0 {
		return 1
	}
	age := float64(now.Sub(timer.Instant(u.measured.Load()))) / float64(paceHalfLife)
	return 1 + (pace/usual-1)*math.Exp2(-max(0, age))
}

// silence is how long no stream of an engine may make an event for it to count as
// alive: engines pause for some events while they read prompts.
const silence = 300 * time.Millisecond

// Made notes that a stream made an event.
func (u *Upstream) Made(now timer.Instant) { u.made.Store(int64(now)) }

// Lives reports whether any stream made an event lately.
func (u *Upstream) Lives(now timer.Instant) bool {
	return now.Sub(timer.Instant(u.made.Load())) < silence
}

// restTime is how long an upstream that refused gets no new work from this
// instance: it is full, or loads weights for about a second.
const restTime = 150 * time.Millisecond

// Rest notes a refusal.
func (u *Upstream) Rest(now timer.Instant) { u.restsUntil.Store(int64(now.Add(restTime))) }

// Resting reports whether the upstream refused a moment ago.
func (u *Upstream) Resting(now timer.Instant) bool { return int64(now) < u.restsUntil.Load() }

// Room returns how many more requests the upstream takes at once, by this
// instance's exact count and what the last report shows of others.
func (u *Upstream) Room(now timer.Instant) float64 {
	own := float64(u.inFlight.Load())
	h := u.report.Load()
	if h == nil {
		return float64(max(1, u.Slots)) - own
	}
	return float64(u.slots(h)) - own - u.others(h, now)
}

// Heard takes a report that came now.
func (u *Upstream) Heard(r engine.Report, now timer.Instant) {
	u.report.Store(&heard{
		Report: r,
		at:     now,
		own:    u.recentPeak(now),
	})
	u.SawVersion(r.Version)
	if r.Leaving {
		u.MarkLeaving()
	}
}

// recentPeak returns the most requests of this instance in the last one to two
// windows. A report's lag reaches back that far, however often reports come:
// they also come along with answers, many times a second.
func (u *Upstream) recentPeak(now timer.Instant) int64 {
	begun := u.window.Load()
	if now.Sub(timer.Instant(begun)) >= peakWindow && u.window.CompareAndSwap(begun, int64(now)) {
		u.peakOld.Store(u.peak.Swap(u.inFlight.Load()))
	}
	return max(u.peak.Load(), u.peakOld.Load())
}

// SawVersion notes the weight version that the upstream named just now, in a
// report or in a stream. A stream tells first when an engine has restarted
// with old weights.
func (u *Upstream) SawVersion(v version.Version) {
	if old := u.version.Load(); old == nil || *old != v {
		u.version.Store(&v)
	}
}

// Version returns the weight version that the upstream named last, if any.
func (u *Upstream) Version() (version.Version, bool) {
	v := u.version.Load()
	if v == nil {
		return version.Version{}, false
	}
	return *v, true
}

// Report returns the last report and its age.
func (u *Upstream) Report(now timer.Instant) (engine.Report, time.Duration, bool) {
	h := u.report.Load()
	if h == nil {
		return engine.Report{}, 0, false
	}
	return h.Report, now.Sub(h.at), true
}

// ReportedLoad returns the load by the last report alone.
func (u *Upstream) ReportedLoad() float64 {
	h := u.report.Load()
	if h == nil {
		return 0
	}
	return float64(h.Running+h.Waiting) / float64(u.slots(h))
}

// Load estimates the use of the upstream's slots; 1 means that all are taken.
// This instance's own requests are counted exactly. Those of others are what
// the last report said beyond them, and count for less as the report ages: a
// late report that says "idle" would otherwise draw every instance there.
func (u *Upstream) Load(now timer.Instant) float64 {
	own := float64(u.inFlight.Load())
	h := u.report.Load()
	if h == nil {
		return (own + 1) / float64(max(1, u.Slots)) * u.handicap(now)
	}
	return (own + u.others(h, now) + 1) / float64(u.slots(h)) * u.handicap(now)
}

// others is the load of other instances that a report shows. The report is
// behind by an unknown lag, so what this instance had there at any moment of
// the last reports may be part of it. Without that, an instance that just
// finished its requests takes them for somebody else's and holds back.
func (u *Upstream) others(h *heard, now timer.Instant) float64 {
	age := float64(now.Sub(h.at)) / float64(reportHalfLife)
	return max(0, float64(h.Running+h.Waiting)-float64(h.own)) / (1 + max(0, age))
}

func (u *Upstream) slots(h *heard) int {
	if h.Slots > 0 {
		return h.Slots
	}
	return max(1, u.Slots)
}

// handicap makes an upstream look fuller while it is new or slow.
func (u *Upstream) handicap(now timer.Instant) float64 {
	factor := 1.0
	if s := math.Float64frombits(u.slowness.Load()); s > 1 {
		factor = min(s, slowestFactor)
	}
	age := now.Sub(timer.Instant(u.since.Load()))
	if age >= SlowStart {
		return factor
	}
	share := max(slowStartFloor, float64(age)/float64(SlowStart))
	return factor / share
}

// Pace returns the smoothed time per unit of work in seconds, or zero.
func (u *Upstream) Pace() float64 { return math.Float64frombits(u.pace.Load()) }

// Slow reports whether the upstream takes much longer than the median of its
// set.
func (u *Upstream) Slow() bool {
	return math.Float64frombits(u.slowness.Load()) > slowFactor
}

// compare rates the upstream's pace against the median of its set.
func (u *Upstream) compare(median float64) {
	if median <= 0 || u.Pace() == 0 {
		return
	}
	u.slowness.Store(math.Float64bits(u.Pace() / median))
}
