// Command bound reads the log of a play on the users' bench and prints, for each headroom, the
// machine time that the needs of the pools take at least if they are all known in advance,
// beside what was held. Members write the needs at the level debug ("hosted: pool seen").
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
	Machine  int64   `long:"machine" env:"CITRONKNOT_BOUND_MACHINE" default:"64000" description:"capacity of a machine, in thousandths of cores"`
	MoveCost float64 `long:"move-cost" env:"CITRONKNOT_BOUND_MOVE_COST" default:"1.1" description:"cost of a move, in machine-seconds"`
}

// step is the distance of the samples.
const step clock.Millis = 250

// series is what was seen of one pool, one entry a step.
type series struct{ needs, capacities []int64 }

type wireSeen struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Pool     string    `json:"pool"`
	Need     int64     `json:"need"`
	Capacity int64     `json:"capacity"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if o.Machine <= 0 || o.MoveCost < 0 {
		fmt.Fprintln(os.Stderr, "bound: --machine and --move-cost are not accepted; accepted: more than 0, and 0 or more")
		os.Exit(2)
	}
	pools, err := read(os.Stdin)
	if err == nil {
		err = report(os.Stdout, o, pools)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// read collects the samples. Lines that are no sample are passed over, and what comes before
// the object of a line, too.
func read(r io.Reader) (map[string]*series, error) {
	pools := map[string]*series{}
	last := map[string]time.Time{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		at := strings.IndexByte(lines.Text(), '{')
		var w wireSeen
		if at < 0 || json.Unmarshal(lines.Bytes()[at:], &w) != nil || w.Message != "hosted: pool seen" {
			continue
		}
		if w.Time.Sub(last[w.Pool]) < step.Duration() {
			continue
		}
		last[w.Pool] = w.Time
		if pools[w.Pool] == nil {
			pools[w.Pool] = &series{}
		}
		s := pools[w.Pool]
		s.needs, s.capacities = append(s.needs, w.Need), append(s.capacities, w.Capacity)
	}
	return pools, eris.Wrap(lines.Err(), "bound: read")
}

func report(to io.Writer, o options, pools map[string]*series) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	_, failed := fmt.Fprintln(w, "headroom %\tmachine-seconds\tmoves\tcost")
	b := experiment.Bound{Machine: o.Machine, Step: step, MoveCost: o.MoveCost}
	row := func(name string, of func(*series) experiment.BoundResult) {
		var sum experiment.BoundResult
		for _, s := range pools {
			r := of(s)
			sum.MachineSeconds += r.MachineSeconds
			sum.Moves += r.Moves
		}
		_, err := fmt.Fprintf(w, "%s\t%.0f\t%d\t%.0f\n", name, sum.MachineSeconds, sum.Moves, sum.Cost(b))
		failed = errors.Join(failed, err)
	}
	for _, headroom := range []int64{0, 10, 30, 50, 100} {
		b.Headroom = headroom
		row(fmt.Sprint(headroom), func(s *series) experiment.BoundResult { return b.Least(s.needs) })
	}
	row("held", func(s *series) experiment.BoundResult { return b.Held(s.capacities) })
	row("at most", func(s *series) experiment.BoundResult {
		most := slices.Max(s.capacities)
		return b.Held(slices.Repeat([]int64{most}, len(s.capacities)))
	})
	return eris.Wrap(errors.Join(failed, w.Flush()), "bound: print")
}
