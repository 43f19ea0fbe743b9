// Command citronknotd is the one process of the system. It runs on each entry instance.
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
	var s entry.Settings
	if _, err := flags.Parse(&s); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	log := s.Logger(os.Stderr)
	p, err := entry.New(s, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if err := p.Start(); err != nil {
		log.Error("entry: start failed", "err", err)
		return 1
	}
	return wait(p, s, log)
}

// wait dumps the state on SIGUSR1 and stops on SIGTERM or SIGINT.
func wait(p *entry.Process, s entry.Settings, log *slog.Logger) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for sig := range signals {
		if sig == syscall.SIGUSR1 {
			_ = json.NewEncoder(os.Stderr).Encode(p.Dump())
			continue
		}
		break
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.ShutdownDelay+s.ShutdownBound)
	defer cancel()
	if err := p.Shutdown(ctx); err != nil {
		log.Error("entry: stop cut requests", "err", err)
		return 1
	}
	return 0
}
