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
	firstPort  = 10_000
	blockSize  = 500
	blockCount = 40
)

var errNoPort = errors.New("no free port was found; end other experiments on this machine")

// Block gives out the ports of one block. The block's first port is held as long
// as the block is in use. Its zero value works.
type Block struct {
	mu   sync.Mutex
	reservation net.Listener
	next int
	end int
}

// Free returns a loopback address that is free now and not given out yet.
func (p *Block) Free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reservation == nil && !p.reserve() {
		return "", errNoPort
	}
	for p.next < p.end {
		address := loopbackAddress(p.next)
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

// reserve holds a block that nobody else has.
func (p *Block) reserve() bool {
	for _, n := range rand.Perm(blockCount) {
		first := firstPort + n*blockSize
		ln, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			continue
		}
		p.reservation = ln
		p.next, p.end = first+1, first+blockSize
		return true
	}
	return false
}

// Release gives the block back.
func (p *Block) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reservation != nil {
		_ = p.reservation.Close()
		p.reservation = nil
	}
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
