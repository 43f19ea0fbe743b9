package dispatcher

import (
	"fmt"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/schedule"
	"citronknot/worker"
)

// GrantLength is how long a dispatcher may call workers after it sent the request to which the
// owner responded last. Three requests fit into it. It is so much shorter than [worker.LeaseLength]
// that the runs of a dispatcher that is lost keep their leases until another member polls their
// workers.
const GrantLength clock.Millis = 1800

// pollWait is how long the owner may delay its response to a request without content.
const pollWait clock.Millis = 400

// AssignmentID identifies an assignment. An owner uses each id once.
type AssignmentID uint64

// SessionID identifies the service of one dispatcher for one owner, from its first request until
// the service ends.
type SessionID string

// Assignment gives a dispatcher one incarnation of a worker.
type Assignment struct {
	ID          AssignmentID
	Endpoint    worker.Endpoint
	Incarnation clock.Millis
	// FormerLeases is the longest time from now for which leases that other members gave the
	// worker's runs can last.
	FormerLeases clock.Millis
	// FormerLease and MaxLease are those of worker.Config.
	FormerLease clock.Millis
	MaxLease    clock.Millis
	// Zone of the worker; empty if it is unknown, or if the owner runs a version that does not send it.
	Zone fleet.ZoneID
}

// Order is an order for the worker of an assignment.
type Order struct {
	Assignment AssignmentID
	schedule.Order
}

// PollRequest asks the owner for the next batch.
type PollRequest struct {
	Member   fleet.MemberID
	Session  SessionID
	CPUCores float64 // of the dispatcher; 0 if unknown
	Received uint64  // number of the newest batch that was received
	SentAt   clock.Millis
	Wait     clock.Millis // how long the owner may delay a response without content
}

// Batch is the owner's response to a request. A batch is sent again until a later request says that
// it was received.
type Batch struct {
	Number     uint64 // 0, or that of the newest batch, if the response has no content
	Fence      uint64
	Grant      clock.Millis // how long the dispatcher may call workers, from the sending of the request
	Ended      bool         // the owner does not need the dispatcher any more
	Reason     string       // why it does not
	Durable    uint64       // highest Event.Change up to which all ended runs are durable
	Unassigned []AssignmentID
	Assigned   []Assignment
	Orders     []Order
}

// HasContent reports whether the batch has anything for the dispatcher to carry out.
func (b *Batch) HasContent() bool {
	return len(b.Unassigned) > 0 || len(b.Assigned) > 0 || len(b.Orders) > 0
}

// Results tells the owner what has happened at the dispatcher's workers. Results are sent one after
// another, each until it has a response.
type Results struct {
	Member  fleet.MemberID
	Session SessionID
	Number  uint64
	SentAt  clock.Millis
	Leaving bool // the dispatcher calls no worker any more
	Events  []Event
}

// EventKind is what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	OrderCompleted  EventKind = iota + 1 // an order has an outcome
	Polled                               // the worker responded to a poll
	Reachable                            // the worker responds to calls
	Unreachable                          // the worker does not respond to calls
	IncarnationLost                      // nothing runs on the incarnation any more; see worker.Loss
	LeasesExpired                        // all leases given to the worker's runs have expired
	FenceRefused                         // the worker has accepted a higher fence
)

// Event is something that has happened at the worker of an assignment. Times are on the
// dispatcher's clock.
type Event struct {
	Kind       EventKind
	Assignment AssignmentID
	At         clock.Millis
	Order      schedule.Order   // kind, task and run of a completed order
	Outcome    schedule.Outcome // of a completed order
	Report     schedule.Report  // the response to a poll
	Change     uint64           // number of the ended runs in Report; 0 without any
	Successor  clock.Millis     // of a lost incarnation; see worker.Loss
	Detail     string
}

// GrantExpiredError reports that a dispatcher has not reached its owner for as long as it may call
// workers without it.
type GrantExpiredError struct {
	Pool fleet.PoolID
	Err  error // of the last request
}

func (e *GrantExpiredError) Error() string {
	return fmt.Sprintf("dispatcher: the grant for pool %s has expired: %v", e.Pool, e.Err)
}

// Unwrap returns the error of the last request.
func (e *GrantExpiredError) Unwrap() error { return e.Err }

// EndedError reports that the owner ended the service.
type EndedError struct {
	Pool   fleet.PoolID
	Reason string
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("dispatcher: the owner of pool %s ended the service: %s", e.Pool, e.Reason)
}
