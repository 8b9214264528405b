package steptime

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the account as text: one row for each step, then the sums, the steps
// without an account and the number of unreadable lines.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "asked\tmodel\tstep\titems\tevents\ttook ms\tbound\tratio\t%s\tbatch\t\n", strings.Join(causeNames[:], "\t"))
	for _, s := range r.Steps {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t", s.Submitted.Format("15:04:05.000"), s.Model, s.Step, s.Items, s.Events, s.Took, s.Bound, s.Ratio)
		for _, c := range Causes() {
			fmt.Fprintf(t, "%d\t", s.Spent[c])
		}
		fmt.Fprintf(t, "%s\t\n", s.Batch)
	}
	fmt.Fprintf(t, "sum\t\t%d\t\t\t\t\t\t", len(r.Steps))
	for _, c := range Causes() {
		fmt.Fprintf(t, "%d\t", r.Sums[c])
	}
	fmt.Fprint(t, "\t\n")
	if err := t.Flush(); err != nil {
		return err
	}
	for _, u := range r.IncompleteSteps {
		if _, err := fmt.Fprintf(w, "no account of step %d of %s, batch %s, asked %s: %s\n", u.Step, u.Model, u.Batch, u.Submitted.Format("15:04:05.000"), u.Reason); err != nil {
			return err
		}
	}
	return r.writeBadLines(w)
}

// writeBadLines writes how many lines could not be read, and which was the first.
func (r *Report) writeBadLines(w io.Writer) error {
	if len(r.BadLines) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%d lines could not be read, the first: %v\n", len(r.BadLines), r.BadLines[0])
	return err
}
