package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// ServerTLS returns the TLS configuration of a server that accepts any client.
func ServerTLS(pair *Pair) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.Get() },
	}
}

var errUntrustedPeer = errors.New("the peer has no certificate signed by the fleet's authority")

// PeerTLS returns the TLS configuration of connections between instances, for client
// and server: each presents its certificate and accepts only certificates signed by
// the authority in a PEM file. Instances call each other by address, so host names
// are not compared. The authority file is read at each handshake, and the certificate
// is reloaded when it changes, so a fleet can replace its authority without downtime
// by way of a file that holds both the old and the new one.
func PeerTLS(pair *Pair, authority string) *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.Get() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.Get() },
		ClientAuth:           tls.RequireAnyClientCert,
		// The standard verification also compares host names, so it is replaced by
		// VerifyConnection.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyPeer(s.PeerCertificates, authority)
		},
	}
}

// verifyPeer verifies the peer's certificate chain against the authority in a PEM
// file.
func verifyPeer(chain []*x509.Certificate, authority string) error {
	if len(chain) == 0 {
		return errUntrustedPeer
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return fmt.Errorf("authority of the fleet: %w; check security.peer_authority", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("authority of the fleet: %s holds no certificate; check security.peer_authority", authority)
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err = chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errUntrustedPeer, err)
	}
	return nil
}
