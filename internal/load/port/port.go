package port

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports lie below the range that the system assigns to outgoing connections,
// and each run has a block of its own. Otherwise an outgoing connection or
// another run could take a port after it was found free and before its process
// listens there.
const (
	firstPort  = 10_000
	blockSize  = 500
	blockCount = 40
)

var errNoPort = errors.New("no free port found; stop other experiments on this machine")

// Block assigns the ports of one block. It listens on the first port of the block
// until Release, which keeps other runs from using the block. The zero value is
// ready to use.
type Block struct {
	mu          sync.Mutex
	reservation net.Listener
	next        int
	end         int
}

// Next returns a loopback address whose port is free now and was not returned
// before. The first call reserves a block.
func (b *Block) Next() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reservation == nil && !b.reserve() {
		return "", errNoPort
	}
	for b.next < b.end {
		address := loopbackAddress(b.next)
		b.next++
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address, nil
	}
	return "", errNoPort
}

// reserve reserves a random block that no other run uses, and reports whether it
// found one.
func (b *Block) reserve() bool {
	for _, n := range rand.Perm(blockCount) {
		first := firstPort + n*blockSize
		ln, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			continue
		}
		b.reservation = ln
		b.next, b.end = first+1, first+blockSize
		return true
	}
	return false
}

// Release ends the reservation of the block.
func (b *Block) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reservation != nil {
		_ = b.reservation.Close()
		b.reservation = nil
	}
}

// loopbackAddress returns the IPv4 loopback address with the given port.
func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
