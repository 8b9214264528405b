package peer

import (
	"crypto/tls"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/certificate"
	"github.com/egretbend/egretbend/internal/kernel/part"
)

func init() {
	part.Register(part.Factory{
		Name:  "fleet.peer",
		Stage: part.StagePlatform,
		Make:  makePart,
	})
	part.Register(part.Factory{
		Name:  "fleet.peer_listen",
		Stage: part.StagePeerListener,
		Make:  makeListener,
	})
}

func makePart(h *part.Host) (part.Part, error) {
	counter := &Counter{}
	h.Metrics.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "egretbend_peer_sent_bytes_total",
			Help: "Bytes sent to other instances.",
		}, func() float64 { return float64(counter.Sent.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "egretbend_peer_received_bytes_total",
			Help: "Bytes received from other instances.",
		}, func() float64 { return float64(counter.Received.Load()) }),
	)
	part.Provide(h, counter)
	tlsConfig, err := peerTLSConfig(h)
	if err != nil {
		return nil, err
	}
	part.Provide(h, &Client{
		Bytes: counter,
		TLS:   tlsConfig,
	})
	part.Provide(h, &Server{
		Bytes: counter,
	})
	return part.Noop{}, nil
}

// peerTLSConfig returns the TLS configuration of peer connections from the
// settings, or nil for plain text.
func peerTLSConfig(h *part.Host) (*tls.Config, error) {
	s := h.Settings.Security
	if s.PeerCertificate == "" {
		return nil, nil
	}
	pair := &certificate.Pair{
		Certificate: s.PeerCertificate,
		PrivateKey:  s.PeerPrivateKey,
	}
	if _, err := pair.Get(); err != nil {
		return nil, err
	}
	return certificate.PeerTLS(pair, s.PeerAuthority), nil
}

// listener is the part that listens on the peer address. It starts after all
// receivers are registered.
type listener struct {
	address string
	server  *Server
	client  *Client
}

func makeListener(h *part.Host) (part.Part, error) {
	return &listener{
		address: h.Settings.PeerListen,
		server:  part.MustGet[*Server](h),
		client:  part.MustGet[*Client](h),
	}, nil
}

// Start implements part.Part.
func (l *listener) Start(t *tomb.Tomb) error {
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	if l.client.TLS != nil {
		ln = tls.NewListener(ln, l.client.TLS)
	}
	t.Go(func() error { return l.server.Serve(t, ln) })
	return nil
}

// Stop implements part.Part.
func (l *listener) Stop() { l.client.Close() }
