// Command review2 plays the cases of review/6 and later: it starts the system's processes with stand-ins of
// the platform, of workers and of clients, disturbs them once and checks a rule from what the stand-ins saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit is the longest time of a case.
const caseLimit = 110 * time.Second

func main() {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file that records what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(play(*root, *record, os.Getenv("TROUBLE") != "0"))
}

// cases are the cases by name.
var cases = map[string]func(root, record string, trouble bool) int{}

// playCase starts a deployment, runs a case in it and prints and records its result. The case returns the ways in which
// the rule was broken.
func playCase(root, record string, o site, play func(d *deployment) (broken []string, err error)) int {
	d, err := start(root, record, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		if d != nil {
			d.stop()
		}
		return exitNotRun
	}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(caseLimit):
		}
		d.stop()
		os.Exit(exitNotRun)
	}()
	broken, err := play(d)
	d.recordRuns()
	for i, b := range broken {
		d.note("BROKEN: %s", b)
		if i < 3 {
			fmt.Println("broken:", b)
		}
	}
	switch {
	case err != nil:
		d.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		fmt.Printf("the rule was broken, %d times\n", len(broken))
		return exitBroken
	}
	d.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// recordRuns records all runs, in the order of their starts.
func (d *deployment) recordRuns() {
	var all []run
	for _, w := range d.workers {
		all = append(all, w.allRuns()...)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].Start.Before(all[k].Start) })
	for _, r := range all {
		how := r.How
		if how == "" {
			how = "open"
		}
		d.note("run %d of %s on %s (life %d), fence %d: %s to %s %s, acknowledged %s", r.Run, r.Task, r.Worker, r.Life, r.Fence,
			d.at(r.Start), d.at(r.End), how, d.at(r.Acked))
	}
}

// twice returns the tasks that ran twice: two runs at the same time on workers that are up, or a start after a
// run has ended done whose end was taken note of.
func (d *deployment) twice() []string {
	var out []string
	tasks := runsOf(d.workers)
	names := make([]string, 0, len(tasks))
	for name := range tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		runs := tasks[name]
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				switch {
				case a.How == "done" && !a.Acked.IsZero() && b.Start.After(a.End):
					out = append(out, fmt.Sprintf("TWICE: %s: run %d on %s ended done at %s s, which was acknowledged at %s s; run %d started on %s at %s s",
						name, a.Run, a.Worker, d.at(a.End), d.at(a.Acked), b.Run, b.Worker, d.at(b.Start)))
				case a.End.IsZero() || b.Start.Before(a.End):
					out = append(out, fmt.Sprintf("TWICE: %s: run %d on %s from %s s to %s s, and run %d on %s from %s s at the same time",
						name, a.Run, a.Worker, d.at(a.Start), d.at(a.End), b.Run, b.Worker, d.at(b.Start)))
				}
			}
		}
	}
	return out
}

// jobID returns a new id of a job.
func jobID() string { return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())) }
