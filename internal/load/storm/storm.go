package storm

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is a kind of fault.
type Kind int

// The kindCount of faults. Those of instances have an instance as their target,
// those of engines an engine.
const (
	// Kill ends an instance without warning.
	Kill Kind = iota
	// Stop ends an instance gracefully.
	Stop
	// Freeze pauses an instance.
	Freeze
	// ServiceDown, ServiceSlow, ServiceLoses, ServiceLate and ServiceForgets
	// concern the key-value service for all.
	ServiceDown
	ServiceSlow
	ServiceLoses
	ServiceLate
	ServiceForgets
	// LeaseEnds takes the lease of an instance away.
	LeaseEnds
	// ServiceShuts turns one instance away, ServiceSilent cuts its link without
	// a word, ServiceReset breaks its connections.
	ServiceShuts
	ServiceSilent
	ServiceReset
	// EngineSilent, EngineSlow and EngineReset concern the link to one engine.
	EngineSilent
	EngineSlow
	EngineReset
	// ClientsReset breaks the connections of clients to an instance.
	ClientsReset
	// Configure changes the configuration.
	Configure
	// Reload tells an instance that its settings changed.
	Reload
	kindCount
)

var kindNames = [kindCount]string{
	"kill", "stop", "freeze", "service_down", "service_slow", "service_loses", "service_late", "service_forgets", "lease_ends",
	"service_shuts", "service_silent", "service_reset", "engine_silent", "engine_slow", "engine_reset", "clients_reset",
	"configure", "reload",
}

// String returns the name of the kind.
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

// targetsEngine reports whether the target is an engine.
func (k Kind) targetsEngine() bool { return k >= EngineSilent && k <= EngineReset }

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// At is when it begins, For how long it lasts.
	At, For time.Duration
	// Target is the number of an instance or engine.
	Target int
}

// String returns the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%s of %d at %s for %s", f.Kind, f.Target, f.At.Round(time.Millisecond), f.For.Round(time.Millisecond))
}

// The times of storms.
const (
	// firstStormAt is when the firstStormAt storm begins: everything works by then.
	firstStormAt = time.Second
	// maxDuration is the longest time of a fault, spread the time within which those
	// of a storm begin.
	maxDuration  = 2500 * time.Millisecond
	minDuration  = 300 * time.Millisecond
	startWindow = 1500 * time.Millisecond
	// Calm is the time after a storm in which everything must come back.
	Calm = 6 * time.Second
	// maxFaults is how many faults a storm has.
	maxFaults = 4
)

// Plan draws faults for a time, in order of their beginnings. The last ones end
// Calm before it is over.
func Plan(seed uint64, length time.Duration, instances, engines int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	var plan []Fault
	for stormStart := firstStormAt; stormStart+startWindow+maxDuration+Calm <= length; stormStart += startWindow + maxDuration + Calm {
		for range 2 + rng.IntN(maxFaults-1) {
			f := Fault{
				Kind: Kind(rng.IntN(int(kindCount))),
				At:   stormStart + time.Duration(rng.Int64N(int64(startWindow))),
				For:  minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
			}
			f.Target = rng.IntN(instances)
			if f.Kind.targetsEngine() {
				f.Target = rng.IntN(engines)
			}
			plan = append(plan, f)
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}
