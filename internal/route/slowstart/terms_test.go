package slowstart

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/standin/property"
)

// Guards against terms under which the holders of all shares together exceed the bound, and
// against leaving out holders for which there is room.
func TestSharesFitTheBound(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		terms := Terms{
			Rate:    rapid.Float64Range(0.01, 5000).Draw(t, "rate"),
			Overage: rapid.Float64Range(0.5, 3).Draw(t, "overage"),
			Slack:   rapid.Float64Range(0, 20).Draw(t, "slack"),
		}
		allowed := terms.Rate*terms.Overage + terms.Slack
		n, interval := terms.Shares()
		if allowed < 2 {
			if n != 0 {
				t.Fatalf("%d shares although only %f requests are allowed", n, allowed)
			}
			return
		}
		if n < 1 || n > maxShares || interval <= 0 {
			t.Fatalf("%d shares with interval %s", n, interval)
		}
		if most := n * (int((window+permitValidity)/interval) + 2); float64(most) > allowed {
			t.Fatalf("%d shares with interval %s may send %d, allowed %f", n, interval, most, allowed)
		}
		if next := intervalFor(float64(n+1) / terms.Rate); n < maxShares && float64(n+1)*mostInWindow(next) <= allowed {
			t.Fatalf("%d shares although there is room for one more", n)
		}
	})
}

// Guards against sending to upstreams of a service whose terms are not usable.
func TestSharesOfUnusableTerms(t *testing.T) {
	is := is.New(t)
	n, _ := Terms{Rate: 0, Overage: 1.5, Slack: 5}.Shares()
	is.Equal(n, 0)
	n, _ = Terms{Rate: -3, Overage: 1.5, Slack: 50}.Shares()
	is.Equal(n, 0)
	n, interval := Terms{Rate: 4, Overage: 1.5, Slack: 5}.Shares()
	is.Equal(n, 3)
	is.Equal(interval, 750*time.Millisecond)
}
