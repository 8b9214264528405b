package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// issue writes a self-signed certificate with a serial number.
func issue(t *testing.T, cert, key string, serial int64, modified time.Time) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject: pkix.Name{
			CommonName: "egretbend",
		},
		NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	raw, err := x509.MarshalECPrivateKey(private)
	is.NoErr(err)
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{
		Type:  "EC PRIVATE KEY",
		Bytes: raw,
	}), 0o600))
	is.NoErr(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{
		Type:  "CERTIFICATE",
		Bytes: der,
	}), 0o600))
	is.NoErr(os.Chtimes(cert, modified, modified))
}

// A certificate is renewed while the instance runs, and for a moment only half
// of it is written. Callers would notice handshakes that fail, or an expired
// certificate although a new one lies there.
func TestCertificateIsReloaded(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	c := &Pair{
		Certificate: filepath.Join(folder, "cert.pem"),
		PrivateKey:  filepath.Join(folder, "key.pem"),
	}
	_, err := c.Get()
	is.True(err != nil) // there is none yet
	serial := func() int64 {
		cert, err := c.Get()
		is.NoErr(err)
		return cert.Leaf.SerialNumber.Int64()
	}
	begin := time.Now().Add(-time.Hour)
	issue(t, c.Certificate, c.PrivateKey, 1, begin)
	is.Equal(serial(), int64(1))
	is.NoErr(os.WriteFile(c.PrivateKey, []byte("half"), 0o600))
	is.NoErr(os.Chtimes(c.Certificate, begin.Add(time.Minute), begin.Add(time.Minute)))
	is.Equal(serial(), int64(1)) // the old one stays in use
	issue(t, c.Certificate, c.PrivateKey, 2, begin.Add(2*time.Minute))
	is.Equal(serial(), int64(2))
}
