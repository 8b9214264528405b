package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// dividing returns an orderer that sees 50 engines of three models.
func dividing() (*Orderer, *timer.Manual) {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	o := &Orderer{
		Book: &catalog.Book{
			Timer: clock,
		},
		Config: &catalog.Holder{},
		Timer:  clock,
	}
	o.Config.Take(catalog.Configuration{
		Version: 1,
		Services: map[string]catalog.Service{
			"s": {Engine: &catalog.Engine{Models: []string{"m0", "m1", "m2"}}},
		},
	}.WithIndex())
	var list []catalog.Listed
	for n := range 50 {
		list = append(list, catalog.Listed{
			ID:       fmt.Sprintf("e%02d", n),
			Service:  "s",
			Slots:    6,
			Versions: map[string]uint64{"m0": 1, "m1": 1, "m2": 1},
		})
	}
	o.Book.Update(list, nil)
	return o, clock
}

func sizes(sets map[string]string) map[string]int {
	n := make(map[string]int)
	for _, model := range sets {
		n[model]++
	}
	return n
}

// Guards against homes that begin their first steps at the same moment at all engines.
func TestHomesDivideTheEnginesBeforeTheyHearOfEachOther(t *testing.T) {
	is := is.New(t)
	homes := make([]map[string]string, 3)
	for i := range homes {
		o, _ := dividing()
		o.Asked(fmt.Sprintf("m%d", i), 1000) // each knows of its own step alone
		homes[i] = o.Sets("s", false)
	}
	is.Equal(sizes(homes[0])["m0"]+sizes(homes[0])["m1"]+sizes(homes[0])["m2"], 50)
	for i := range homes {
		is.Equal(homes[i], homes[0]) // all come to the same division
	}
}

// Guards against engines that are kept for models that nobody trains.
func TestIdleModelsLeaveTheirEngines(t *testing.T) {
	is := is.New(t)
	o, clock := dividing()
	is.Equal(len(o.Sets("s", true)), 0)
	o.Asked("m0", 1000)
	clock.Advance(divideEvery)
	is.Equal(len(o.Sets("s", true)), 0)
	o.Asked("m1", 3000)
	clock.Advance(divideEvery)
	got := sizes(o.Sets("s", true))
	is.Equal(got["m2"], 0)
	is.True(got["m1"] > got["m0"]) // half of the engines go by the work
	clock.Advance(workLasts)
	is.Equal(len(o.Sets("s", true)), 0)
	is.Equal(len(o.Sets("other", true)), 0)
}
