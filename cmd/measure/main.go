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
	Seed        uint64         `long:"seed" default:"1" description:"first seed of the generated load"`
	Only        []string       `long:"only" choice:"loopback" choice:"decision" choice:"policy" description:"measurement to run; repeat for several; default: all"`
	Repetitions int            `long:"repetitions" default:"15" description:"number of repetitions of the loopback and decision measurements"`
	Profile     flags.Filename `long:"cpu-profile" description:"file for a CPU profile of the whole run"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	if opts.Profile != "" {
		f, err := os.Create(string(opts.Profile))
		if err != nil {
			return eris.Wrap(err, "measure: profile")
		}
		defer func() { _ = f.Close() }()
		if err := pprof.StartCPUProfile(f); err != nil {
			return eris.Wrap(err, "measure: profile")
		}
		defer pprof.StopCPUProfile()
	}
	for _, measurement := range []struct {
		name string
		run  func(options) error
	}{{"loopback", measureLoopback}, {"decision", measureDecision}, {"policy", measurePolicies}} {
		if len(opts.Only) > 0 && !slices.Contains(opts.Only, measurement.name) {
			continue
		}
		if err := measurement.run(opts); err != nil {
			return err
		}
	}
	return nil
}

// measureLoopback prints the latency and CPU time of an entry process relative to a forwarder.
func measureLoopback(opts options) error {
	measurement := experiment.Loopback{Repetitions: opts.Repetitions, Requests: 4000, Callers: 8, BodyBytes: 100}
	result, err := measurement.Run(context.Background())
	if err != nil {
		return err
	}
	fmt.Printf("Loopback: entry process over minimal forwarder, %d repetitions of %d requests, %d callers, %d bytes.\n\n",
		measurement.Repetitions, measurement.Requests, measurement.Callers, measurement.BodyBytes)
	fmt.Printf("| ratio | median (least to most) | goal |\n|---|---|---|\n")
	fmt.Printf("| latency p50 | %v | 1.5 |\n| latency p99 | %v | 1.5 |\n", result.P50, result.P99)
	fmt.Printf("| processor time | %v | 1.6 |\n| processor time with callers and targets | %v | |\n\n", result.CPU, result.TotalCPU)
	return nil
}

// measureDecision prints the time and the allocations of admission and target selection.
func measureDecision(opts options) error {
	measurement := experiment.Decision{Seed: opts.Seed, Repetitions: opts.Repetitions, Requests: 100_000, Teams: 150, Pools: 82, Workers: 910, Members: 150}
	result, err := measurement.Run(context.Background())
	if err != nil {
		return err
	}
	fmt.Printf("Decision: admission and target selection, %d teams, %d pools, %d workers, seed %d, %d repetitions of %d requests.\n\n",
		measurement.Teams, measurement.Pools, measurement.Workers, measurement.Seed, measurement.Repetitions, measurement.Requests)
	fmt.Printf("| | ns a request | allocations a request |\n|---|---|---|\n")
	fmt.Printf("| citronknot | %v | %v |\n| first come, random target | %v | %v |\n| goal | 3000 | 2 |\n", result.NanosPerRequest, result.AllocationsPerRequest, result.FirstComeNanos, result.FirstComeAllocations)
	fmt.Printf("\nRatio of the times: %v.\n\n", result.TimeRatio)
	return nil
}

// measurePolicies prints a comparison of the policies for each scenario, without and with an outage.
func measurePolicies(opts options) error {
	const seeds = 5
	fmt.Printf("Policy under load in virtual time, seeds %d to %d; median (least to most) over the seeds.\n\n", opts.Seed, opts.Seed+seeds-1)
	for _, build := range []func(uint64) experiment.Scenario{experiment.Association, experiment.Agency} {
		for _, outage := range []bool{false, true} {
			scenarioFor := func(seed uint64) experiment.Scenario {
				if s := build(seed); !outage {
					return s
				}
				return build(seed).WithOutage()
			}
			printComparison(scenarioFor, opts.Seed, seeds)
		}
	}
	return nil
}

// printComparison runs one scenario under all policies with several seeds and prints the figures.
func printComparison(scenarioFor func(seed uint64) experiment.Scenario, seed uint64, seeds int) {
	scenario := scenarioFor(seed)
	fmt.Printf("%s: %d teams, %d pools of %d workers with %d slots, %d members, peaks of %d ms, %d s.\n\n",
		scenario.Name, len(scenario.Shares), scenario.Pools, scenario.WorkersPerPool, scenario.SlotsPerWorker, scenario.Members, scenario.PeakDuration, scenario.ArrivalDuration/1000)
	results := map[experiment.Policy][]experiment.Result{}
	fmt.Print("| |")
	for _, policy := range experiment.Policies {
		fmt.Printf(" %s |", policy)
		results[policy] = make([]experiment.Result, seeds)
		var wg sync.WaitGroup
		for k := range seeds {
			wg.Go(func() { results[policy][k] = scenarioFor(seed + uint64(k)).Run(policy) })
		}
		wg.Wait()
	}
	fmt.Print("\n|---|" + strings.Repeat("---|", len(experiment.Policies)) + "\n")
	for _, row := range resultRows {
		fmt.Printf("| %s |", row.name)
		for _, policy := range experiment.Policies {
			var spread experiment.Spread
			for _, r := range results[policy] {
				spread = append(spread, row.value(r))
			}
			fmt.Printf(" %v |", spread)
		}
		fmt.Println()
	}
	fmt.Println()
}

// resultRows are the rows of a comparison, each with its figure of a result.
var resultRows = []struct {
	name  string
	value func(experiment.Result) float64
}{
	{"requests offered", func(r experiment.Result) float64 { return float64(r.Offered) }},
	{"finished in time, %", func(r experiment.Result) float64 { return 100 * r.Goodput() }},
	{"cut off at the deadline", func(r experiment.Result) float64 { return float64(r.CutOff) }},
	{"lost with workers", func(r experiment.Result) float64 { return float64(r.Lost) }},
	{"refused", func(r experiment.Result) float64 { return float64(r.Refused) }},
	{"refused falsely", func(r experiment.Result) float64 { return float64(r.FalseRefusals) }},
	{"refused after a slot was granted", func(r experiment.Result) float64 { return float64(r.Unplaced) }},
	{"refusals by guards", func(r experiment.Result) float64 { return float64(r.GuardRefusals) }},
	{"slots in use while full, %", func(r experiment.Result) float64 { return 100 * r.MeanUsedFraction() }},
	{"slots granted to members while full, %", func(r experiment.Result) float64 { return 100 * r.MeanGrantedFraction() }},
	{"share error, largest, %", func(r experiment.Result) float64 { return 100 * r.LargestShareError() }},
	{"share error, mean, %", func(r experiment.Result) float64 { return 100 * r.MeanShareError() }},
	{"share errors counted", func(r experiment.Result) float64 { return float64(len(r.ShareErrors)) }},
	{"urgent start delay p50, ms", func(r experiment.Result) float64 { return r.UrgentDelay(50) }},
	{"urgent start delay p99, ms", func(r experiment.Result) float64 { return r.UrgentDelay(99) }},
	{"urgent start delay max, ms", func(r experiment.Result) float64 { return r.UrgentDelay(100) }},
	{"urgent not started", func(r experiment.Result) float64 { return float64(r.UrgentNotStarted) }},
}
