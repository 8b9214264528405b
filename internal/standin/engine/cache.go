package engine

import "slices"

// cache remembers the last prompts.
type cache struct {
	most  int
	order []uint64
}

// touch reports whether a prompt was in the cache and puts it there.
func (c *cache) touch(key uint64) bool {
	i := slices.Index(c.order, key)
	if i >= 0 {
		c.order = append(slices.Delete(c.order, i, i+1), key)
		return true
	}
	c.order = append(c.order, key)
	if len(c.order) > c.most {
		c.order = c.order[1:]
	}
	return false
}
