package engine

import "slices"

// cache is an LRU set of prompt hashes; it simulates the engine's prefix cache.
type cache struct {
	capacity int
	// keys holds the prompt hashes, the least recently used first.
	keys []uint64
}

// touch reports whether key was cached and makes it the most recently used
// entry. The least recently used entry is evicted if the cache is over capacity.
func (c *cache) touch(key uint64) bool {
	i := slices.Index(c.keys, key)
	if i >= 0 {
		c.keys = append(slices.Delete(c.keys, i, i+1), key)
		return true
	}
	c.keys = append(c.keys, key)
	if len(c.keys) > c.capacity {
		c.keys = c.keys[1:]
	}
	return false
}
