package entry

import (
	"fmt"
	"net"
	"net/url"
	"time"
)

// Settings are the settings of a process. go-flags reads them from flags and environment.
type Settings struct {
	Member        string        `long:"member" env:"CITRONKNOT_MEMBER" required:"true" description:"id of this entry instance"`
	Zone          string        `long:"zone" env:"CITRONKNOT_ZONE" required:"true" description:"availability zone of this entry instance"`
	CallerAddr    string        `long:"caller-listen" env:"CITRONKNOT_CALLER_LISTEN" default:"127.0.0.1:8080" description:"address of the callers' listener"`
	OperatorAddr  string        `long:"operator-listen" env:"CITRONKNOT_OPERATOR_LISTEN" default:"127.0.0.1:8081" description:"address of the operators' listener"`
	Platform      string        `long:"platform" env:"CITRONKNOT_PLATFORM" default:"http://127.0.0.1:7000" description:"base URL of the platform"`
	Credential    string        `long:"operator-credential" env:"CITRONKNOT_OPERATOR_CREDENTIAL" required:"true" description:"bearer credential of operators"`
	Members       int           `long:"members" env:"CITRONKNOT_MEMBERS" default:"1" description:"number of entry instances that share slots and limits"`
	Staleness     time.Duration `long:"max-staleness" env:"CITRONKNOT_MAX_STALENESS" default:"3s" description:"age of the configuration up to which keys are accepted"`
	ShutdownDelay time.Duration `long:"shutdown-delay" env:"CITRONKNOT_SHUTDOWN_DELAY" default:"1s" description:"time between failing readiness and closing the listener"`
	ShutdownBound time.Duration `long:"shutdown-bound" env:"CITRONKNOT_SHUTDOWN_BOUND" default:"5m" description:"longest wait for running requests on a planned stop"`
}

// SettingError names a setting whose value is not accepted.
type SettingError struct {
	Setting  string
	Value    string
	Accepted string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("entry: --%s %q is not accepted; accepted: %s", e.Setting, e.Value, e.Accepted)
}

// Check returns a *SettingError for the first setting that is not accepted.
func (s *Settings) Check() error {
	for _, a := range []struct{ name, value string }{
		{"caller-listen", s.CallerAddr},
		{"operator-listen", s.OperatorAddr},
	} {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			return &SettingError{Setting: a.name, Value: a.value, Accepted: "an IP number and a port"}
		}
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return &SettingError{Setting: "platform", Value: s.Platform, Accepted: "an http or https URL"}
	}
	if s.Member == "" || s.Zone == "" {
		return &SettingError{Setting: "member and --zone", Accepted: "non-empty ids"}
	}
	if len(s.Credential) < 8 {
		return &SettingError{Setting: "operator-credential", Value: "(masked)", Accepted: "8 or more characters"}
	}
	if s.Members < 1 || s.Members > 1000 {
		return &SettingError{Setting: "members", Value: fmt.Sprint(s.Members), Accepted: "1 to 1000"}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
		max   time.Duration
	}{
		{"max-staleness", s.Staleness, time.Hour},
		{"shutdown-delay", s.ShutdownDelay, time.Minute},
		{"shutdown-bound", s.ShutdownBound, time.Hour},
	} {
		if d.value < 0 || d.value > d.max {
			return &SettingError{Setting: d.name, Value: d.value.String(), Accepted: "0s to " + d.max.String()}
		}
	}
	return nil
}
