package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"crypto/tls"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/certificate"
)

// testAuthority is a certificate authority.
type testAuthority struct {
	file string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// writePEM writes one PEM block to a file.
func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	is.New(t).NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func newAuthority(t *testing.T, file string) *testAuthority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "fleet"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	writePEM(t, file, "CERTIFICATE", der)
	return &testAuthority{
		file: file,
		cert: cert,
		key:  key,
	}
}

// issue writes a certificate signed by the authority that expires at until.
func (a *testAuthority) issue(t *testing.T, name string, until time.Time) *certificate.Pair {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     until,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	raw, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	pair := &certificate.Pair{
		Certificate: filepath.Join(filepath.Dir(a.file), name+".pem"),
		PrivateKey:  filepath.Join(filepath.Dir(a.file), name+".key"),
	}
	writePEM(t, pair.PrivateKey, "EC PRIVATE KEY", raw)
	writePEM(t, pair.Certificate, "CERTIFICATE", der)
	// A renewed file has another modification time.
	is.NoErr(os.Chtimes(pair.Certificate, until, until))
	return pair
}

// pingReceiver is an RPC receiver with one method.
type pingReceiver struct{}

// Ping replies with a fixed text.
func (pingReceiver) Ping(_ int, reply *string) error {
	*reply = "here"
	return nil
}

// Instances authenticate each other by certificates. A client without a
// certificate of the fleet, or with an expired one, must not be able to make
// calls. A certificate that is renewed in its file must be used from the next
// connection on.
func TestPeersAuthenticateEachOther(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	ca := newAuthority(t, filepath.Join(folder, "ca.pem"))
	server := &Server{}
	is.NoErr(server.Register("Test", pingReceiver{}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var tb tomb.Tomb
	tb.Go(func() error {
		return server.Serve(&tb, tls.NewListener(ln, certificate.PeerTLS(ca.issue(t, "server", time.Now().Add(time.Hour)), ca.file)))
	})
	defer func() { tb.Kill(nil); _ = tb.Wait() }()
	call := func(config *tls.Config) error {
		c := &Client{
			TLS: config,
		}
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var reply string
		return c.Call(ctx, ln.Addr().String(), "Test.Ping", 1, &reply)
	}
	expired := ca.issue(t, "client", time.Now().Add(-time.Minute))
	clientTLS := certificate.PeerTLS(expired, ca.file)
	is.True(call(clientTLS) != nil)
	ca.issue(t, "client", time.Now().Add(time.Hour)) // renewed in the same files
	is.NoErr(call(clientTLS))

	is.True(call(nil) != nil)                                      // plain text
	is.True(call(&tls.Config{InsecureSkipVerify: true}) != nil)    // no certificate
	other := newAuthority(t, filepath.Join(t.TempDir(), "ca.pem")) // another fleet
	foreign := other.issue(t, "client", time.Now().Add(time.Hour))
	is.True(call(certificate.PeerTLS(foreign, ca.file)) != nil) // the server refuses the client
	// The client refuses the server.
	is.True(call(certificate.PeerTLS(ca.issue(t, "client", time.Now().Add(time.Hour)), other.file)) != nil)
}
