package addresses

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/entry/caller"
	"github.com/egretbend/egretbend/internal/entry/client"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

const askTimeout = 2 * time.Second

// Book asks any instance for addresses and keeps the answer for as long as it
// says. It needs Seeds and a Timer.
type Book struct {
	Caller        string
	FailureDomain string
	Seeds         []string
	Timer         timer.Service

	mu    sync.Mutex
	list  []string
	until timer.Instant
	turn  int
}

// Pick returns an address to use, and asks for new ones when the answer has
// run out.
func (b *Book) Pick(ctx context.Context) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) == 0 || b.Timer.Now() >= b.until {
		if err := b.ask(ctx); err != nil && len(b.list) == 0 {
			return "", err
		}
	}
	b.turn++
	return b.list[b.turn%len(b.list)], nil
}

// Failed takes an address out until the next answer.
func (b *Book) Failed(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, a := range b.list {
		if a == address {
			b.list = append(b.list[:i:i], b.list[i+1:]...)
			return
		}
	}
}

// ask tries the known addresses and then the seeds.
func (b *Book) ask(ctx context.Context) error {
	tries := append([]string(nil), b.list...)
	for _, i := range rand.Perm(len(b.Seeds)) {
		tries = append(tries, b.Seeds[i])
	}
	var last error
	for _, address := range tries {
		last = b.askAt(ctx, address)
		if last == nil {
			return nil
		}
	}
	return fmt.Errorf("no instance answers: %w", last)
}

func (b *Book) askAt(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer caller.AddressesResponse
	path := fmt.Sprintf("/v1/addresses?caller=%s&failure_domain=%s", url.QueryEscape(b.Caller), url.QueryEscape(b.FailureDomain))
	if err := (client.Client{
		Address: address,
	}).Do(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return err
	}
	b.list = b.list[:0]
	for _, a := range answer.Addresses {
		b.list = append(b.list, a.Address)
	}
	b.until = b.Timer.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
	return nil
}
