// Command targetd serves a simulated target over HTTP, for the demonstration, measurements and
// tests with real processes.
package main

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"citronknot/standin"
)

func main() {
	var opts struct {
		Listen string        `long:"listen" env:"TARGETD_LISTEN" default:"127.0.0.1:7100" description:"address to listen on"`
		Slots  int           `long:"slots" env:"TARGETD_SLOTS" default:"8" description:"maximum number of requests that run at once"`
		Conns  int           `long:"connections" env:"TARGETD_CONNECTIONS" default:"64" description:"maximum number of open connections"`
		Work   time.Duration `long:"work" env:"TARGETD_WORK" default:"5ms" description:"duration of a run"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	target := &standin.Target{Slots: opts.Slots, Connections: opts.Conns, RunDuration: opts.Work}
	server := &http.Server{Handler: target, ConnContext: standin.ConnContext, ReadHeaderTimeout: 5 * time.Second}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		slog.Error("targetd: listen failed", "err", err)
		os.Exit(1)
	}
	if err := server.Serve(target.Listener(listener)); err != nil {
		slog.Error("targetd: serve failed", "err", err)
		os.Exit(1)
	}
}
