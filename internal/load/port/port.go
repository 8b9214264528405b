package port

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports that are given out lie below those that the system gives to
// outgoing connections, and come from a block that one run has for itself:
// between the moment a port is found free and the moment its process listens
// there, a connection or another run could take it otherwise.
const (
	portFirst  = 10_000
	blockSize  = 500
	blockCount = 40
)

var errNoPort = errors.New("no free port was found; end other experiments on this machine")

// Block gives out the ports of one block. The block's first port is held as long
// as the block is in use. Its zero value works.
type Block struct {
	mu   sync.Mutex
	held net.Listener
	next int
	last int
}

// Free returns a loopback address that is free now and not given out yet.
func (p *Block) Free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil && !p.take() {
		return "", errNoPort
	}
	for p.next < p.last {
		address := loopback(p.next)
		p.next++
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address, nil
	}
	return "", errNoPort
}

// take holds a block that nobody else has.
func (p *Block) take() bool {
	for _, n := range rand.Perm(blockCount) {
		first := portFirst + n*blockSize
		ln, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		p.held = ln
		p.next, p.last = first+1, first+blockSize
		return true
	}
	return false
}

// Release gives the block back.
func (p *Block) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil {
		_ = p.held.Close()
		p.held = nil
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
