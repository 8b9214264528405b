package fault

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Path is where each stand-in serves its door.
const Path = "/fault"

// Door holds the faults of a stand-in. Its zero value has none.
type Door[T any] struct {
	current atomic.Pointer[T]
	// Changed is called with the new faults; nil calls nothing.
	Changed func(T)
}

// Get returns the faults in force.
func (d *Door[T]) Get() T {
	if p := d.current.Load(); p != nil {
		return *p
	}
	var none T
	return none
}

// Set puts faults in force.
func (d *Door[T]) Set(v T) {
	d.current.Store(&v)
	if d.Changed != nil {
		d.Changed(v)
	}
}

// ServeHTTP implements http.Handler.
func (d *Door[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.Set(v)
	w.WriteHeader(http.StatusNoContent)
}
