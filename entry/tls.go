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

// reloadCheckInterval is the minimum time between two checks of the files, whatever the rate of
// handshakes.
const reloadCheckInterval clock.Millis = 1000

// CertificateFiles is a certificate and its key in PEM files. It loads them again when they
// change, and keeps the old pair while the new one can't be used.
type CertificateFiles struct {
	Cert  string
	Key   string
	Clock clock.Clock
	Log   *slog.Logger

	mu          sync.Mutex
	certificate *tls.Certificate
	filesStamp  string
	checkedAt   clock.Millis
}

// Config returns a server configuration that uses the certificate. It returns an error if the
// files can't be loaded.
func (f *CertificateFiles) Config() (*tls.Config, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.load(); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: f.get}, nil
}

// get returns the current certificate, after a check of the files if one is due.
func (f *CertificateFiles) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Clock.Now()-f.checkedAt >= reloadCheckInterval {
		if err := f.load(); err != nil {
			f.Log.Warn("entry: certificate not reloaded; the old one stays in use", "err", err)
		}
	}
	return f.certificate, nil
}

// load loads the files if they have changed since they were last loaded. If the certificate and
// the key don't match, the next check tries again, because one of the files may not have been
// replaced yet.
func (f *CertificateFiles) load() error {
	f.checkedAt = f.Clock.Now()
	stamp, err := f.currentStamp()
	if err != nil || stamp == f.filesStamp {
		return err
	}
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return eris.Wrap(err, "entry: certificate")
	}
	if f.certificate != nil {
		f.Log.Info("entry: certificate reloaded", "file", f.Cert)
	}
	f.certificate, f.filesStamp = &pair, stamp
	return nil
}

// currentStamp returns the modification times and sizes of the files as a string.
func (f *CertificateFiles) currentStamp() (string, error) {
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
