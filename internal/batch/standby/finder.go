package standby

import "context"

// Finder looks for the copy of a batch here, and else at the successors of this
// instance: one that was started again finds there what its life before had made.
type Finder struct {
	Copies     *Copies
	Successors func() []string
	Peers      Peers
}

// Find returns the copy of a batch, empty if there is none.
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
		if c := <-found; c.Events() > best.Events() {
			best = c
		}
	}
	return best
}

// Events returns how many events and ends the copy holds.
func (c Copy) Events() int {
	n := len(c.Results)
	for _, p := range c.Progress {
		n += len(p.Events)
	}
	return n
}
