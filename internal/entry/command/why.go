package command

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
)

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// whyFromLogs prints the lines of logs that name id, in the order of their
// times. Lines of a batch's items name the batch as well.
func (a *app) whyFromLogs(id string, paths []string, in io.Reader) error {
	var lines []string
	keep := func(_ string, r io.Reader) error {
		scan := bufio.NewScanner(r)
		scan.Buffer(make([]byte, 0, 64<<10), maxLogLine)
		for scan.Scan() {
			if names(scan.Text(), id) {
				lines = append(lines, scan.Text())
			}
		}
		return scan.Err()
	}
	for _, path := range paths {
		if err := readLog(path, in, keep); err != nil {
			return err
		}
	}
	// A stable sort keeps lines without a time where their file had them.
	sort.SliceStable(lines, func(i, j int) bool { return timeOf(lines[i]) < timeOf(lines[j]) })
	for _, line := range lines {
		if _, err := fmt.Fprintln(a.out, line); err != nil {
			return err
		}
	}
	return nil
}

// names reports whether a line has id as the value of one of its fields, or id in the
// name that a batch has with its organisation.
func names(line, id string) bool {
	for _, field := range strings.Fields(line) {
		if _, value, ok := strings.Cut(field, "="); ok && (value == id || strings.HasPrefix(value, id+"@")) {
			return true
		}
	}
	return false
}

// timeOf returns the time of a line as text; all lines have the same zone.
func timeOf(line string) string {
	_, rest, ok := strings.Cut(line, "timestamp=")
	if !ok {
		return ""
	}
	at, _, _ := strings.Cut(rest, " ")
	return at
}
