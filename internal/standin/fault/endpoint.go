package fault

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Path is the path at which each stand-in serves its Endpoint.
const Path = "/fault"

// Endpoint holds the current faults of a stand-in, and replaces them by those in the
// JSON body of a request. The zero value has no faults.
type Endpoint[T any] struct {
	current atomic.Pointer[T]
	// OnChange is called with the new faults after each change, unless it is nil.
	OnChange func(T)
}

// Get returns the current faults.
func (e *Endpoint[T]) Get() T {
	if p := e.current.Load(); p != nil {
		return *p
	}
	var none T
	return none
}

// Set replaces the current faults by v.
func (e *Endpoint[T]) Set(v T) {
	e.current.Store(&v)
	if e.OnChange != nil {
		e.OnChange(v)
	}
}

// ServeHTTP implements http.Handler.
func (e *Endpoint[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Set(v)
	w.WriteHeader(http.StatusNoContent)
}
