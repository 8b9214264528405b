package wake

import "sync"

// Signal wakes one waiter. Its zero value works; it must not be copied after use.
type Signal struct {
	once sync.Once
	c    chan struct{}
}

// C returns the channel to wait on.
func (s *Signal) C() <-chan struct{} { return s.channel() }

func (s *Signal) channel() chan struct{} {
	s.once.Do(func() { s.c = make(chan struct{}, 1) })
	return s.c
}

// Set wakes the waiter, or the next one that comes. It never waits itself, and several
// before the waiter runs are one.
func (s *Signal) Set() {
	select {
	case s.channel() <- struct{}{}:
	default:
	}
}
