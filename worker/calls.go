package worker

import (
	"context"
	"fmt"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Target says where a worker is reached. A call names the incarnation that it is meant for.
type Target struct {
	ID      fleet.InstanceID
	Address string
}

// StartOrder asks a worker to start a run.
type StartOrder struct {
	Task       job.Ref
	Run        int
	Spec       string
	Saved      string       // checkpoint to resume from; empty for none
	Ticket     string       // of the adviser; empty where none is needed
	LeaseUntil clock.Millis // on the worker's clock, for all that runs there
	Fence      uint64
}

// LookOrder asks a worker what runs there and what has ended.
type LookOrder struct {
	Fence      uint64
	Forget     int64        // highest number of an end that the worker may forget
	LeaseUntil clock.Millis // on the worker's clock; 0 extends no lease
	Wait       clock.Millis // longest wait for an end
}

// Result is a worker's answer to an order.
type Result uint8

// The answers to orders.
const (
	Done             Result = iota + 1
	FenceTooOld             // another tenure gives the orders
	RunTooOld               // a run at least as high was seen or stopped there
	LeaseTooOld             // the lease had ended on the worker's clock
	NoRoom                  // the worker has no capacity left
	Unhealthy               // the worker did nothing
	Invalid                 // the worker did not understand the order
	TicketInvalid           // the adviser's ticket is missing or has ended
	OtherIncarnation        // another incarnation lives at the address
)

func (r Result) String() string {
	return [...]string{"none", "done", "fence_too_old", "run_too_old", "lease_too_old", "no_room", "unhealthy", "invalid", "ticket_invalid", "other_incarnation"}[r]
}

// Answer is what a worker answered to an order.
type Answer struct {
	Result Result
	Clock  clock.Millis // the worker's clock
}

// End is a run that ended. The numbers of an incarnation's ends rise from 1.
type End struct {
	Number int64
	schedule.EndReport
}

// Listing is what a worker answered to a look.
type Listing struct {
	Answer
	Born    clock.Millis // start of the incarnation; 0 if it was not told
	Running []schedule.RunReport
	Ended   []End
}

// Calls are the calls that workers take. A call that fails with an error may have been carried
// out, or may be carried out later.
type Calls struct {
	Start func(ctx context.Context, to Target, o StartOrder) (Answer, error)
	Stop  func(ctx context.Context, to Target, task job.Ref, run int, fence uint64) (Answer, error)
	Pace  func(ctx context.Context, to Target, task job.Ref, run, percent int, fence uint64) (Answer, error)
	Look  func(ctx context.Context, to Target, o LookOrder) (Listing, error)
}

// StatusError reports an answer that has no meaning here.
type StatusError struct {
	Call   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("worker: %s: status %d", e.Call, e.Status)
}
