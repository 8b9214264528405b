package steptime

import (
	"fmt"
	"io"
	"time"

	svg "github.com/ajstarks/svgo"
)

// Dimensions of the picture in SVG user units. secondWidth is the width of one second.
const (
	secondWidth      = 40
	rowHeight        = 12
	barHeight        = 9
	leftMargin       = 140
	topMargin        = 40
	legendEntryWidth = 90
)

var causeColours = [causeCount]string{"#999", "#c33", "#e93", "#4a7", "#9c6", "#36c", "#a5c", "#5bb", "#cc4", "#845"}

// WriteSVG draws the steps over time as SVG, with one colour for each cause.
func (r *Report) WriteSVG(w io.Writer) error {
	if len(r.Steps) == 0 {
		return ErrNoSteps
	}
	out := &stickyErrorWriter{
		w: w,
	}
	from, to := r.span()
	width := leftMargin + int(to.Sub(from).Seconds()+1)*secondWidth
	height := topMargin + (len(r.Steps)+1)*rowHeight
	c := svg.New(out)
	c.Start(max(width, leftMargin+int(causeCount)*legendEntryWidth), height, `font-family="sans-serif" font-size="9"`)
	for _, cause := range Causes() {
		x := leftMargin + int(cause)*legendEntryWidth
		c.Rect(x, 8, 10, 10, "fill:"+causeColours[cause])
		c.Text(x+14, 17, cause.String())
	}
	for second := 0; second <= int(to.Sub(from).Seconds()); second += 5 {
		c.Text(leftMargin+second*secondWidth, topMargin-6, fmt.Sprint(second, " s"))
	}
	for row, s := range r.Steps {
		y := topMargin + row*rowHeight
		c.Text(4, y+barHeight, fmt.Sprint(s.Model, " ", s.Step))
		at := s.Submitted.Sub(from)
		for _, cause := range Causes() {
			spent := time.Duration(max(0, s.Spent[cause])) * time.Millisecond
			c.Rect(leftMargin+durationWidth(at), y, durationWidth(at+spent)-durationWidth(at), barHeight, "fill:"+causeColours[cause])
			at += spent
		}
	}
	c.End()
	return out.err
}

func durationWidth(d time.Duration) int { return int(d.Seconds() * secondWidth) }

// span returns when the first step was submitted and when the last one ended.
func (r *Report) span() (from, to time.Time) {
	from = r.Steps[0].Submitted
	for _, s := range r.Steps {
		if end := s.Submitted.Add(time.Duration(s.Took) * time.Millisecond); end.After(to) {
			to = end
		}
	}
	return from, to
}

// stickyErrorWriter keeps the first error of a writer, since the SVG library ignores
// errors.
type stickyErrorWriter struct {
	w   io.Writer
	err error
}

// Write implements io.Writer.
func (s *stickyErrorWriter) Write(p []byte) (int, error) {
	if s.err != nil {
		return len(p), nil
	}
	n, err := s.w.Write(p)
	s.err = err
	return n, err
}
