package deployment

import (
	"fmt"
	"slices"
	"strings"
	"time"
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

// runsOfJob returns the runs of a job's tasks in the order of their starts.
func runsOfJob(workers []*Worker, id string) []Run {
	var out []Run
	for _, w := range workers {
		for _, r := range w.Runs() {
			if strings.HasPrefix(r.Task, id+".") {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b Run) int { return a.StartedAt.Compare(b.StartedAt) })
	return out
}

// FailedRuns returns the number of failed runs of a job that consists of one gang: those in which any member
// failed.
func FailedRuns(workers []*Worker, id string) int {
	failed := map[int]bool{}
	for _, r := range runsOfJob(workers, id) {
		if r.EndReason == "failed" {
			failed[r.Run] = true
		}
	}
	return len(failed)
}

// LongestWait returns the longest time between two moments during which none of a job's tasks ran.
func LongestWait(workers []*Worker, id string, from, until time.Time) time.Duration {
	var longest time.Duration
	idleSince := from
	for _, r := range runsOfJob(workers, id) {
		if r.StartedAt.After(until) {
			break
		}
		longest = max(longest, r.StartedAt.Sub(idleSince))
		if r.EndedAt.IsZero() {
			return longest
		}
		if r.EndedAt.After(idleSince) {
			idleSince = r.EndedAt
		}
	}
	return max(longest, until.Sub(idleSince))
}
