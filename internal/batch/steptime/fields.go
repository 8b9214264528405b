package steptime

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Names of the fields that every line has.
const (
	fieldTime     = "timestamp"
	fieldDecision = "decision"
)

// fields has the fields of a line. err is the error of the first field that is missing
// or can't be read.
type fields struct {
	values map[string]string
	err    error
}

// parseFields reads the fields of a line in logfmt.
func parseFields(text string) (*fields, error) {
	f := &fields{
		values: make(map[string]string),
	}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			f.values[string(d.Key())] = string(d.Value())
		}
	}
	return f, d.Err()
}

// setError keeps the first error.
func (f *fields) setError(name string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %w", name, err)
	}
}

var errMissing = errors.New("missing")

// text returns the value of a field, which must not be empty.
func (f *fields) text(name string) string {
	v := f.values[name]
	if v == "" {
		f.setError(name, errMissing)
	}
	return v
}

func (f *fields) number(name string) int {
	v := f.text(name)
	if v == "" {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		f.setError(name, err)
	}
	return n
}

// duration reads a field in whole milliseconds.
func (f *fields) duration(name string) time.Duration {
	return time.Duration(f.number(name)) * time.Millisecond
}

func (f *fields) time() time.Time {
	at, err := time.Parse(time.RFC3339Nano, f.text(fieldTime))
	if err != nil {
		f.setError(fieldTime, err)
	}
	return at
}
