package account

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// day reads the recorded lines of four steps: two that ran while all instances
// were killed, one whose items waited for engines, and one that never ended.
func day(t *testing.T) *Day {
	t.Helper()
	is := is.New(t)
	f, err := os.Open("testdata/day.log")
	is.NoErr(err)
	defer f.Close()
	var l Log
	is.NoErr(l.Read("day.log", f))
	d, err := l.Day()
	is.NoErr(err)
	return d
}

// A step took nine seconds in place of seven. The causes that the account names
// must explain all of that time, or an operator would look for the rest in vain.
func TestCausesAddUpToTheStep(t *testing.T) {
	is := is.New(t)
	d := day(t)
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

// All instances were killed in the middle of two steps. The account must show it
// as the change of owners, not as slow engines.
func TestChangeOfOwnerIsNamed(t *testing.T) {
	is := is.New(t)
	killed := 0
	for _, s := range day(t).Steps {
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

// A step that was asked for and never ended is what a trainer lost. It has no
// account, and must not be missing without a word.
func TestStepWithoutEndIsTold(t *testing.T) {
	is := is.New(t)
	d := day(t)
	is.Equal(len(d.Unknowns), 1)
	is.Equal(d.Unknowns[0].Reason, "no end")
}

// Instances that are killed leave torn lines. They are counted and the first is
// named; the rest of the log tells what it can.
func TestTornLinesAreNamed(t *testing.T) {
	is := is.New(t)
	d := day(t)
	is.Equal(len(d.Faults), 1)
	is.Equal(d.Faults[0].File, "day.log")
	is.Equal(d.Faults[0].Line, 7)
	var out bytes.Buffer
	is.NoErr(d.Table(&out))
	is.True(strings.Contains(out.String(), "1 lines could not be read, the first: day.log:7:"))
}

// Somebody gives the wrong file. An empty table would look like a quiet day.
func TestLogWithoutStepsIsAnError(t *testing.T) {
	is := is.New(t)
	var l Log
	is.NoErr(l.Read("x", strings.NewReader("timestamp=2026-02-14T05:29:18Z level=info message=started\n")))
	_, err := l.Day()
	is.True(errors.Is(err, ErrNoSteps))
}

// A field of a line has another form. The line is named with the field.
func TestBadFieldIsNamed(t *testing.T) {
	is := is.New(t)
	var l Log
	is.NoErr(l.Read("x", strings.NewReader("\ntimestamp=2026-02-14T05:29:18Z decision=accept request_id=7c model=m step=one items=4 age_ms=3\n")))
	is.Equal(len(l.Faults()), 1)
	is.Equal(l.Faults()[0].Line, 2)
	is.True(strings.Contains(l.Faults()[0].Reason, "field step"))
}

// The table, the picture and the JSON form tell the same steps.
func TestForms(t *testing.T) {
	is := is.New(t)
	d := day(t)
	var table, picture bytes.Buffer
	is.NoErr(d.Table(&table))
	is.NoErr(d.Picture(&picture))
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
	is.Equal(len(back.Steps[0].Spent), int(causes))
}

// A log may hold anything; reading it never ends the program.
func FuzzRead(f *testing.F) {
	f.Add("timestamp=2026-02-14T05:29:18Z decision=end request_id=7c critical= made_ms=1 readable_ms=2 age_ms=3")
	f.Add("timestamp=\"2026 decision=item")
	f.Fuzz(func(t *testing.T, text string) {
		var l Log
		if err := l.Read("x", strings.NewReader(text)); err != nil {
			return
		}
		d, err := l.Day()
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := d.Table(&out); err != nil {
			t.Fatal(err)
		}
	})
}
