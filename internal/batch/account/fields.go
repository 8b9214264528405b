package account

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// The fields of every line.
const (
	fieldTime     = "timestamp"
	fieldDecision = "decision"
)

// fields are the fields of a line. The first one that is missing or can't be read
// is kept as the error.
type fields struct {
	values map[string]string
	err    error
}

func parse(text string) (*fields, error) {
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

func (f *fields) fail(name string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %w", name, err)
	}
}

var errMissing = errors.New("missing")

func (f *fields) text(name string) string {
	v := f.values[name]
	if v == "" {
		f.fail(name, errMissing)
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
		f.fail(name, err)
	}
	return n
}

// duration reads whole milliseconds.
func (f *fields) duration(name string) time.Duration {
	return time.Duration(f.number(name)) * time.Millisecond
}

func (f *fields) time() time.Time {
	at, err := time.Parse(time.RFC3339Nano, f.text(fieldTime))
	if err != nil {
		f.fail(fieldTime, err)
	}
	return at
}
