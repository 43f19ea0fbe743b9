// Command bound reads the log of members from standard input and prints, for each headroom, the
// least machine time that covers the needs of the pools if all needs are known in advance, and
// beside it the machine time of the capacity that the pools really had. The log must have the
// level debug, at which members record the needs ("hosted: pool seen"). The members log at this level
// on the test bench of the users.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/experiment"
)

type options struct {
	MachineCapacity int64   `long:"machine" env:"CITRONKNOT_BOUND_MACHINE" default:"64000" description:"capacity of a machine, in thousandths of cores"`
	MoveCost        float64 `long:"move-cost" env:"CITRONKNOT_BOUND_MOVE_COST" default:"1.1" description:"cost of a move, in machine-seconds"`
}

// sampleInterval is the least time between two samples of a pool.
const sampleInterval clock.Millis = 250

// series holds the samples of one pool, one entry for each sample, in thousandths of cores.
type series struct{ needs, capacities []int64 }

// poolRecord is a log record of a member about the state of one pool.
type poolRecord struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Pool     string    `json:"pool"`
	Need     int64     `json:"need"`
	Capacity int64     `json:"capacity"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if opts.MachineCapacity <= 0 || opts.MoveCost < 0 {
		fmt.Fprintln(os.Stderr, "bound: --machine and --move-cost are not accepted; accepted: more than 0, and 0 or more")
		os.Exit(2)
	}
	pools, err := readSamples(os.Stdin)
	if err == nil {
		err = printReport(os.Stdout, opts, pools)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// readSamples collects the samples of each pool from a log. It skips lines that hold no sample,
// and in each line the text before the JSON object.
func readSamples(r io.Reader) (map[string]*series, error) {
	pools := map[string]*series{}
	lastSample := map[string]time.Time{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		start := strings.IndexByte(lines.Text(), '{')
		var record poolRecord
		if start < 0 || json.Unmarshal(lines.Bytes()[start:], &record) != nil || record.Message != "hosted: pool seen" {
			continue
		}
		if record.Time.Sub(lastSample[record.Pool]) < sampleInterval.Duration() {
			continue
		}
		lastSample[record.Pool] = record.Time
		if pools[record.Pool] == nil {
			pools[record.Pool] = &series{}
		}
		samples := pools[record.Pool]
		samples.needs, samples.capacities = append(samples.needs, record.Need), append(samples.capacities, record.Capacity)
	}
	return pools, eris.Wrap(lines.Err(), "bound: read log")
}

// printReport prints one row for each headroom, one for the capacities that the pools had, and
// one for a constant capacity at the maximum of each pool.
func printReport(out io.Writer, opts options, pools map[string]*series) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, writeErr := fmt.Fprintln(table, "headroom %\tmachine-seconds\tmoves\tcost")
	bound := experiment.Bound{MachineCapacity: opts.MachineCapacity, SampleInterval: sampleInterval, MoveCost: opts.MoveCost}
	printRow := func(name string, compute func(*series) experiment.Plan) {
		var total experiment.Plan
		for _, s := range pools {
			r := compute(s)
			total.MachineSeconds += r.MachineSeconds
			total.Moves += r.Moves
		}
		_, err := fmt.Fprintf(table, "%s\t%.0f\t%d\t%.0f\n", name, total.MachineSeconds, total.Moves, total.Cost(bound))
		writeErr = errors.Join(writeErr, err)
	}
	for _, headroom := range []int64{0, 10, 30, 50, 100} {
		bound.Headroom = headroom
		printRow(fmt.Sprint(headroom), func(s *series) experiment.Plan { return bound.CheapestPlan(s.needs) })
	}
	printRow("held", func(s *series) experiment.Plan { return bound.Evaluate(s.capacities) })
	printRow("at most", func(s *series) experiment.Plan {
		maxCapacity := slices.Max(s.capacities)
		return bound.Evaluate(slices.Repeat([]int64{maxCapacity}, len(s.capacities)))
	})
	return eris.Wrap(errors.Join(writeErr, table.Flush()), "bound: write report")
}
