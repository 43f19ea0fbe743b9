package worker

import (
	"context"
	"fmt"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Endpoint is the worker to which a call is sent, and the network address at which it is reached.
// A worker that is not the target answers the call with OtherIncarnation.
type Endpoint struct {
	ID      fleet.InstanceID
	Address string
}

// StartOrder asks a worker to start a run of a task.
type StartOrder struct {
	Task       job.Ref
	Run        int          // number of the run; a worker refuses runs no higher than one it has seen
	Spec       string       // of the job; opaque
	Checkpoint string       // checkpoint to resume from; empty for none
	Ticket     string       // proof for the worker that the adviser permits the step; empty if none is needed
	LeaseUntil clock.Millis // on the worker's clock; renews the lease of all runs on the worker
	Fence      uint64       // of the owner lease
}

// PollRequest is a poll: it asks a worker which runs are running and which have ended, and renews
// the lease of all runs on the worker.
type PollRequest struct {
	Fence               uint64       // of the owner lease
	AcknowledgedThrough int64        // highest number of an ended run that the worker may forget
	LeaseUntil          clock.Millis // on the worker's clock; 0 does not renew the lease
	Wait                clock.Millis // how long the worker may delay its response until a run ends
}

// Result is a worker's response to a call.
type Result uint8

// The results of calls. Unless the result is Done, the worker has not changed anything.
const (
	Done             Result = iota + 1 // the call was carried out
	FenceTooOld                        // the worker has seen a higher fence
	RunTooOld                          // the worker has seen or stopped a run of the task with this number or a higher one
	LeaseTooOld                        // the lease had expired on the worker's clock
	NoCapacity                         // the worker has too little free capacity
	Unhealthy                          // the worker is overloaded or unavailable
	Invalid                            // the worker could not decode the call
	TicketInvalid                      // the adviser's ticket is missing or has expired
	OtherIncarnation                   // another incarnation runs at the address
	NotReached                         // the call was not sent; see NotSentError
	HeldBack                           // the start was not sent; see Config.MayStart
)

// String returns the result's name in log lines and metrics.
func (r Result) String() string {
	return [...]string{"none", "done", "fence_too_old", "run_too_old", "lease_too_old", "no_room", "unhealthy", "invalid", "ticket_invalid", "other_incarnation", "not_reached", "held_back"}[r]
}

// Reply is a worker's response to an order.
type Reply struct {
	Result Result
	Clock  clock.Millis // the worker's clock; 0 if the worker did not send it
}

// EndedRun is an ended run. A worker numbers the ended runs of an incarnation from 1.
type EndedRun struct {
	Number int64
	schedule.EndReport
}

// PollResponse is a worker's response to a poll.
type PollResponse struct {
	Reply
	Incarnation clock.Millis // start time of the incarnation; 0 if the worker did not send it
	Running     []schedule.RunReport
	Ended       []EndedRun // ended runs that the worker may not forget yet, by number
	MoreEnds    bool       // the worker may have more ended runs, which it lists once these are forgotten
}

// Calls are the calls to workers: to start a run, to stop one, to set the pace of one in percent,
// and to poll. The outcome of a call that fails with an error is unknown: the worker may have
// carried it out, or may do so later. Only a call that fails with a *NotSentError had no effect.
type Calls struct {
	Start func(ctx context.Context, to Endpoint, o StartOrder) (Reply, error)
	Stop  func(ctx context.Context, to Endpoint, task job.Ref, run int, fence uint64) (Reply, error)
	Pace  func(ctx context.Context, to Endpoint, task job.Ref, run, percent int, fence uint64) (Reply, error)
	Poll  func(ctx context.Context, to Endpoint, o PollRequest) (PollResponse, error)
}

// NotSentError reports a call that was not sent, because there was no connection to the worker.
type NotSentError struct {
	Err error
}

func (e *NotSentError) Error() string { return fmt.Sprintf("worker: the call was not sent: %v", e.Err) }

// Unwrap returns the error of the connection.
func (e *NotSentError) Unwrap() error { return e.Err }

// StatusError reports a response whose HTTP status or result the call does not allow.
type StatusError struct {
	Call   string // path or name of the call, with the result if that is not allowed
	Status int    // HTTP status; 0 if the result is not allowed
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("worker: %s: status %d", e.Call, e.Status)
}
