package command

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
)

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// printLogLines prints the log lines that contain id, in the order of their times. For a
// batch this includes the lines of its items, which contain the id of the batch too.
func (a *app) printLogLines(id string, paths []string, in io.Reader) error {
	var lines []string
	collect := func(_ string, r io.Reader) error {
		scan := bufio.NewScanner(r)
		scan.Buffer(make([]byte, 0, 64<<10), maxLogLine)
		for scan.Scan() {
			if lineMentions(scan.Text(), id) {
				lines = append(lines, scan.Text())
			}
		}
		return scan.Err()
	}
	for _, path := range paths {
		if err := readLog(path, in, collect); err != nil {
			return err
		}
	}
	// The stable sort keeps lines with equal times, or without one, in the order of their
	// files.
	sort.SliceStable(lines, func(i, j int) bool { return timestampOf(lines[i]) < timestampOf(lines[j]) })
	for _, line := range lines {
		if _, err := fmt.Fprintln(a.out, line); err != nil {
			return err
		}
	}
	return nil
}

// lineMentions reports whether the value of one of the line's fields is id, or begins with
// id and @. The latter is the name of a batch with its organisation.
func lineMentions(line, id string) bool {
	for _, field := range strings.Fields(line) {
		if _, value, ok := strings.Cut(field, "="); ok && (value == id || strings.HasPrefix(value, id+"@")) {
			return true
		}
	}
	return false
}

// timestampOf returns the timestamp of a line as text, or an empty string. Timestamps can
// be compared as text because all lines use the same time zone.
func timestampOf(line string) string {
	_, rest, ok := strings.Cut(line, "timestamp=")
	if !ok {
		return ""
	}
	at, _, _ := strings.Cut(rest, " ")
	return at
}
