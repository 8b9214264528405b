package certificate

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"
)

// Pair is a certificate and its private key, each in a PEM file. It is reloaded when
// the certificate file changes, so that it can be renewed without a restart.
type Pair struct {
	Certificate string
	PrivateKey  string

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
}

// Get returns the current certificate. When changed files can't be loaded, for
// example because only one of them has been written yet, the old certificate stays
// in use.
func (c *Pair) Get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.Certificate)
	if err == nil && c.current != nil && info.ModTime().Equal(c.modified) {
		return c.current, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(c.Certificate, c.PrivateKey)
	if loadErr == nil && err == nil {
		c.current = &cert
		c.modified = info.ModTime()
	}
	if c.current == nil {
		return nil, fmt.Errorf("load certificate %s: %w; check security.certificate and private_key", c.Certificate, loadErr)
	}
	return c.current, nil
}
