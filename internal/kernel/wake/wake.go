package wake

import "sync"

// Signal wakes one waiting goroutine. The zero value is ready to use; a Signal must
// not be copied after first use.
type Signal struct {
	once sync.Once
	c    chan struct{}
}

// C returns the channel that the waiter receives from.
func (s *Signal) C() <-chan struct{} { return s.channel() }

func (s *Signal) channel() chan struct{} {
	s.once.Do(func() { s.c = make(chan struct{}, 1) })
	return s.c
}

// Set wakes the waiter or, when none is waiting, the next one to wait. It never
// blocks, and several calls before the waiter runs wake it only once.
func (s *Signal) Set() {
	select {
	case s.channel() <- struct{}{}:
	default:
	}
}
