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

// writeCertificate writes a self-signed certificate with the given serial number and
// modification time, and its key.
func writeCertificate(t *testing.T, cert, key string, serial int64, modified time.Time) {
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

// Guards against failed handshakes while a certificate is being renewed and only one
// of its two files has been written, and against an expired certificate that stays in
// use after it was renewed.
func TestCertificateIsReloaded(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	pair := &Pair{
		Certificate: filepath.Join(folder, "cert.pem"),
		PrivateKey:  filepath.Join(folder, "key.pem"),
	}
	_, err := pair.Get()
	is.True(err != nil) // no files yet
	serial := func() int64 {
		cert, err := pair.Get()
		is.NoErr(err)
		return cert.Leaf.SerialNumber.Int64()
	}
	issued := time.Now().Add(-time.Hour)
	writeCertificate(t, pair.Certificate, pair.PrivateKey, 1, issued)
	is.Equal(serial(), int64(1))
	is.NoErr(os.WriteFile(pair.PrivateKey, []byte("half"), 0o600))
	is.NoErr(os.Chtimes(pair.Certificate, issued.Add(time.Minute), issued.Add(time.Minute)))
	is.Equal(serial(), int64(1)) // the old certificate stays in use
	writeCertificate(t, pair.Certificate, pair.PrivateKey, 2, issued.Add(2*time.Minute))
	is.Equal(serial(), int64(2))
}
