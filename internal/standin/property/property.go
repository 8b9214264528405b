package property

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

// fixedSeed is the seed of every run that FUZZTIME does not prolong.
const fixedSeed = 20261203

// EnvFuzzTime is the environment variable with the duration for which Check uses
// fresh seeds.
const EnvFuzzTime = "FUZZTIME"

const (
	// defaultChecks is the number of histories that Check generates.
	defaultChecks = 1000
	// steps is the mean number of actions in a history.
	steps = 60
)

// Check verifies that a property holds.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	CheckN(t, defaultChecks, prop)
}

// CheckN verifies that a property holds over n histories. It is for properties
// that are slow to check.
func CheckN(t *testing.T, n int, prop func(*rapid.T)) {
	t.Helper()
	setRunSize(n)
	duration, err := time.ParseDuration(os.Getenv(EnvFuzzTime))
	if err != nil {
		setFlag("rapid.seed", strconv.Itoa(fixedSeed))
		rapid.Check(t, prop)
		return
	}
	for end := time.Now().Add(duration); time.Now().Before(end) && !t.Failed(); {
		seed := rand.Uint64() | 1
		t.Logf("seed %d", seed)
		setFlag("rapid.seed", strconv.FormatUint(seed, 10))
		rapid.Check(t, prop)
	}
}

// CheckFails verifies that a property fails, and logs its first error. It tries up to
// ten times as many histories as Check.
func CheckFails(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	setRunSize(10 * defaultChecks)
	setFlag("rapid.seed", strconv.Itoa(fixedSeed))
	tb := &recordingTB{
		name: t.Name(),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(tb, prop)
	}()
	<-done
	if !tb.failed {
		t.Fatal("the property holds although its mechanism is switched off")
	}
	t.Logf("failed as expected: %s", tb.firstError)
}

// setRunSize sets rapid to n histories, without files of failures and with at
// most 2 s for shrinking one.
func setRunSize(n int) {
	setFlag("rapid.nofailfile", "true")
	setFlag("rapid.checks", strconv.Itoa(n))
	setFlag("rapid.steps", strconv.Itoa(steps))
	setFlag("rapid.shrinktime", "2s")
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// recordingTB is a rapid.TB that records a failure and its first error instead of
// failing the test.
type recordingTB struct {
	name       string
	failed     bool
	firstError string
}

// Helper implements rapid.TB.
func (r *recordingTB) Helper() {}

// Name implements rapid.TB.
func (r *recordingTB) Name() string { return r.name }

// Logf implements rapid.TB.
func (r *recordingTB) Logf(string, ...any) {}

// Log implements rapid.TB.
func (r *recordingTB) Log(...any) {}

// Skipf implements rapid.TB.
func (r *recordingTB) Skipf(string, ...any) { r.SkipNow() }

// Skip implements rapid.TB.
func (r *recordingTB) Skip(...any) { r.SkipNow() }

// SkipNow implements rapid.TB.
func (r *recordingTB) SkipNow() { runtime.Goexit() }

// Errorf implements rapid.TB.
func (r *recordingTB) Errorf(format string, args ...any) { r.recordError(fmt.Sprintf(format, args...)) }

// Error implements rapid.TB.
func (r *recordingTB) Error(args ...any) { r.recordError(fmt.Sprint(args...)) }

// Fatalf implements rapid.TB.
func (r *recordingTB) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	r.FailNow()
}

// Fatal implements rapid.TB.
func (r *recordingTB) Fatal(args ...any) {
	r.Error(args...)
	r.FailNow()
}

// FailNow implements rapid.TB.
func (r *recordingTB) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// Fail implements rapid.TB.
func (r *recordingTB) Fail() { r.failed = true }

// Failed implements rapid.TB.
func (r *recordingTB) Failed() bool { return r.failed }

func (r *recordingTB) recordError(what string) {
	r.failed = true
	if r.firstError == "" {
		r.firstError = what
	}
}
