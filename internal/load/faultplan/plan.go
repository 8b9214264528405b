package faultplan

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is the type of a fault.
type Kind int

// The kinds of faults. The target of an EngineLinkSilent, EngineLinkSlow
// or EngineLinkReset fault is an engine; other faults that have a target affect
// an instance.
const (
	// Kill ends the process of an instance without a graceful shutdown.
	Kill Kind = iota
	// Stop shuts an instance down gracefully.
	Stop
	// Freeze pauses the process of an instance.
	Freeze
	// KeyValueDown, KeyValueSlow, KeyValueLosesAnswers, KeyValueDelaysCalls and
	// KeyValueCompacts affect the key-value service for all instances: calls fail,
	// are slow, lose their answers or take effect late, or the service compacts its
	// history.
	KeyValueDown
	KeyValueSlow
	KeyValueLosesAnswers
	KeyValueDelaysCalls
	KeyValueCompacts
	// LeaseEnds ends the lease of an instance.
	LeaseEnds
	// KeyValueLinkRefuses, KeyValueLinkSilent and KeyValueLinkReset affect the link
	// of one instance to the key-value service: it resets all connections while the
	// fault lasts, forwards nothing without closing connections, or resets the open
	// connections once. After KeyValueLinkSevered the open ones are silent for good.
	KeyValueLinkRefuses
	KeyValueLinkSilent
	KeyValueLinkReset
	KeyValueLinkSevered
	// EngineLinkSilent, EngineLinkSlow and EngineLinkReset affect the link to one
	// engine: its answers don't arrive, all bytes are delayed, or the open
	// connections are reset once. After EngineLinkSevered the open ones are silent for
	// good.
	EngineLinkSilent
	EngineLinkSlow
	EngineLinkReset
	EngineLinkSevered
	// ClientsReset resets the open connections of clients to an instance.
	ClientsReset
	// Configure changes the configuration.
	Configure
	// Reload signals an instance to reload its settings.
	Reload
	// FreezeMost pauses the processes of three quarters of the instances, but not of the target.
	FreezeMost
	// KillOwner ends the process of the instance that runs a trainer's batch; it has no target.
	KillOwner
	kindCount
)

var kindNames = [kindCount]string{
	"kill", "stop", "freeze", "service_down", "service_slow", "service_loses", "service_late", "service_forgets", "lease_ends",
	"service_shuts", "service_silent", "service_reset", "service_severed", "engine_silent", "engine_slow", "engine_reset", "engine_severed", "clients_reset",
	"configure", "reload", "freeze_most", "kill_owner",
}

// String returns the name of the kind in snake case.
func (k Kind) String() string {
	if k < 0 || k >= kindCount {
		return fmt.Sprintf("kind %d", int(k))
	}
	return kindNames[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	list := make([]Kind, kindCount)
	for i := range list {
		list[i] = Kind(i)
	}
	return list
}

// targetsEngine reports whether Fault.Target is the number of an engine.
func (k Kind) targetsEngine() bool { return k >= EngineLinkSilent && k <= EngineLinkSevered }

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// Start counts from the start of the plan.
	Start, Duration time.Duration
	// Target is the index of an instance or engine, from 0.
	Target int
}

// String returns a one-line description of the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%s of %d at %s for %s", f.Kind, f.Target, f.Start.Round(time.Millisecond), f.Duration.Round(time.Millisecond))
}

// Times and sizes of bursts.
const (
	// firstBurstAt is when the first burst begins. The deployment must work by then.
	firstBurstAt = time.Second
	// Each fault lasts from minDuration to maxDuration. The faults of a burst begin
	// within startWindow.
	maxDuration = 2500 * time.Millisecond
	minDuration = 300 * time.Millisecond
	startWindow = 1500 * time.Millisecond
	// A FreezeMost lasts from minFreezeMost to maxFreezeMost, longer than a change of the
	// configuration may take.
	maxFreezeMost = 4500 * time.Millisecond
	minFreezeMost = 3 * time.Second
	// RecoveryTime is the time after a burst within which everything must recover.
	RecoveryTime = 6 * time.Second
	// maxFaults is the highest number of faults in a burst.
	maxFaults = 4
)

// Generate returns the faults of a run of the given length, ordered by their start.
// The last ones end at least RecoveryTime before the end of the run.
func Generate(seed uint64, length time.Duration, instances, engines int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	var plan []Fault
	for burstStart := firstBurstAt; burstStart+startWindow+maxDuration+RecoveryTime <= length; burstStart += startWindow + maxDuration + RecoveryTime {
		for range 2 + rng.IntN(maxFaults-1) {
			f := Fault{
				Kind:     Kind(rng.IntN(int(kindCount))),
				Start:    burstStart + time.Duration(rng.Int64N(int64(startWindow))),
				Duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
			}
			if f.Kind == FreezeMost {
				f.Duration = minFreezeMost + time.Duration(rng.Int64N(int64(maxFreezeMost-minFreezeMost)))
				f.Duration = min(f.Duration, length-RecoveryTime-f.Start)
			}
			f.Target = rng.IntN(instances)
			if f.Kind.targetsEngine() {
				f.Target = rng.IntN(engines)
			}
			plan = append(plan, f)
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].Start < plan[j].Start })
	return plan
}
