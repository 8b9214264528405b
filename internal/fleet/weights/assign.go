package weights

import (
	"math"
	"sort"
)

// equalPart is the part of the engines that models share alike; the rest goes by
// the work of their steps. A step with little work has long items as well, and a
// trainer whose steps are small now may have large ones next.
const equalPart = 0.5

// Demand is the work of a step of each model, in tokens, as far as is known.
type Demand map[string]float64

// with returns the demand after one more step, smoothed: with each change of the
// shares engines load weights that others have.
func (d Demand) with(model string, tokens float64) Demand {
	const weight = 0.2
	next := make(Demand, len(d)+1)
	for m, t := range d {
		next[m] = t
	}
	if old, ok := next[model]; ok {
		tokens = old + weight*(tokens-old)
	}
	next[model] = tokens
	return next
}

// shares returns the part of the engines that each model gets. Where the work of
// any model is not known all share alike.
func (d Demand) shares(models []string) map[string]float64 {
	total := 0.0
	for _, m := range models {
		if d[m] <= 0 {
			total = 0
			break
		}
		total += d[m]
	}
	shares := make(map[string]float64, len(models))
	for _, m := range models {
		shares[m] = 1 / float64(len(models))
		if total > 0 {
			shares[m] = equalPart*shares[m] + (1-equalPart)*d[m]/total
		}
	}
	return shares
}

// division is engines being divided among models.
type division struct {
	models []string
	shares map[string]float64
	total  int
	sets   map[string]string
	size   map[string]int
}

// Assign divides engines among models. An engine stays with the model of which
// it has fresh weights, as long as no set gets more than its share; the others
// fill the smallest sets. A set that lost its engines gets some of the largest.
func Assign(engines []Engine, models []string, named map[string]uint64, demand Demand) map[string]string {
	d := &division{
		models: models,
		shares: demand.shares(models),
		total:  len(engines),
		sets:   make(map[string]string, len(engines)),
		size:   make(map[string]int, len(models)),
	}
	if len(models) == 0 {
		return d.sets
	}
	sorted := append([]Engine(nil), engines...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	for _, e := range sorted {
		if model := home(e, models, named); model != "" && d.size[model] < d.most(model) {
			d.put(e, model)
		}
	}
	for _, e := range sorted {
		if d.sets[e.ID] == "" {
			d.put(e, d.emptiest())
		}
	}
	for {
		to, from := d.emptiest(), d.fullest()
		if d.size[to] >= d.least(to) || d.size[from] <= d.least(from) {
			return d.sets
		}
		for _, e := range sorted {
			if d.sets[e.ID] == from {
				d.size[from]--
				d.put(e, to)
				break
			}
		}
	}
}

func (d *division) put(e Engine, model string) {
	d.sets[e.ID] = model
	d.size[model]++
}

// most and least are the bounds of a model's set.
func (d *division) most(model string) int {
	return int(math.Ceil(d.shares[model]*float64(d.total) - rounding))
}

func (d *division) least(model string) int {
	return max(1, int(d.shares[model]*float64(d.total)+rounding))
}

// rounding keeps a third of nine at three.
const rounding = 1e-9

// use is how full a model's set is against its share.
func (d *division) use(model string) float64 { return float64(d.size[model]) / d.shares[model] }

func (d *division) emptiest() string {
	best := d.models[0]
	for _, m := range d.models[1:] {
		if d.use(m) < d.use(best)-rounding {
			best = m
		}
	}
	return best
}

func (d *division) fullest() string {
	best := d.models[0]
	for _, m := range d.models[1:] {
		if d.use(m) > d.use(best)+rounding {
			best = m
		}
	}
	return best
}
