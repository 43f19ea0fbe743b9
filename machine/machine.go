package machine

import (
	"context"
	"fmt"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// ID names a machine. It outlives the workers that run on it one after the other.
type ID string

// State is what the platform says of a machine.
type State uint8

// The states of machines.
const (
	Up State = iota + 1
	Moving
	InUpkeep
	Down
)

// Machine is a machine as the platform lists it.
type Machine struct {
	ID       ID
	Pool     fleet.PoolID
	State    State
	Zone     fleet.ZoneID
	Worker   fleet.InstanceID // empty if it runs none
	Capacity job.Resources
}

// Wave asks that each of some machines has its upkeep in time.
type Wave struct {
	Number   int
	Machines []ID
	Duration clock.Millis
	Most     int // machines of the wave that may be down at once
}

// WaveState is what operators are told of a wave.
type WaveState string

// The states of a wave.
const (
	WaveRunning  WaveState = "running"
	WaveComplete WaveState = "complete"
)

// Result is the platform's answer to an order.
type Result uint8

// The answers to orders.
const (
	Done      Result = iota + 1
	Busy             // the machine is not up, or is leaving
	NotOfWave        // the wave does not name the machine
	Fenced           // another holder gives the orders
	Invalid          // there is no such machine, or it cannot be in that pool
	Limited          // too many calls; nothing was done
)

func (r Result) String() string {
	return [...]string{"none", "done", "busy", "not_of_wave", "fenced", "invalid", "limited"}[r]
}

// Order moves a machine to a pool, or takes it down for upkeep.
type Order struct {
	Machine ID
	Pool    fleet.PoolID // of a move; empty for an upkeep
	Wave    int          // of an upkeep
}

func (o Order) String() string {
	if o.Pool != "" {
		return fmt.Sprintf("move %s to %s", o.Machine, o.Pool)
	}
	return fmt.Sprintf("upkeep %s in wave %d", o.Machine, o.Wave)
}

// Calls are the calls of the platform's service for machines. An order that fails with an error
// may have been carried out.
type Calls struct {
	List  func(ctx context.Context) ([]Machine, error)
	Order func(ctx context.Context, holder fleet.MemberID, fence uint64, o Order) (Result, error)
}

// PoolLoad is what a pool's owner reports.
type PoolLoad struct {
	Pool  fleet.PoolID
	Fence uint64
	schedule.Load
}
