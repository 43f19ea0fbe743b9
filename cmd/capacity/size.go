package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"citronknot/fleet"
)

// fleetSize is the number of workers, pools and teams of a fleet.
type fleetSize struct {
	Workers int `long:"workers" default:"910" description:"number of workers"`
	Pools   int `long:"pools" default:"82" description:"number of pools, each with one queue"`
	Teams   int `long:"teams" default:"150" description:"number of teams, each with two keys"`
}

// sizes lists the fleet sizes that are measured in this process. The last is the size for which
// the system is designed.
var sizes = []fleetSize{{50, 5, 10}, {200, 18, 40}, {910, 82, 150}}

const (
	zoneCount      = 7
	slotsPerWorker = 8
)

// String returns the three numbers as text.
func (s fleetSize) String() string {
	return fmt.Sprintf("%d workers, %d pools, %d teams", s.Workers, s.Pools, s.Teams)
}

func teamID(i int) fleet.TeamID { return fleet.TeamID(fmt.Sprintf("team-%03d", i)) }

func zoneID(i int) fleet.ZoneID { return fleet.ZoneID(fmt.Sprintf("zone-%d", i%zoneCount)) }

func memberID(i int) fleet.MemberID { return fleet.MemberID(fmt.Sprintf("entry-%03d", i)) }

// limit returns the limit of each team, which is twice an equal part of all slots.
func (s fleetSize) limit() fleet.Slots {
	return fleet.Slots(max(1, 2*slotsPerWorker*s.Workers/s.Teams))
}

// instance returns the i-th worker. Four consecutive workers share a rack.
func (s fleetSize) instance(i int) fleet.Instance {
	return fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("worker-%04d", i)), Zone: zoneID(i), Rack: fleet.RackID(fmt.Sprintf("rack-%03d", i/4)),
		Address: fmt.Sprintf("127.0.%d.%d:23999", i/250, 1+i%250), Slots: slotsPerWorker, Connections: 64,
		Pool: fleet.PoolID(fmt.Sprintf("pool-%02d", i%s.Pools)),
	}
}

// releaseNote returns the release note that adds the whole configuration to an empty one.
func (s fleetSize) releaseNote() fleet.ReleaseNote {
	note := fleet.ReleaseNote{ID: "fill"}
	for i := range s.Pools {
		pool := fleet.PoolID(fmt.Sprintf("pool-%02d", i))
		note.Added.Pools = append(note.Added.Pools, fleet.Pool{
			ID: pool, MaxAbsent: 2, Maintenance: fleet.Maintenance{Every: 1_209_600_000, DrainBound: 600_000},
		})
		note.Added.Queues = append(note.Added.Queues, fleet.Queue{
			ID: fleet.QueueID(fmt.Sprintf("queue-%02d", i)), Pool: pool, Idempotent: i%2 == 0, Urgent: i%10 == 0,
			DefaultDeadline: 5000, MaxDeadline: 600_000, MaxWaiting: 200,
		})
	}
	for i := range s.Teams {
		note.Added.Teams = append(note.Added.Teams, fleet.Team{ID: teamID(i), Share: fleet.Share(10_000 / s.Teams), Limit: s.limit()})
		for k := range 2 {
			hash := sha256.Sum256(fmt.Appendf(nil, "key-%d-%d", i, k))
			note.Added.Keys = append(note.Added.Keys, fleet.Key{Hash: fleet.KeyHash(hex.EncodeToString(hash[:])), Team: teamID(i)})
		}
	}
	for i := range s.Workers {
		note.Added.Instances = append(note.Added.Instances, s.instance(i))
	}
	return note
}

// config returns the whole configuration as version 1.
func (s fleetSize) config() (*fleet.Config, error) { return (&fleet.Config{}).Merge(s.releaseNote()) }

// ordinaryChange returns the i-th of a series of small changes to the version base: in turn of a
// team's limit, of an instance's connections and of the team that a key belongs to.
func (s fleetSize) ordinaryChange(i int, base fleet.Version) fleet.ReleaseNote {
	note := fleet.ReleaseNote{ID: fleet.NoteID(fmt.Sprintf("change-%07d", i)), Base: base}
	switch i % 3 {
	case 0:
		note.Changed.Teams = []fleet.Team{{ID: teamID(i % s.Teams), Share: fleet.Share(10_000 / s.Teams), Limit: s.limit() + fleet.Slots(i%2)}}
	case 1:
		instance := s.instance(i % s.Workers)
		instance.Connections = 32 + i%32
		note.Changed.Instances = []fleet.Instance{instance}
	default:
		hash := sha256.Sum256(fmt.Appendf(nil, "key-0-0"))
		note.Changed.Keys = []fleet.Key{{Hash: fleet.KeyHash(hex.EncodeToString(hash[:])), Team: teamID(i % s.Teams)}}
	}
	return note
}
