package deployment

import (
	"fmt"
	"slices"
)

// DuplicateRuns returns one message for each duplicate run of a task on any of the workers, sorted:
// a run that overlaps another one, or a run that began after a run that was done and whose end
// was acknowledged. It returns nil if there is none.
func DuplicateRuns(workers []*Worker) []string {
	byTask := map[string][]Run{}
	for _, w := range workers {
		for _, r := range w.Runs() {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	var violations []string
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b Run) int { return a.StartedAt.Compare(b.StartedAt) })
		for i := 1; i < len(runs); i++ {
			previous := runs[i-1]
			if previous.EndedAt.IsZero() || previous.EndedAt.After(runs[i].StartedAt) {
				violations = append(violations, fmt.Sprintf("task %s: run %d on %s begins while run %d is on %s", task, runs[i].Run, runs[i].Worker, previous.Run, previous.Worker))
			} else if previous.EndReason == "done" && previous.Acknowledged {
				violations = append(violations, fmt.Sprintf("task %s: run %d on %s begins after run %d was done on %s", task, runs[i].Run, runs[i].Worker, previous.Run, previous.Worker))
			}
		}
	}
	slices.Sort(violations)
	return violations
}
