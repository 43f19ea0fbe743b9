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

// hostedSettings are the settings of a process on the users' platform that come from flags and the
// environment. The settings that the platform chooses are in the file that it writes.
type hostedSettings struct {
	SettingsFile string `long:"settings-file" env:"CITRONKNOT_NODE_FILE" required:"true" description:"settings file that the platform writes from deploy/settings.json"`
	LogLevel     string `long:"log-level" env:"CITRONKNOT_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"minimum level of log records"`

	OperatorCredential string `long:"operator-credential" env:"CITRONKNOT_OPERATOR_CREDENTIAL" default-mask:"-" description:"bearer credential of operators, 8 or more characters; without one, calls of operators are refused"`
}

// minCredentialLength is the minimum length of a credential in bytes, as in package entry.
const minCredentialLength = 8

// runHosted runs the process on the users' platform and returns the exit code: 0 after a planned
// stop, 1 if the start failed, 2 on invalid settings.
func runHosted(args []string) int {
	var processSettings hostedSettings
	if _, err := flags.ParseArgs(&processSettings, args); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	settings, err := platform.ReadSettings(processSettings.SettingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if processSettings.OperatorCredential != "" && len(processSettings.OperatorCredential) < minCredentialLength {
		fmt.Fprintln(os.Stderr, "citronknotd: setting operator-credential is not accepted; accepted: 8 or more characters")
		return 2
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(processSettings.LogLevel)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	logWriter := hosted.NewLogWriter(os.Stdout)
	defer closeLog(logWriter)
	log := hosted.NewLogger(logWriter, level)
	process := hosted.New(hosted.Config{Settings: settings, Log: log, Dropped: logWriter.Dropped, Credential: processSettings.OperatorCredential})
	if err := process.Start(); err != nil {
		log.Error("hosted: start failed", "err", err)
		return 1
	}
	waitHosted(process, processSettings.SettingsFile, settings, log)
	return 0
}

// closeLog writes the buffered log records and closes the log.
func closeLog(logWriter *hosted.LogWriter) {
	if err := logWriter.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// waitHosted serves until SIGTERM or SIGINT, which stop the process. SIGUSR1 writes a dump of the
// state to standard error. The settings are reloaded on SIGHUP and when the file has changed.
func waitHosted(process *hosted.Process, file string, settings *platform.Settings, log *slog.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	ticker := time.NewTicker(settingsReadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			settings = reload(process, file, settings, "file", log)
		case sig := <-signals:
			switch sig {
			case syscall.SIGUSR1:
				if err := json.NewEncoder(os.Stderr).Encode(process.Dump()); err != nil {
					log.Warn("hosted: state dump not written", "err", err)
				}
			case syscall.SIGHUP:
				settings = reload(process, file, settings, "signal", log)
			default:
				process.Shutdown()
				return
			}
		}
	}
}

// settingsReadInterval is the time between two reads of the settings file, which may change
// without a signal.
const settingsReadInterval = 5 * time.Second

// reload reads the settings file, applies its settings and returns the settings in force. If the
// file is invalid, the old settings stay in force. Changed addresses take effect at the next start.
func reload(process *hosted.Process, file string, old *platform.Settings, cause string, log *slog.Logger) *platform.Settings {
	next, err := platform.ReadSettings(file)
	if err != nil {
		log.Error("hosted: settings not reloaded; the old settings stay in force", "cause", cause, "err", err)
		return old
	}
	changed := *next != *old
	if !changed && cause == "file" {
		return old
	}
	process.Reload(next)
	log.Info("hosted: settings reloaded", "cause", cause, "changed", changed)
	return next
}
