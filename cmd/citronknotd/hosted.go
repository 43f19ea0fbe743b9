package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"citronknot/hosted"
	"citronknot/platform"
)

// hostedSettings are the own settings of a process on the users' platform. What the platform
// decides is in the file that it writes.
type hostedSettings struct {
	File     string `long:"settings-file" env:"CITRONKNOT_NODE_FILE" required:"true" description:"file that the platform writes from deploy/settings.json"`
	LogLevel string `long:"log-level" env:"CITRONKNOT_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of the log"`

	Credential string `long:"operator-credential" env:"CITRONKNOT_OPERATOR_CREDENTIAL" default-mask:"-" description:"bearer credential of operators, 8 or more characters; without it their calls are refused"`
}

// minCredential is the least length of a credential, as for the product's own deployment.
const minCredential = 8

// runHosted runs the process on the users' platform and returns the exit code.
func runHosted(args []string) int {
	var s hostedSettings
	if _, err := flags.ParseArgs(&s, args); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	settings, err := platform.ReadSettings(s.File)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if s.Credential != "" && len(s.Credential) < minCredential {
		fmt.Fprintln(os.Stderr, "citronknotd: setting operator-credential is not accepted; accepted: 8 or more characters")
		return 2
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	out := hosted.NewLogWriter(os.Stdout)
	defer closeLog(out)
	log := hosted.NewLogger(out, level)
	p := hosted.New(hosted.Config{Settings: settings, Log: log, Dropped: out.Dropped, Credential: s.Credential})
	if err := p.Start(); err != nil {
		log.Error("hosted: start failed", "err", err)
		return 1
	}
	waitHosted(p, s.File, settings, log)
	return 0
}

// closeLog writes what waits of the log.
func closeLog(out *hosted.LogWriter) {
	if err := out.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// waitHosted dumps the state on SIGUSR1, reads the settings again on SIGHUP and when the file
// has changed, and stops on SIGTERM or SIGINT.
func waitHosted(p *hosted.Process, file string, settings *platform.Settings, log *slog.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			settings = reload(p, file, settings, "file", log)
		case sig := <-signals:
			switch sig {
			case syscall.SIGUSR1:
				if err := json.NewEncoder(os.Stderr).Encode(p.Dump()); err != nil {
					log.Warn("hosted: dump not written", "err", err)
				}
			case syscall.SIGHUP:
				settings = reload(p, file, settings, "signal", log)
			default:
				p.Shutdown()
				return
			}
		}
	}
}

// settingsEvery is the time between looks at the settings file, which may change without a
// signal.
const settingsEvery = 5 * time.Second

// reload reads the settings again and returns those in force. Addresses take effect at the
// next start.
func reload(p *hosted.Process, file string, old *platform.Settings, cause string, log *slog.Logger) *platform.Settings {
	next, err := platform.ReadSettings(file)
	if err != nil {
		log.Error("hosted: settings not reloaded; the former ones stay in force", "cause", cause, "err", err)
		return old
	}
	if *next == *old && cause == "file" {
		return old
	}
	p.Reload(next)
	log.Info("hosted: settings reloaded", "cause", cause, "changed", *next != *old)
	return next
}
