package schedule

import (
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// OrderKind is the operation that an order requests.
type OrderKind uint8

// The kinds of orders.
const (
	Start OrderKind = iota + 1 // start a run of a task
	Stop                       // stop a run
	Pace                       // limit the speed of a best-effort run
	Ask                        // ask the adviser which workers may run a step
)

// String returns the kind's name in log lines.
func (k OrderKind) String() string {
	return [...]string{"none", "start", "stop", "pace", "ask"}[k]
}

// StopReason is the reason for which a run is stopped.
type StopReason string

// The reasons for stops.
const (
	StopFinal      StopReason = "job_final"        // the job is cancelled, failed or complete
	StopUnanswered StopReason = "start_unanswered" // the start has an unknown outcome
	StopUnexpected StopReason = "not_expected"     // the pool does not expect the run
	StopGang       StopReason = "gang_incomplete"  // another task of the gang could not start
	StopEmpty      StopReason = "empty_worker"     // the worker is cordoned or draining
	StopEvacuated  StopReason = "evacuated_zone"   // the worker's zone is being evacuated
	StopPreempt    StopReason = "preempted"        // reserved for preemption; not used
	// StopOverCapacity is for runs on a worker whose capacity has fallen below what runs there.
	StopOverCapacity StopReason = "over_capacity"
	// StopExcessStart is for starts without an answer on such a worker.
	StopExcessStart StopReason = "start_over_capacity"
)

// Order is a request from the pool to a worker or, for the kind Ask, to the adviser.
type Order struct {
	Kind        OrderKind
	Worker      fleet.InstanceID
	Incarnation clock.Millis // start time of the worker's incarnation
	Task        job.Ref
	Run         int
	Spec        string             // encoded job, for a start
	Checkpoint  string             // checkpoint to resume from, for a start
	Percent     int                // of full speed, for a pace
	Ticket      string             // the adviser's ticket, for a start
	Workers     []fleet.InstanceID // candidates to ask about, for an ask; Task names the step
	Reason      StopReason         // for a stop
}

// Outcome is the result of an order.
type Outcome uint8

// The outcomes of orders.
const (
	Accepted       Outcome = iota + 1 // the worker accepted the order
	NoCapacity                        // the worker lacks free capacity; nothing was done
	BadTicket                         // the worker does not accept the adviser's ticket; nothing was done
	OldRun                            // the worker has seen this run number or a higher one; nothing was done
	Refused                           // the worker refused for another reason; nothing was done
	NotSent                           // the order was not sent, or arrived too late for its lease
	UnknownOutcome                    // unknown outcome: the order may have been carried out or may be later
	ZoneClosed                        // the start was held back, as the worker's zone is or may be evacuated; nothing was done
)

// EndKind is the way in which a run ended.
type EndKind uint8

// The kinds of ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndExpired        // its lease expired
	EndGangBroken     // another task of the gang ended
	EndGangIncomplete // the rest of the gang did not start
)

// String returns the kind's name in log lines.
func (k EndKind) String() string {
	return [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone"}[k]
}

// RunReport is a run that a worker lists as running.
type RunReport struct {
	Task       job.Ref
	Run        int
	Checkpoint string // newest checkpoint; empty if there is none
	Percent    int    // progress
	Load       int64  // tail latency in milliseconds of a task that serves requests, otherwise CPU use
}

// EndReport is a run that a worker lists as ended.
type EndReport struct {
	Task       job.Ref
	Run        int
	Kind       EndKind
	Checkpoint string // newest checkpoint; empty if there is none
}

// Report is a worker's response to one poll.
type Report struct {
	RequestedAt clock.Millis // when the poll was sent
	// ListedAt is a time at or after which the worker made the lists. It is later than RequestedAt if the
	// worker held the poll open; 0 means RequestedAt.
	ListedAt clock.Millis
	EndsOnly bool // Running is left out
	Running  []RunReport
	Ended    []EndReport // only ends that were not reported before
	// MoreEnds says that the worker may have more ended runs than it has listed, so that a run which is not
	// listed may have ended.
	MoreEnds bool
}

// Event is a change of the pool's state, for the log and for metrics.
type Event struct {
	Kind   string // such as worker_lost or run_ended
	Task   job.Ref
	Job    job.ID
	Worker fleet.InstanceID
	Run    int
	Detail string
	Team   fleet.TeamID // of an event about a team's share

	Zone *ZoneLoad // of a zone that is evacuated or taken back

	// Of a lost worker or run:

	Machine string
	Rack    fleet.RackID
	Loss    *Loss

	Wait *PlaceWait // of a wait for a near place

	Stop *LongRunningStop // of an order that ends a long-running task
}
