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
func (p *Pair) Get() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.Certificate)
	if err == nil && p.current != nil && info.ModTime().Equal(p.modified) {
		return p.current, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(p.Certificate, p.PrivateKey)
	if loadErr == nil && err == nil {
		p.current = &cert
		p.modified = info.ModTime()
	}
	if p.current == nil {
		return nil, fmt.Errorf("load certificate %s: %w; check security.certificate and private_key", p.Certificate, loadErr)
	}
	return p.current, nil
}
