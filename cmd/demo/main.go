// Command demo drives the demonstration: it sends requests of two teams through all entry
// instances, withdraws a key, stops one entry instance under load, and then compares what the
// callers received with what the targets ran.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Callers        []string      `long:"caller" required:"true" description:"base URL of a callers' listener; repeat for each entry instance"`
	Operators      []string      `long:"operator" required:"true" description:"base URL of an operators' listener; repeat for each entry instance, in the order of the callers' listeners"`
	Targets        []string      `long:"target" required:"true" description:"base URL of a target stand-in; repeat for each"`
	Credential     string        `long:"credential" env:"CITRONKNOT_OPERATOR_CREDENTIAL" required:"true" description:"bearer credential of operators"`
	WithdrawalNote string        `long:"withdraw" required:"true" description:"file of the release note that withdraws a key"`
	StopPID        int           `long:"stop-pid" required:"true" description:"process ID of the entry instance to stop under load, which must be the last one given"`
	LoadTime       time.Duration `long:"load" default:"8s" description:"duration of the load"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	d := &driver{options: opts}
	if err := d.run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
