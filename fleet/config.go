package fleet

import "citronknot/clock"

// Team is a customer: it owns keys, a share and a limit.
type Team struct {
	ID           TeamID
	Share        Share
	Limit        Slots        // most requests running at once, fleet-wide
	MaxStaleness clock.Millis // age of the configuration up to which its keys are accepted; 0 means the default
}

// Queue is what a caller addresses. It feeds one pool.
type Queue struct {
	ID              QueueID
	Pool            PoolID
	Open            bool         // takes requests without a key
	Idempotent      bool         // requests may run more than once
	Urgent          bool         // requests use the urgent path
	DefaultDeadline clock.Millis // used when the caller names none
	MaxDeadline     clock.Millis // hard deadline of every request
	MaxWaiting      int          // requests of one team that may wait at one member
}

// Maintenance is the maintenance plan of a pool.
type Maintenance struct {
	Every      clock.Millis // period in which each instance is maintained once; 0 means never
	DrainBound clock.Millis // longest drain
}

// Pool is a set of instances that serve the same queues.
type Pool struct {
	ID          PoolID
	Spare       bool // holds instances that no queue uses
	MaxAbsent   int  // availability budget: instances that may be absent at once
	Maintenance Maintenance
}

// Key lets its holder submit work for a team.
type Key struct {
	Hash KeyHash
	Team TeamID
}

// Instance is a machine that runs work.
type Instance struct {
	ID          InstanceID
	Zone        ZoneID
	Rack        RackID
	Address     string // host and port of its service, by IP number
	Slots       Slots
	Connections int
	Pool        PoolID // the pool it starts in
}

// Config is one version of the fleet's configuration. It is immutable once published.
type Config struct {
	Version   Version
	Note      NoteID // the release note that made this version
	Pools     map[PoolID]Pool
	Queues    map[QueueID]Queue
	Teams     map[TeamID]Team
	Keys      map[KeyHash]Key
	Instances map[InstanceID]Instance
}
