package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports that are given out lie below those that the system gives to
// outgoing connections: one of these could take a port between the moment it
// was found free and the moment its process listens there.
const (
	portFirst = 10_000
	portLast  = 30_000
	portTries = 1_000
)

var errNoPort = errors.New("no free port was found; end other experiments on this machine")

// ports remembers what this process has given out.
type ports struct {
	mu    sync.Mutex
	given map[int]bool
}

// free returns a loopback address that is free now and not given out yet.
func (p *ports) free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.given == nil {
		p.given = make(map[int]bool)
	}
	for range portTries {
		port := portFirst + rand.IntN(portLast-portFirst)
		if p.given[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		p.given[port] = true
		return address, nil
	}
	return "", errNoPort
}
