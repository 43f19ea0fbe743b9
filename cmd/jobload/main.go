// Command jobload drives members on loopback with jobs: it starts stand-ins of the platform's
// store and workers and some members in one process, hands jobs in at a steady rate, and prints
// what became of them and how long they took.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/pprof"
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the settings of one run.
type options struct {
	Members  int            `long:"members" env:"CITRONKNOT_JOBLOAD_MEMBERS" default:"3" description:"members, 1 to 50"`
	Workers  int            `long:"workers" env:"CITRONKNOT_JOBLOAD_WORKERS" default:"8" description:"workers, 1 to 200"`
	Rate     float64        `long:"rate" env:"CITRONKNOT_JOBLOAD_RATE" default:"20" description:"jobs a second, up to 1000"`
	Duration time.Duration  `long:"duration" env:"CITRONKNOT_JOBLOAD_DURATION" default:"10s" description:"time of handing in, up to 10m"`
	Tasks    int            `long:"tasks" env:"CITRONKNOT_JOBLOAD_TASKS" default:"6" description:"tasks of a job, 1 to 100"`
	Work     time.Duration  `long:"work" env:"CITRONKNOT_JOBLOAD_WORK" default:"300ms" description:"run time of a task, up to 1m"`
	Port     uint16         `long:"port" env:"CITRONKNOT_JOBLOAD_PORT" default:"24000" description:"first of the members' ports, 1024 to 60000"`
	Profile  flags.Filename `long:"cpu-profile" description:"file for a processor profile of the whole run"`
	KillAt   time.Duration  `long:"kill-at" env:"CITRONKNOT_JOBLOAD_KILL_AT" default:"0s" description:"time after which the pool's owner is cut off; 0 for never"`
}

// check reports the first option that is not accepted.
func (o *options) check() error {
	for _, c := range []struct {
		ok             bool
		name, accepted string
	}{
		{o.Members >= 1 && o.Members <= 50, "members", "1 to 50"},
		{o.Workers >= 1 && o.Workers <= 200, "workers", "1 to 200"},
		{o.Rate > 0 && o.Rate <= 1000, "rate", "more than 0, up to 1000"},
		{o.Duration > 0 && o.Duration <= 10*time.Minute, "duration", "more than 0s, up to 10m"},
		{o.Tasks >= 1 && o.Tasks <= 100, "tasks", "1 to 100"},
		{o.Work >= 0 && o.Work <= time.Minute, "work", "0s to 1m"},
		{o.Port >= 1024 && o.Port <= 60000, "port", "1024 to 60000"},
		{o.KillAt >= 0 && o.KillAt <= o.Duration, "kill-at", "0s to the duration"},
	} {
		if !c.ok {
			return fmt.Errorf("jobload: --%s is not accepted; accepted: %s", c.name, c.accepted)
		}
	}
	return nil
}

func main() { os.Exit(run()) }

// run returns the exit code: 0 if all accepted jobs were completed and none ran twice, 1 if not,
// 2 on invalid options.
func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	if err := o.check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if o.Profile != "" {
		f, err := os.Create(string(o.Profile))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = f.Close() }()
		if err := pprof.StartCPUProfile(f); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer pprof.StopCPUProfile()
	}
	d, err := start(&o, slog.New(slog.DiscardHandler))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer d.close()
	ctx, cancel := context.WithTimeout(context.Background(), o.Duration+time.Minute)
	defer cancel()
	r := d.drive(ctx)
	if err := r.print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if r.lost > 0 || len(r.doubled) > 0 {
		return 1
	}
	return 0
}
