package entry

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"citronknot/fleet"
)

// SettingError reports a setting that is missing or whose value is not accepted. The value of a
// credential is masked.
type SettingError struct {
	Setting  string // name of the flag, without the dashes
	Value    string
	Accepted string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("entry: --%s %q is not accepted; accepted: %s", e.Setting, e.Value, e.Accepted)
}

const (
	masked              = "(masked)"
	minCredentialLength = 8
)

// ReadCredentials replaces each credential for which a file is set by the content of the file.
// It returns a *SettingError if a file can't be read.
func (s *Settings) ReadCredentials() error {
	for _, c := range []struct {
		name string
		file flags.Filename
		dest *string
	}{
		{"operator-credential", s.OperatorCredentialFile, &s.OperatorCredential},
		{"peer-credential", s.PeerCredentialFile, &s.PeerCredential},
	} {
		if c.file == "" {
			continue
		}
		text, err := os.ReadFile(string(c.file))
		if err != nil {
			return &SettingError{Setting: c.name + "-file", Value: string(c.file), Accepted: "a file that can be read: " + err.Error()}
		}
		*c.dest = strings.TrimSpace(string(text))
	}
	return nil
}

// Check returns a *SettingError for the first setting that is not accepted, or nil. It reads
// the certificate files.
func (s *Settings) Check() error {
	for _, check := range []func() error{
		s.checkIDs, s.checkListeners, s.checkPeerAddress, s.checkPlatform, s.checkCredentials, s.checkCertificates, s.checkBounds, s.checkLog,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkIDs() error {
	for _, id := range []struct{ name, value string }{{"member", s.Member}, {"zone", s.Zone}, {"region", s.Region}} {
		if !fleet.ValidID(id.value) {
			return &SettingError{Setting: id.name, Value: id.value, Accepted: fleet.AcceptedID}
		}
	}
	return nil
}

// checkListeners checks the addresses of the listeners. It accepts port 0, with which the
// system chooses a port.
func (s *Settings) checkListeners() error {
	used := map[netip.AddrPort]string{}
	for _, l := range []struct{ name, value string }{
		{"caller-listen", s.CallerAddr}, {"operator-listen", s.OperatorAddr}, {"peer-listen", s.PeerAddr},
	} {
		addr, err := netip.ParseAddrPort(l.value)
		if err != nil {
			return &SettingError{Setting: l.name, Value: l.value, Accepted: "an IP number and a port, such as 127.0.0.1:8080"}
		}
		if other, taken := used[addr]; taken && addr.Port() != 0 {
			return &SettingError{Setting: l.name, Value: l.value, Accepted: "an address other than that of --" + other}
		}
		used[addr] = l.name
	}
	return nil
}

// checkPeerAddress checks the address for other members, which has to be set if the listener
// has none that they can use.
func (s *Settings) checkPeerAddress() error {
	const accepted = "an IP number that other members can use, and a port from 1 to 65535"
	if s.PeerAdvertiseAddr == "" {
		if netip.MustParseAddrPort(s.PeerAddr).Addr().IsUnspecified() {
			return &SettingError{Setting: "peer-address", Accepted: accepted + "; required, because --peer-listen names every address"}
		}
		return nil
	}
	addr, err := netip.ParseAddrPort(s.PeerAdvertiseAddr)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		return &SettingError{Setting: "peer-address", Value: s.PeerAdvertiseAddr, Accepted: accepted}
	}
	return nil
}

// checkPlatform checks the URL of the platform. It masks one that has a user or a password.
func (s *Settings) checkPlatform() error {
	u, err := url.Parse(s.Platform)
	switch {
	case err == nil && u.User != nil:
		return &SettingError{Setting: "platform", Value: masked, Accepted: "an http or https URL without user and password"}
	case err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "":
		return &SettingError{Setting: "platform", Value: s.Platform, Accepted: "an http or https URL, such as http://127.0.0.1:7000"}
	}
	return nil
}

func (s *Settings) checkCredentials() error {
	for _, c := range []struct{ name, value string }{
		{"operator-credential", s.OperatorCredential}, {"peer-credential", s.PeerCredential},
	} {
		if c.value == "" {
			return &SettingError{Setting: c.name, Accepted: fmt.Sprintf("%d or more characters; required, or --%s-file", minCredentialLength, c.name)}
		}
		// The credential is sent in a header, which carries only these characters unchanged.
		visible := !strings.ContainsFunc(c.value, func(r rune) bool { return r <= ' ' || r > '~' })
		if len(c.value) < minCredentialLength || !visible {
			return &SettingError{Setting: c.name, Value: masked, Accepted: fmt.Sprintf("%d or more visible ASCII characters", minCredentialLength)}
		}
	}
	return nil
}

func (s *Settings) checkCertificates() error {
	for _, c := range []struct {
		name      string
		cert, key flags.Filename
	}{
		{"caller", s.CallerCert, s.CallerKey},
		{"operator", s.OperatorCert, s.OperatorKey},
		{"peer", s.PeerCert, s.PeerKey},
	} {
		cert, key := c.name+"-tls-cert", c.name+"-tls-key"
		switch {
		case c.cert == "" && c.key == "":
			continue
		case c.cert == "":
			return &SettingError{Setting: cert, Accepted: "a certificate file, because --" + key + " is set"}
		case c.key == "":
			return &SettingError{Setting: key, Accepted: "a key file, because --" + cert + " is set"}
		}
		if _, err := tls.LoadX509KeyPair(string(c.cert), string(c.key)); err != nil {
			return &SettingError{Setting: cert, Value: string(c.cert), Accepted: "a PEM certificate that fits --" + key + ": " + err.Error()}
		}
	}
	return nil
}

func (s *Settings) checkBounds() error {
	for _, d := range []struct {
		name       string
		value, max time.Duration
	}{
		{"max-staleness", s.MaxStaleness, time.Hour},
		{"shutdown-delay", s.ShutdownDelay, time.Minute},
		{"shutdown-bound", s.ShutdownTimeout, time.Hour},
	} {
		if d.value < 0 || d.value > d.max {
			return &SettingError{Setting: d.name, Value: d.value.String(), Accepted: "0s to " + d.max.String()}
		}
	}
	if _, ok := weights[s.Weights]; !ok {
		return &SettingError{Setting: "weights", Value: s.Weights, Accepted: "none, association or agency"}
	}
	return nil
}

func (s *Settings) checkLog() error {
	if s.LogFormat != "text" && s.LogFormat != "json" {
		return &SettingError{Setting: "log-format", Value: s.LogFormat, Accepted: "text or json"}
	}
	if _, ok := levels[s.LogLevel]; !ok {
		return &SettingError{Setting: "log-level", Value: s.LogLevel, Accepted: "debug, info, warn or error"}
	}
	return nil
}
