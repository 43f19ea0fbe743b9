package machine

import (
	"context"
	"fmt"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// ID identifies a machine. A machine keeps its ID while one worker after another runs on it.
type ID string

// State is the state of a machine according to the platform.
type State uint8

// The states of machines.
const (
	Up            State = iota + 1 // in its pool
	Moving                         // on the way to another pool
	InMaintenance                  // taken down for maintenance
	Down                           // out of service; does not count as capacity
)

// Machine is an entry of the platform's list of machines.
type Machine struct {
	ID       ID
	Pool     fleet.PoolID
	State    State
	Zone     fleet.ZoneID
	Worker   fleet.InstanceID // empty if the machine runs no worker
	Capacity job.Resources
}

// Wave is an operator's request to maintain a set of machines within a given time.
type Wave struct {
	Number   int
	Machines []ID
	Duration clock.Millis // time in which all of them are to be maintained
	MaxDown  int          // limit on the machines of the wave that are down at the same time
}

// WaveState is the state of a wave as shown to operators.
type WaveState string

// The states of waves.
const (
	WaveRunning  WaveState = "running"
	WaveComplete WaveState = "complete"
)

// Result is the platform's response to an order.
type Result uint8

// The results of orders.
const (
	Done      Result = iota + 1 // the order was carried out
	Busy                        // the machine is not up, or is leaving
	NotOfWave                   // the wave does not include the machine
	Fenced                      // another fleet leader gives the orders
	Invalid                     // the machine does not exist, or cannot be in that pool
	Limited                     // the rate limit on calls was exceeded; nothing was done
)

// String returns the result's name in log lines and metrics.
func (r Result) String() string {
	return [...]string{"none", "done", "busy", "not_of_wave", "fenced", "invalid", "limited"}[r]
}

// Order moves a machine to a pool, or takes it down for maintenance.
type Order struct {
	Machine ID
	Pool    fleet.PoolID // destination of a move; empty for maintenance
	Wave    int          // number of the wave, for maintenance
}

// String describes the order for log lines.
func (o Order) String() string {
	if o.Pool != "" {
		return fmt.Sprintf("move %s to %s", o.Machine, o.Pool)
	}
	return fmt.Sprintf("upkeep %s in wave %d", o.Machine, o.Wave)
}

// Calls are the calls to the platform's machine service. An order that returns an error may
// have been carried out.
type Calls struct {
	List  func(ctx context.Context) ([]Machine, error)
	Order func(ctx context.Context, holder fleet.MemberID, fence uint64, o Order) (Result, error)
}

// PoolLoad is the load that the owner of a pool reports.
type PoolLoad struct {
	Pool  fleet.PoolID
	Fence uint64 // of the owner lease
	schedule.Load
}
