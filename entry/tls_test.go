package entry_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/entry"
)

// writeCertificate writes a self-signed certificate into a.crt and a.key of dir.
func writeCertificate(t *testing.T, dir, name string) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	must.NoError(t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	must.NoError(t, err)
	cert, key = filepath.Join(dir, "a.crt"), filepath.Join(dir, "a.key")
	must.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	must.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	return cert, key
}

// handshake returns the name of the certificate that a client of at most version sees.
func handshake(t *testing.T, server *tls.Config, version uint16) (string, error) {
	t.Helper()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _ = tls.Server(far, server).Handshake() }()
	client := tls.Client(near, &tls.Config{InsecureSkipVerify: true, MaxVersion: version})
	must.NoError(t, near.SetDeadline(time.Now().Add(10*time.Second)))
	if err := client.Handshake(); err != nil {
		return "", err
	}
	return client.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// Guards against an old certificate staying in use after its files changed, against a half
// replaced pair ending service, and against TLS below 1.3.
func TestCertificateReload(t *testing.T) {
	var now clock.Millis
	dir := t.TempDir()
	cert, key := writeCertificate(t, dir, "old")
	f := &entry.CertificateFiles{
		Cert: cert, Key: key, Clock: clock.Clock{NowFunc: func() clock.Millis { return now }}, Log: slog.New(slog.DiscardHandler),
	}
	config, err := f.Config()
	must.NoError(t, err)
	seen := func() string {
		now += 1000
		name, err := handshake(t, config, tls.VersionTLS13)
		must.NoError(t, err)
		return name
	}
	must.Eq(t, "old", seen())
	_, err = handshake(t, config, tls.VersionTLS12)
	must.Error(t, err)

	writeCertificate(t, dir, "new")
	replaced, err := os.ReadFile(key)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(key, []byte("half"), 0o600))
	must.Eq(t, "old", seen())
	must.NoError(t, os.WriteFile(key, replaced, 0o600))
	must.Eq(t, "new", seen())

	_, err = (&entry.CertificateFiles{Cert: "no-such-file", Key: key, Log: f.Log}).Config()
	must.Error(t, err)
}
