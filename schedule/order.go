package schedule

import (
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// OrderKind is what an order asks of a worker.
type OrderKind uint8

// The kinds of orders.
const (
	Start OrderKind = iota + 1
	Stop
	Pace
	Ask // the adviser which workers may run a step
)

func (k OrderKind) String() string {
	return [...]string{"none", "start", "stop", "pace", "ask"}[k]
}

// StopReason says why a task is stopped.
type StopReason string

// The reasons of stops.
const (
	StopFinal      StopReason = "job_final"        // the job is cancelled, failed or complete
	StopUnanswered StopReason = "start_unanswered" // the start may or may not arrive
	StopUnknown    StopReason = "not_expected"     // the run is not one that the pool wants
	StopGang       StopReason = "gang_incomplete"  // another member of the gang could not start
	StopEmpty      StopReason = "empty_worker"     // the worker moves or is maintained
	StopPreempt    StopReason = "preempted"
)

// Order is what the pool wants a worker to do.
type Order struct {
	Kind    OrderKind
	Worker  fleet.InstanceID
	Born    clock.Millis
	Task    job.Ref
	Run     int
	Spec    string             // of the job, for a start
	Saved   string             // checkpoint to resume from, for a start
	Percent int                // for a pace
	Ticket  string             // of the adviser, for a start
	Workers []fleet.InstanceID // to ask about; the task names the step
	Reason  StopReason
}

// Outcome is what became of an order.
type Outcome uint8

// The outcomes of orders.
const (
	Accepted   Outcome = iota + 1
	NoRoom             // the worker has no room; nothing was done
	BadTicket          // the adviser's ticket is not valid there; nothing was done
	OldRun             // the worker has seen a run at least as high; nothing was done
	Refused            // the worker did nothing, for another reason
	NotSent            // the order was not given, or came too late for its lease
	Unanswered         // may have been done, or be done later
)

// EndKind is how a run ended.
type EndKind uint8

// The kinds of ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndLapsed // its lease expired
	EndBroken // another member of the gang ended
	EndAlone  // the rest of the gang did not come
)

func (k EndKind) String() string {
	return [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone"}[k]
}

// RunReport is a run that a worker lists as running.
type RunReport struct {
	Task    job.Ref
	Run     int
	Saved   string
	Percent int
	Load    int64 // tail in milliseconds of a task that serves, otherwise processor use
}

// EndReport is a run that a worker lists as ended.
type EndReport struct {
	Task  job.Ref
	Run   int
	Kind  EndKind
	Saved string
}

// Report is what a worker answered to one look.
type Report struct {
	Asked   clock.Millis // when the look was sent
	Running []RunReport
	Ended   []EndReport // only those not reported before
}

// Event is a line for the log: something that the pool came to believe.
type Event struct {
	Kind   string
	Task   job.Ref
	Job    job.ID
	Worker fleet.InstanceID
	Run    int
	Detail string
}
