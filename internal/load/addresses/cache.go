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
func (c *Cache) Next(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 || c.Timer.Now() >= c.expires {
		if err := c.refresh(ctx); err != nil && len(c.addresses) == 0 {
			return "", err
		}
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)], nil
}

// MarkFailed removes an address until the addresses are refreshed.
func (c *Cache) MarkFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, a := range c.addresses {
		if a == address {
			c.addresses = append(c.addresses[:i:i], c.addresses[i+1:]...)
			return
		}
	}
}

// refresh asks the known addresses, and then the seeds in random order, until one
// of them answers.
func (c *Cache) refresh(ctx context.Context) error {
	candidates := append([]string(nil), c.addresses...)
	for _, i := range rand.Perm(len(c.Seeds)) {
		candidates = append(candidates, c.Seeds[i])
	}
	var lastErr error
	for _, address := range candidates {
		lastErr = c.refreshFrom(ctx, address)
		if lastErr == nil {
			return nil
		}
	}
	return fmt.Errorf("no instance returned addresses: %w", lastErr)
}

// refreshFrom replaces the addresses by the answer of the instance at address.
func (c *Cache) refreshFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	var answer caller.AddressesResponse
	path := fmt.Sprintf("/v1/addresses?caller=%s&failure_domain=%s", url.QueryEscape(c.Caller), url.QueryEscape(c.FailureDomain))
	if err := (client.Client{
		Address: address,
	}).Do(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return err
	}
	c.addresses = c.addresses[:0]
	for _, a := range answer.Addresses {
		c.addresses = append(c.addresses, a.Address)
	}
	c.expires = c.Timer.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
	return nil
}
