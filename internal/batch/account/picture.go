package account

import (
	"fmt"
	"io"
	"time"

	svg "github.com/ajstarks/svgo"
)

// The measures of the picture, in its own units.
const (
	pictureSecond = 40
	pictureRow    = 12
	pictureBar    = 9
	pictureLeft   = 140
	pictureTop    = 40
	pictureKey    = 90
)

var colours = [causes]string{"#999", "#c33", "#e93", "#4a7", "#9c6", "#36c", "#a5c", "#5bb", "#cc4", "#845"}

// Picture draws the steps over time as SVG, with their causes in colour.
func (d *Day) Picture(w io.Writer) error {
	if len(d.Steps) == 0 {
		return ErrNoSteps
	}
	out := &sticky{
		w: w,
	}
	from, to := d.span()
	width := pictureLeft + int(to.Sub(from).Seconds()+1)*pictureSecond
	height := pictureTop + (len(d.Steps)+1)*pictureRow
	c := svg.New(out)
	c.Start(max(width, pictureLeft+int(causes)*pictureKey), height, `font-family="sans-serif" font-size="9"`)
	for _, cause := range Causes() {
		x := pictureLeft + int(cause)*pictureKey
		c.Rect(x, 8, 10, 10, "fill:"+colours[cause])
		c.Text(x+14, 17, cause.String())
	}
	for second := 0; second <= int(to.Sub(from).Seconds()); second += 5 {
		c.Text(pictureLeft+second*pictureSecond, pictureTop-6, fmt.Sprint(second, " s"))
	}
	for row, s := range d.Steps {
		y := pictureTop + row*pictureRow
		c.Text(4, y+pictureBar, fmt.Sprint(s.Model, " ", s.Step))
		at := s.Asked.Sub(from)
		for _, cause := range Causes() {
			spent := time.Duration(max(0, s.Spent[cause])) * time.Millisecond
			c.Rect(pictureLeft+units(at), y, units(at+spent)-units(at), pictureBar, "fill:"+colours[cause])
			at += spent
		}
	}
	c.End()
	return out.err
}

func units(d time.Duration) int { return int(d.Seconds() * pictureSecond) }

// span returns when the first step was asked and the last one ended.
func (d *Day) span() (from, to time.Time) {
	from = d.Steps[0].Asked
	for _, s := range d.Steps {
		if end := s.Asked.Add(time.Duration(s.Took) * time.Millisecond); end.After(to) {
			to = end
		}
	}
	return from, to
}

// sticky keeps the first error of a writer, as the library drops them.
type sticky struct {
	w   io.Writer
	err error
}

// Write implements io.Writer.
func (s *sticky) Write(p []byte) (int, error) {
	if s.err != nil {
		return len(p), nil
	}
	n, err := s.w.Write(p)
	s.err = err
	return n, err
}
