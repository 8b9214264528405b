package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Door returns how a door that anyone may come to is served.
func Door(pair *Pair) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.Get() },
	}
}

var errStranger = errors.New("no certificate of this fleet's authority")

// Fleet returns how instances talk to each other, as either side: each shows its
// certificate and accepts only those that the authority in a PEM file has signed.
// Instances call each other by address, so names are not compared. Both files are
// read at each handshake: an authority that is replaced by one file with the old
// and the new one lets a fleet change without a break.
func Fleet(pair *Pair, authority string) *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.Get() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.Get() },
		ClientAuth:           tls.RequireAnyClientCert,
		// The standard check compares names; VerifyConnection does the rest.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verify(s.PeerCertificates, authority)
		},
	}
}

// verify checks a chain of certificates against the authority in a file.
func verify(chain []*x509.Certificate, authority string) error {
	if len(chain) == 0 {
		return errStranger
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return fmt.Errorf("authority of the fleet: %w; check security.peer_authority", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("authority of the fleet: %s holds no certificate; check security.peer_authority", authority)
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err = chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errStranger, err)
	}
	return nil
}
