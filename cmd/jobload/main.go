// Command jobload tests members under a load of jobs on the loopback interface. It starts stand-ins
// of the platform's store and workers and some members in one process, submits jobs at a constant
// rate, and prints their outcomes and how long they took.
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
	Members   int            `long:"members" env:"CITRONKNOT_JOBLOAD_MEMBERS" default:"3" description:"number of members, 1 to 50"`
	Workers   int            `long:"workers" env:"CITRONKNOT_JOBLOAD_WORKERS" default:"8" description:"number of workers, 1 to 200"`
	Rate      float64        `long:"rate" env:"CITRONKNOT_JOBLOAD_RATE" default:"20" description:"jobs a second, up to 1000"`
	Duration  time.Duration  `long:"duration" env:"CITRONKNOT_JOBLOAD_DURATION" default:"10s" description:"time during which jobs are submitted, up to 10m"`
	Tasks     int            `long:"tasks" env:"CITRONKNOT_JOBLOAD_TASKS" default:"6" description:"number of tasks of each job, 1 to 100"`
	TaskTime  time.Duration  `long:"work" env:"CITRONKNOT_JOBLOAD_WORK" default:"300ms" description:"run time of each task, up to 1m"`
	FirstPort uint16         `long:"port" env:"CITRONKNOT_JOBLOAD_PORT" default:"24000" description:"first port of the members, which use 4 ports each, 1024 to 60000"`
	Profile   flags.Filename `long:"cpu-profile" description:"file for a CPU profile of the whole run"`
	Log       flags.Filename `long:"log" description:"file for the logs of the members"`
	GangShare float64        `long:"gang-share" env:"CITRONKNOT_JOBLOAD_GANG_SHARE" default:"0" description:"part of the jobs that are gangs, 0 to 1; some of their runs fail"`
	GangWidth int            `long:"gang-width" env:"CITRONKNOT_JOBLOAD_GANG_WIDTH" default:"4" description:"largest number of tasks of a gang, 2 to 100"`
	Seed      uint64         `long:"seed" env:"CITRONKNOT_JOBLOAD_SEED" default:"1" description:"decides which jobs are gangs and how their runs end"`
	KillAt    time.Duration  `long:"kill-at" env:"CITRONKNOT_JOBLOAD_KILL_AT" default:"0s" description:"time after which the pool's owner is stopped without a handover; 0 for never"`
}

// validate returns an error for the first option that is out of range.
func (o *options) validate() error {
	for _, rule := range []struct {
		valid          bool
		name, accepted string
	}{
		{o.Members >= 1 && o.Members <= 50, "members", "1 to 50"},
		{o.Workers >= 1 && o.Workers <= 200, "workers", "1 to 200"},
		{o.Rate > 0 && o.Rate <= 1000, "rate", "more than 0, up to 1000"},
		{o.Duration > 0 && o.Duration <= 10*time.Minute, "duration", "more than 0s, up to 10m"},
		{o.Tasks >= 1 && o.Tasks <= 100, "tasks", "1 to 100"},
		{o.TaskTime >= 0 && o.TaskTime <= time.Minute, "work", "0s to 1m"},
		{o.FirstPort >= 1024 && o.FirstPort <= 60000, "port", "1024 to 60000"},
		{o.GangShare >= 0 && o.GangShare <= 1, "gang-share", "0 to 1"},
		{o.GangWidth >= 2 && o.GangWidth <= 100, "gang-width", "2 to 100"},
		{o.KillAt >= 0 && o.KillAt <= o.Duration, "kill-at", "0s to the duration"},
	} {
		if !rule.valid {
			return fmt.Errorf("jobload: --%s is not accepted; accepted: %s", rule.name, rule.accepted)
		}
	}
	return nil
}

func main() { os.Exit(run()) }

// run returns the exit code: 0 if all accepted jobs ended as they had to and no task ran twice, 1 if not or
// on failure, 2 on invalid options.
func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	if err := opts.validate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if opts.Profile != "" {
		f, err := os.Create(string(opts.Profile))
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
	log := slog.New(slog.DiscardHandler)
	if opts.Log != "" {
		f, err := os.Create(string(opts.Log))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = f.Close() }()
		log = slog.New(slog.NewTextHandler(f, nil))
	}
	cluster, err := startCluster(&opts, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer cluster.close()
	ctx, cancel := context.WithTimeout(context.Background(), opts.Duration+time.Minute)
	defer cancel()
	result := cluster.submitJobs(ctx)
	if err := result.print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if !result.ok() {
		return 1
	}
	return 0
}
