// Command platformd serves an in-memory replacement for the platform over HTTP, for the
// demonstration, measurements and tests with real processes.
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
		Listen string `long:"listen" env:"PLATFORMD_LISTEN" default:"127.0.0.1:7000" description:"address to listen on"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	p := &standin.Platform{}
	server := &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second}
	listener, err := net.Listen("tcp", opts.Listen)
	if err == nil {
		err = server.Serve(p.Listener(listener))
	}
	if err != nil {
		slog.Error("platformd: server failed", "err", err)
		os.Exit(1)
	}
}
