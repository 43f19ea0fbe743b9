// Command citronknotd is the server process of the system, which runs on each entry instance (see
// package entry). With the argument "hosted" it runs as a member on the users' platform (see package
// hosted).
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"citronknot/entry"
)

func main() {
	os.Exit(run())
}

// run returns the exit code: 0 after a planned stop, 1 on failure, 2 on invalid settings.
func run() int {
	if len(os.Args) > 1 && os.Args[1] == "hosted" {
		return runHosted(os.Args[2:])
	}
	var settings entry.Settings
	if _, err := flags.Parse(&settings); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	log := settings.Logger(os.Stderr)
	process, err := entry.New(settings, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if err := process.Start(); err != nil {
		log.Error("entry: start failed", "err", err)
		return 1
	}
	return wait(process, settings, log)
}

// wait serves until SIGTERM or SIGINT, stops the process and returns the exit code. SIGUSR1 writes
// a dump of the state to standard error.
func wait(process *entry.Process, settings entry.Settings, log *slog.Logger) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for sig := range signals {
		if sig == syscall.SIGUSR1 {
			_ = json.NewEncoder(os.Stderr).Encode(process.Dump())
			continue
		}
		break
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.ShutdownDelay+settings.ShutdownTimeout)
	defer cancel()
	if err := process.Shutdown(ctx); err != nil {
		log.Error("entry: shutdown cut off running requests", "err", err)
		return 1
	}
	return 0
}
