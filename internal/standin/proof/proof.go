package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fixedSeed is the seed of every run without FUZZTIME.
const fixedSeed = 20261203

// EnvFuzzTime names the environment variable that asks for fresh seeds.
const EnvFuzzTime = "FUZZTIME"

// The size of a run: histories, and the mean number of actions in each.
const (
	checks = 1000
	steps  = 60
)

// Check holds a property.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	CheckN(t, checks, prop)
}

// CheckN holds a property over n histories, for those that take long.
func CheckN(t *testing.T, n int, prop func(*rapid.T)) {
	t.Helper()
	size(n)
	most, err := time.ParseDuration(os.Getenv(EnvFuzzTime))
	if err != nil {
		set("rapid.seed", strconv.Itoa(fixedSeed))
		rapid.Check(t, prop)
		return
	}
	for end := time.Now().Add(most); time.Now().Before(end) && !t.Failed(); {
		seed := rand.Uint64() | 1
		t.Logf("seed %d", seed)
		set("rapid.seed", strconv.FormatUint(seed, 10))
		rapid.Check(t, prop)
	}
}

// Refute expects a property to fail, and logs how it did.
func Refute(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	size(10 * checks)
	set("rapid.seed", strconv.Itoa(fixedSeed))
	p := &probe{
		name: t.Name(),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(p, prop)
	}()
	<-done
	if !p.failed {
		t.Fatal("the property held although its mechanism was switched off")
	}
	t.Logf("failed as it should: %s", p.first)
}

func size(n int) {
	set("rapid.nofailfile", "true")
	set("rapid.checks", strconv.Itoa(n))
	set("rapid.steps", strconv.Itoa(steps))
	set("rapid.shrinktime", "2s")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// probe is a test that may fail without harm.
type probe struct {
	name   string
	failed bool
	first  string
}

// Helper implements rapid.TB.
func (p *probe) Helper() {}

// Name implements rapid.TB.
func (p *probe) Name() string { return p.name }

// Logf implements rapid.TB.
func (p *probe) Logf(string, ...any) {}

// Log implements rapid.TB.
func (p *probe) Log(...any) {}

// Skipf implements rapid.TB.
func (p *probe) Skipf(string, ...any) { p.SkipNow() }

// Skip implements rapid.TB.
func (p *probe) Skip(...any) { p.SkipNow() }

// SkipNow implements rapid.TB.
func (p *probe) SkipNow() { runtime.Goexit() }

// Errorf implements rapid.TB.
func (p *probe) Errorf(format string, args ...any) { p.note(fmt.Sprintf(format, args...)) }

// Error implements rapid.TB.
func (p *probe) Error(args ...any) { p.note(fmt.Sprint(args...)) }

// Fatalf implements rapid.TB.
func (p *probe) Fatalf(format string, args ...any) {
	p.Errorf(format, args...)
	p.FailNow()
}

// Fatal implements rapid.TB.
func (p *probe) Fatal(args ...any) {
	p.Error(args...)
	p.FailNow()
}

// FailNow implements rapid.TB.
func (p *probe) FailNow() {
	p.failed = true
	runtime.Goexit()
}

// Fail implements rapid.TB.
func (p *probe) Fail() { p.failed = true }

// Failed implements rapid.TB.
func (p *probe) Failed() bool { return p.failed }

func (p *probe) note(what string) {
	p.failed = true
	if p.first == "" {
		p.first = what
	}
}
