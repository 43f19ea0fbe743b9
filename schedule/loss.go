package schedule

import "citronknot/clock"

// LossCause is how a worker or its runs were lost, as far as the owner knows.
type LossCause uint8

// The causes of losses.
const (
	// LossCrash means that another incarnation has taken the worker's place without notice.
	LossCrash LossCause = iota + 1
	// LossExpected means that the worker had been leaving, or that its machine was moved or taken
	// down.
	LossExpected
	// LossSilent means that the leases of the worker's runs have expired without a response. The
	// worker may have crashed, or may be cut off and run on.
	LossSilent
)

// String returns the cause's name in log lines and metrics.
func (c LossCause) String() string {
	return [...]string{"none", "crash", "expected", "silent"}[c]
}

// Loss describes the loss of a worker, or of a run with its worker, for the log.
type Loss struct {
	Cause LossCause
	// Unreachable is how long the worker had not responded, or -1 if that is unknown.
	Unreachable clock.Millis
	// Runs is the number of runs that were lost with the worker.
	Runs int
	// Age is how long before the worker stopped responding the run was ordered, or -1 if that is
	// unknown.
	Age clock.Millis
	// Newer is the number of the worker's other runs that were ordered with the run or later.
	Newer int
}

// loss describes the loss of a worker.
func (w *worker) loss(cause LossCause, now clock.Millis) *Loss {
	l := &Loss{Cause: cause, Unreachable: -1, Runs: len(w.tasks), Age: -1}
	if w.unreachableSince != 0 {
		l.Unreachable = now - w.unreachableSince
	}
	return l
}

// runLoss describes the loss of a task's run with its worker.
func (w *worker) runLoss(t *task, cause LossCause, now clock.Millis) *Loss {
	l := w.loss(cause, now)
	if t.orderedAt != 0 && w.unreachableSince != 0 {
		l.Age = max(0, w.unreachableSince-t.orderedAt)
	}
	for o := range w.tasks {
		if o != t && o.orderedAt >= t.orderedAt {
			l.Newer++
		}
	}
	return l
}
