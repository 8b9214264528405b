package steptime

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// readReport reads recorded log lines of four steps: two that ran while all instances were
// killed, one whose items waited for engines, and one that never ended.
func readReport(t *testing.T) *Report {
	t.Helper()
	is := is.New(t)
	f, err := os.Open("testdata/day.log")
	is.NoErr(err)
	defer f.Close()
	var l Log
	is.NoErr(l.Read("day.log", f))
	d, err := l.Report()
	is.NoErr(err)
	return d
}

// Guards against time of a step that no cause explains, which an operator would look for
// in vain. One of the steps took nine seconds instead of seven.
func TestCausesAddUpToTheStep(t *testing.T) {
	is := is.New(t)
	d := readReport(t)
	is.Equal(len(d.Steps), 3)
	for _, s := range d.Steps {
		sum := int64(0)
		for _, c := range Causes() {
			sum += s.Spent[c]
		}
		off := s.Took - sum
		if off < -30 || off > 30 { // each part is in whole milliseconds
			t.Fatalf("step %d of %s took %d ms, its causes %d", s.Step, s.Model, s.Took, sum)
		}
		is.True(s.Ratio > 1)
	}
}

// Guards against an owner change that is reported as slow engines: all instances were
// killed in the middle of two steps.
func TestOwnerChangeIsReported(t *testing.T) {
	is := is.New(t)
	killed := 0
	for _, s := range readReport(t).Steps {
		if s.Owners < 2 {
			is.Equal(s.Spent[Owners], int64(0))
			continue
		}
		killed++
		is.True(s.Spent[Owners] > 500)
		is.True(s.Spent[Slowness] < 200)
	}
	is.Equal(killed, 2)
}

// Guards against steps that are missing from the account without notice. A step that was
// submitted and never ended has no account, but it is what a trainer lost.
func TestStepWithoutEndIsReported(t *testing.T) {
	is := is.New(t)
	d := readReport(t)
	is.Equal(len(d.IncompleteSteps), 1)
	is.Equal(d.IncompleteSteps[0].Reason, "no end")
}

// Guards against incomplete lines that hide the rest of a log or are ignored without
// notice. Instances that are killed leave such lines; they are counted and the first one
// is reported.
func TestTornLinesAreReported(t *testing.T) {
	is := is.New(t)
	d := readReport(t)
	is.Equal(len(d.BadLines), 1)
	is.Equal(d.BadLines[0].File, "day.log")
	is.Equal(d.BadLines[0].Line, 7)
	var out bytes.Buffer
	is.NoErr(d.WriteTable(&out))
	is.True(strings.Contains(out.String(), "1 lines could not be read, the first: day.log:7:"))
}

// Guards against a wrong file that gives an empty table, which would look like a quiet
// day.
func TestLogWithoutStepsIsAnError(t *testing.T) {
	is := is.New(t)
	var l Log
	is.NoErr(l.Read("x", strings.NewReader("timestamp=2026-02-14T05:29:18Z level=info message=started\n")))
	_, err := l.Report()
	is.True(errors.Is(err, ErrNoSteps))
}

// Guards against errors that don't say which line and field is wrong.
func TestBadFieldIsReported(t *testing.T) {
	is := is.New(t)
	var l Log
	is.NoErr(l.Read("x", strings.NewReader("\ntimestamp=2026-02-14T05:29:18Z decision=accept request_id=7c model=m step=one items=4 age_ms=3\n")))
	is.Equal(len(l.BadLines()), 1)
	is.Equal(l.BadLines()[0].Line, 2)
	is.True(strings.Contains(l.BadLines()[0].Reason, "field step"))
}

// Guards against a table, a picture and a JSON form that show different steps.
func TestAllFormsShowTheSameSteps(t *testing.T) {
	is := is.New(t)
	d := readReport(t)
	var table, picture bytes.Buffer
	is.NoErr(d.WriteTable(&table))
	is.NoErr(d.WriteSVG(&picture))
	is.True(strings.HasPrefix(picture.String(), "<?xml"))
	for _, s := range d.Steps {
		is.True(strings.Contains(table.String(), s.Batch))
		is.True(strings.Contains(picture.String(), s.Model))
	}
	data, err := json.Marshal(d)
	is.NoErr(err)
	var back struct {
		Steps []struct {
			Spent map[string]int64 `json:"spent_ms"`
		} `json:"steps"`
	}
	is.NoErr(json.Unmarshal(data, &back))
	is.Equal(len(back.Steps), 3)
	is.Equal(len(back.Steps[0].Spent), int(causeCount))
}

// Guards against log contents that end the program with a panic.
func FuzzRead(f *testing.F) {
	f.Add("timestamp=2026-02-14T05:29:18Z decision=end request_id=7c critical= made_ms=1 readable_ms=2 age_ms=3")
	f.Add("timestamp=\"2026 decision=item")
	f.Fuzz(func(t *testing.T, text string) {
		var l Log
		if err := l.Read("x", strings.NewReader(text)); err != nil {
			return
		}
		d, err := l.Report()
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := d.WriteTable(&out); err != nil {
			t.Fatal(err)
		}
	})
}
