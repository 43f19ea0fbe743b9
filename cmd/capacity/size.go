package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"citronknot/fleet"
)

// size is the size of a fleet.
type size struct {
	Workers int `long:"workers" default:"910" description:"workers"`
	Pools   int `long:"pools" default:"82" description:"pools, each with one queue"`
	Teams   int `long:"teams" default:"150" description:"teams, each with two keys"`
}

// sizes are the sizes that are measured in this process; the last is the target.
var sizes = []size{{50, 5, 10}, {200, 18, 40}, {910, 82, 150}}

const (
	zones     = 7
	slotsEach = 8
)

func (s size) String() string {
	return fmt.Sprintf("%d workers, %d pools, %d teams", s.Workers, s.Pools, s.Teams)
}

func teamID(i int) fleet.TeamID { return fleet.TeamID(fmt.Sprintf("team-%03d", i)) }

func zoneID(i int) fleet.ZoneID { return fleet.ZoneID(fmt.Sprintf("zone-%d", i%zones)) }

func memberID(i int) fleet.MemberID { return fleet.MemberID(fmt.Sprintf("entry-%03d", i)) }

// limit lets each team use twice its part of the slots.
func (s size) limit() fleet.Slots { return fleet.Slots(max(1, 2*slotsEach*s.Workers/s.Teams)) }

func (s size) instance(i int) fleet.Instance {
	return fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("worker-%04d", i)), Zone: zoneID(i), Rack: fleet.RackID(fmt.Sprintf("rack-%03d", i/4)),
		Address: fmt.Sprintf("127.0.%d.%d:23999", i/250, 1+i%250), Slots: slotsEach, Connections: 64,
		Pool: fleet.PoolID(fmt.Sprintf("pool-%02d", i%s.Pools)),
	}
}

// note returns the release note that makes the whole configuration.
func (s size) note() fleet.ReleaseNote {
	n := fleet.ReleaseNote{ID: "fill"}
	for i := range s.Pools {
		pool := fleet.PoolID(fmt.Sprintf("pool-%02d", i))
		n.Added.Pools = append(n.Added.Pools, fleet.Pool{
			ID: pool, MaxAbsent: 2, Maintenance: fleet.Maintenance{Every: 1_209_600_000, DrainBound: 600_000},
		})
		n.Added.Queues = append(n.Added.Queues, fleet.Queue{
			ID: fleet.QueueID(fmt.Sprintf("queue-%02d", i)), Pool: pool, Idempotent: i%2 == 0, Urgent: i%10 == 0,
			DefaultDeadline: 5000, MaxDeadline: 600_000, MaxWaiting: 200,
		})
	}
	for i := range s.Teams {
		n.Added.Teams = append(n.Added.Teams, fleet.Team{ID: teamID(i), Share: fleet.Share(10_000 / s.Teams), Limit: s.limit()})
		for k := range 2 {
			sum := sha256.Sum256(fmt.Appendf(nil, "key-%d-%d", i, k))
			n.Added.Keys = append(n.Added.Keys, fleet.Key{Hash: fleet.KeyHash(hex.EncodeToString(sum[:])), Team: teamID(i)})
		}
	}
	for i := range s.Workers {
		n.Added.Instances = append(n.Added.Instances, s.instance(i))
	}
	return n
}

// config returns the whole configuration as version 1.
func (s size) config() (*fleet.Config, error) { return (&fleet.Config{}).Merge(s.note()) }

// ordinary returns the i-th ordinary change: in turn of a team's limit, of an instance and of
// the keys of a team.
func (s size) ordinary(i int, base fleet.Version) fleet.ReleaseNote {
	n := fleet.ReleaseNote{ID: fleet.NoteID(fmt.Sprintf("change-%07d", i)), Base: base}
	switch i % 3 {
	case 0:
		n.Changed.Teams = []fleet.Team{{ID: teamID(i % s.Teams), Share: fleet.Share(10_000 / s.Teams), Limit: s.limit() + fleet.Slots(i%2)}}
	case 1:
		in := s.instance(i % s.Workers)
		in.Connections = 32 + i%32
		n.Changed.Instances = []fleet.Instance{in}
	default:
		sum := sha256.Sum256(fmt.Appendf(nil, "key-0-0"))
		n.Changed.Keys = []fleet.Key{{Hash: fleet.KeyHash(hex.EncodeToString(sum[:])), Team: teamID(i % s.Teams)}}
	}
	return n
}
