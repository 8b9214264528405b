package standby

import "context"

// Finder finds the copy of a batch at this instance, or else at its successors: a restarted
// instance finds there the results and texts of its previous incarnation.
type Finder struct {
	Copies     *Copies
	Successors func() []string
	Peers      Peers
}

// Find returns the copy of a batch, or an empty one. Of several copies at successors it
// returns the one with the most events.
func (f *Finder) Find(ctx context.Context, batch string) Copy {
	if c, ok := f.Copies.Find(batch); ok {
		return c
	}
	successors := f.Successors()
	found := make(chan Copy, len(successors))
	for _, address := range successors {
		go func() {
			c, _ := f.Peers.Fetch(ctx, address, batch)
			found <- c
		}()
	}
	best := Copy{}
	for range successors {
		if c := <-found; c.Len() > best.Len() {
			best = c
		}
	}
	return best
}

// Len returns the number of events and results in the copy.
func (c Copy) Len() int {
	n := len(c.Results)
	for _, p := range c.Progress {
		n += len(p.Events)
	}
	return n
}
