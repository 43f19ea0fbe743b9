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

// writeCertificate writes a self-signed certificate for the common name name and its key to the
// files a.crt and a.key in dir.
func writeCertificate(t *testing.T, dir, name string) (cert, key string) {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	must.NoError(t, err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(privateKey)
	must.NoError(t, err)
	cert, key = filepath.Join(dir, "a.crt"), filepath.Join(dir, "a.key")
	must.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	must.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}), 0o600))
	return cert, key
}

// handshake returns the common name of the certificate that a client gets whose highest TLS
// version is version.
func handshake(t *testing.T, server *tls.Config, version uint16) (string, error) {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	defer serverConn.Close()
	go func() { _ = tls.Server(serverConn, server).Handshake() }()
	client := tls.Client(clientConn, &tls.Config{InsecureSkipVerify: true, MaxVersion: version})
	must.NoError(t, clientConn.SetDeadline(time.Now().Add(10*time.Second)))
	if err := client.Handshake(); err != nil {
		return "", err
	}
	return client.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// Guards against serving an old certificate after its files have changed, against failing
// handshakes while only one of the two files has been replaced, and against TLS versions below
// 1.3.
func TestCertificateReload(t *testing.T) {
	var now clock.Millis
	dir := t.TempDir()
	cert, key := writeCertificate(t, dir, "old")
	f := &entry.CertificateFiles{
		Cert: cert, Key: key, Clock: clock.Clock{NowFunc: func() clock.Millis { return now }}, Log: slog.New(slog.DiscardHandler),
	}
	config, err := f.Config()
	must.NoError(t, err)
	servedName := func() string {
		now += 1000
		name, err := handshake(t, config, tls.VersionTLS13)
		must.NoError(t, err)
		return name
	}
	must.Eq(t, "old", servedName())
	_, err = handshake(t, config, tls.VersionTLS12)
	must.Error(t, err)

	writeCertificate(t, dir, "new")
	newKey, err := os.ReadFile(key)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(key, []byte("half"), 0o600))
	must.Eq(t, "old", servedName())
	must.NoError(t, os.WriteFile(key, newKey, 0o600))
	must.Eq(t, "new", servedName())

	_, err = (&entry.CertificateFiles{Cert: "no-such-file", Key: key, Log: f.Log}).Config()
	must.Error(t, err)
}
