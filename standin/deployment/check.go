package deployment

import (
	"fmt"
	"slices"
)

// Doubled returns what is wrong with the runs of all workers together: two runs of a task at
// the same time, or a run that began after another was done whose end was acknowledged.
func Doubled(workers []*Worker) []string {
	byTask := map[string][]Run{}
	for _, w := range workers {
		for _, r := range w.Runs() {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	var out []string
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b Run) int { return a.From.Compare(b.From) })
		for i := 1; i < len(runs); i++ {
			before := runs[i-1]
			if before.To.IsZero() || before.To.After(runs[i].From) {
				out = append(out, fmt.Sprintf("task %s: run %d on %s begins while run %d is on %s", task, runs[i].Run, runs[i].Worker, before.Run, before.Worker))
			} else if before.How == "done" && before.Noted {
				out = append(out, fmt.Sprintf("task %s: run %d on %s begins after run %d was done on %s", task, runs[i].Run, runs[i].Worker, before.Run, before.Worker))
			}
		}
	}
	slices.Sort(out)
	return out
}
