package part

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Registry holds plug-ins of one kind by name. The zero value is ready to use, and
// it is safe for concurrent use.
type Registry[T any] struct {
	mu sync.RWMutex
	m  map[string]T
}

// Add registers v under name. It panics when the name is taken, since that is a
// programming error.
func (r *Registry[T]) Add(name string, v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.m == nil {
		r.m = make(map[string]T)
	}
	if _, ok := r.m[name]; ok {
		panic(fmt.Sprintf("part: %q is registered twice", name))
	}
	r.m[name] = v
}

// Find returns the plug-in registered under name, or an error that lists the known
// names.
func (r *Registry[T]) Find(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	v, ok := r.m[name]
	if !ok {
		return v, fmt.Errorf("no plug-in %q; use one of %s", name, strings.Join(r.names(), ", "))
	}
	return v, nil
}

// Names returns all names in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.m))
	for name := range r.m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
