// Command measure runs the measurements of package experiment and prints their tables.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"citronknot/experiment"
)

type options struct {
	Seed        uint64         `long:"seed" default:"1" description:"seed of the generated load"`
	Only        []string       `long:"only" choice:"loopback" choice:"decision" choice:"policy" description:"measurement to run; default: all"`
	Repetitions int            `long:"repetitions" default:"15" description:"repetitions of the loopback and decision measurements"`
	Profile     flags.Filename `long:"cpu-profile" description:"file for a processor profile of the whole run"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.Profile != "" {
		f, err := os.Create(string(o.Profile))
		if err != nil {
			return eris.Wrap(err, "measure: profile")
		}
		defer func() { _ = f.Close() }()
		if err := pprof.StartCPUProfile(f); err != nil {
			return eris.Wrap(err, "measure: profile")
		}
		defer pprof.StopCPUProfile()
	}
	for _, m := range []struct {
		name string
		run  func(options) error
	}{{"loopback", loopback}, {"decision", decision}, {"policy", policy}} {
		if len(o.Only) > 0 && !slices.Contains(o.Only, m.name) {
			continue
		}
		if err := m.run(o); err != nil {
			return err
		}
	}
	return nil
}

func loopback(o options) error {
	l := experiment.Loopback{Repetitions: o.Repetitions, Requests: 4000, Callers: 8, Body: 100}
	r, err := l.Run(context.Background())
	if err != nil {
		return err
	}
	fmt.Printf("Loopback: entry process over minimal forwarder, %d repetitions of %d requests, %d callers, %d bytes.\n\n",
		l.Repetitions, l.Requests, l.Callers, l.Body)
	fmt.Printf("| ratio | median (least to most) | goal |\n|---|---|---|\n")
	fmt.Printf("| latency p50 | %v | 1.5 |\n| latency p99 | %v | 1.5 |\n", r.P50, r.P99)
	fmt.Printf("| processor time | %v | 1.6 |\n| processor time with callers and targets | %v | |\n\n", r.CPU, r.WholeCPU)
	return nil
}

func decision(o options) error {
	d := experiment.Decision{Seed: o.Seed, Repetitions: o.Repetitions, Requests: 100_000, Teams: 150, Pools: 82, Workers: 910, Members: 150}
	r, err := d.Run(context.Background())
	if err != nil {
		return err
	}
	fmt.Printf("Decision: admission and target selection, %d teams, %d pools, %d workers, seed %d, %d repetitions of %d requests.\n\n",
		d.Teams, d.Pools, d.Workers, d.Seed, d.Repetitions, d.Requests)
	fmt.Printf("| | ns a request | allocations a request |\n|---|---|---|\n")
	fmt.Printf("| citronknot | %v | %v |\n| first come, random target | %v | %v |\n| goal | 3000 | 2 |\n", r.Nanos, r.Allocations, r.FirstComeNanos, r.FirstComeAllocations)
	fmt.Printf("\nRatio of the times: %v.\n\n", r.Ratio)
	return nil
}

func policy(o options) error {
	const seeds = 5
	fmt.Printf("Policy under load in virtual time, seeds %d to %d; median (least to most) over the seeds.\n\n", o.Seed, o.Seed+seeds-1)
	for _, build := range []func(uint64) experiment.Scenario{experiment.Association, experiment.Agency} {
		for _, outage := range []bool{false, true} {
			at := func(seed uint64) experiment.Scenario {
				if s := build(seed); !outage {
					return s
				}
				return build(seed).WithOutage()
			}
			compare(at, o.Seed, seeds)
		}
	}
	return nil
}

// compare prints the figures of one scenario for all policies.
func compare(at func(seed uint64) experiment.Scenario, seed uint64, seeds int) {
	s := at(seed)
	fmt.Printf("%s: %d teams, %d pools of %d workers with %d slots, %d members, peaks of %d ms, %d s.\n\n",
		s.Name, len(s.Shares), s.Pools, s.Workers, s.Slots, s.Members, s.Peak, s.Length/1000)
	results := map[experiment.Policy][]experiment.Result{}
	fmt.Print("| |")
	for _, p := range experiment.Policies {
		fmt.Printf(" %s |", p)
		results[p] = make([]experiment.Result, seeds)
		var wait sync.WaitGroup
		for k := range seeds {
			wait.Go(func() { results[p][k] = at(seed + uint64(k)).Run(p) })
		}
		wait.Wait()
	}
	fmt.Print("\n|---|" + strings.Repeat("---|", len(experiment.Policies)) + "\n")
	for _, row := range rows {
		fmt.Printf("| %s |", row.name)
		for _, p := range experiment.Policies {
			var spread experiment.Spread
			for _, r := range results[p] {
				spread = append(spread, row.of(r))
			}
			fmt.Printf(" %v |", spread)
		}
		fmt.Println()
	}
	fmt.Println()
}

var rows = []struct {
	name string
	of   func(experiment.Result) float64
}{
	{"requests offered", func(r experiment.Result) float64 { return float64(r.Offered) }},
	{"finished in time, %", func(r experiment.Result) float64 { return 100 * r.Goodput() }},
	{"cut off at the deadline", func(r experiment.Result) float64 { return float64(r.Late) }},
	{"lost with workers", func(r experiment.Result) float64 { return float64(r.Lost) }},
	{"refused", func(r experiment.Result) float64 { return float64(r.Refused) }},
	{"refused falsely", func(r experiment.Result) float64 { return float64(r.False) }},
	{"refused after a slot was granted", func(r experiment.Result) float64 { return float64(r.Unplaced) }},
	{"refusals by guards", func(r experiment.Result) float64 { return float64(r.Guards) }},
	{"slots in use while full, %", func(r experiment.Result) float64 { return 100 * r.MeanInUse() }},
	{"slots granted to members while full, %", func(r experiment.Result) float64 { return 100 * r.MeanGranted() }},
	{"share error, largest, %", func(r experiment.Result) float64 { return 100 * r.LargestShareError() }},
	{"share error, mean, %", func(r experiment.Result) float64 { return 100 * r.MeanShareError() }},
	{"share errors counted", func(r experiment.Result) float64 { return float64(len(r.ShareErrors)) }},
	{"urgent start delay p50, ms", func(r experiment.Result) float64 { return r.UrgentDelay(50) }},
	{"urgent start delay p99, ms", func(r experiment.Result) float64 { return r.UrgentDelay(99) }},
	{"urgent start delay max, ms", func(r experiment.Result) float64 { return r.UrgentDelay(100) }},
	{"urgent not started", func(r experiment.Result) float64 { return float64(r.UrgentOpen) }},
}
