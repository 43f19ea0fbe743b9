// Command demo drives the demonstration: it sends requests of two teams through all entry
// instances, withdraws a key, stops one entry instance under load, and then compares what the
// callers were told with what the targets ran.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Callers    []string      `long:"caller" required:"true" description:"base URL of a callers' listener; repeat for each entry instance"`
	Operators  []string      `long:"operator" required:"true" description:"base URL of an operators' listener; in the order of the callers' listeners"`
	Targets    []string      `long:"target" required:"true" description:"base URL of a target stand-in; repeat for each"`
	Credential string        `long:"credential" env:"CITRONKNOT_OPERATOR_CREDENTIAL" required:"true" description:"bearer credential of operators"`
	Withdraw   string        `long:"withdraw" required:"true" description:"file of the release note that withdraws a key"`
	StopPID    int           `long:"stop-pid" required:"true" description:"process to stop under load; the last of the entry instances"`
	Load       time.Duration `long:"load" default:"8s" description:"time of load"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	d := &driver{options: o}
	if err := d.run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
