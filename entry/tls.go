package entry

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"os"
	"sync"

	"github.com/rotisserie/eris"

	"citronknot/clock"
)

// reloadEvery bounds how often the files are looked at, whatever the rate of handshakes.
const reloadEvery clock.Millis = 1000

// CertificateFiles is a certificate and its key in PEM files. It reads them again when they
// change, and keeps the old pair while the new one can't be used.
type CertificateFiles struct {
	Cert  string
	Key   string
	Clock clock.Clock
	Log   *slog.Logger

	mu      sync.Mutex
	current *tls.Certificate
	stamp   string
	looked  clock.Millis
}

// Config returns the configuration of a server with the certificate. It fails if the files
// can't be used now.
func (f *CertificateFiles) Config() (*tls.Config, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.load(); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: f.get}, nil
}

func (f *CertificateFiles) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Clock.Now()-f.looked >= reloadEvery {
		if err := f.load(); err != nil {
			f.Log.Warn("entry: certificate not reloaded, the old one stays in use", "err", err)
		}
	}
	return f.current, nil
}

// load reads the files if they changed since they were last read. A pair that does not fit
// is tried again at the next look, as one file may not have been replaced yet.
func (f *CertificateFiles) load() error {
	f.looked = f.Clock.Now()
	stamp, err := f.stampNow()
	if err != nil || stamp == f.stamp {
		return err
	}
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return eris.Wrap(err, "entry: certificate")
	}
	if f.current != nil {
		f.Log.Info("entry: certificate reloaded", "file", f.Cert)
	}
	f.current, f.stamp = &pair, stamp
	return nil
}

func (f *CertificateFiles) stampNow() (string, error) {
	var stamp string
	for _, name := range []string{f.Cert, f.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return "", eris.Wrap(err, "entry: certificate")
		}
		stamp += fmt.Sprintf("%d %d;", info.ModTime().UnixNano(), info.Size())
	}
	return stamp, nil
}
