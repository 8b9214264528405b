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

// refreshTimeout limits the request to one instance.
const refreshTimeout = 2 * time.Second

// Cache caches the addresses that a caller should use, for as long as the instance
// that returned them allows. It needs Seeds and a Timer.
type Cache struct {
	Caller        string
	FailureDomain string
	Seeds         []string
	Timer         timer.Service

	mu        sync.Mutex
	addresses []string
	expires   timer.Instant
	next      int
}

// Next returns the next address in turn. It asks for new addresses when it has
// none or when they have expired, and keeps using expired ones if no instance
// answers.
func (b *Cache) Next(ctx context.Context) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.addresses) == 0 || b.Timer.Now() >= b.expires {
		if err := b.refresh(ctx); err != nil && len(b.addresses) == 0 {
			return "", err
		}
	}
	b.next++
	return b.addresses[b.next%len(b.addresses)], nil
}

// MarkFailed removes an address until the addresses are refreshed.
func (b *Cache) MarkFailed(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, a := range b.addresses {
		if a == address {
			b.addresses = append(b.addresses[:i:i], b.addresses[i+1:]...)
			return
		}
	}
}

// refresh asks the known addresses, and then the seeds in random order, until one
// of them answers.
func (b *Cache) refresh(ctx context.Context) error {
	candidates := append([]string(nil), b.addresses...)
	for _, i := range rand.Perm(len(b.Seeds)) {
		candidates = append(candidates, b.Seeds[i])
	}
	var lastErr error
	for _, address := range candidates {
		lastErr = b.refreshFrom(ctx, address)
		if lastErr == nil {
			return nil
		}
	}
	return fmt.Errorf("no instance returned addresses: %w", lastErr)
}

// refreshFrom replaces the addresses by the answer of the instance at address.
func (b *Cache) refreshFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	var answer caller.AddressesResponse
	path := fmt.Sprintf("/v1/addresses?caller=%s&failure_domain=%s", url.QueryEscape(b.Caller), url.QueryEscape(b.FailureDomain))
	if err := (client.Client{
		Address: address,
	}).Do(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return err
	}
	b.addresses = b.addresses[:0]
	for _, a := range answer.Addresses {
		b.addresses = append(b.addresses, a.Address)
	}
	b.expires = b.Timer.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
	return nil
}
