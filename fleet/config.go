package fleet

import "citronknot/clock"

// Team is a customer. It has keys, a share of the fleet and a limit.
type Team struct {
	ID           TeamID
	Share        Share
	Limit        Slots        // maximum number of requests running at once, fleet-wide
	MaxStaleness clock.Millis // maximum age of the configuration at which the team's keys are accepted, in ms; 0 means the default
}

// Queue is the name to which callers submit requests. The instances of one pool serve it.
type Queue struct {
	ID              QueueID
	Pool            PoolID
	Open            bool         // accepts requests without a key
	Idempotent      bool         // requests may run more than once
	Urgent          bool         // a limited number of requests may start ahead of the fair order of teams
	DefaultDeadline clock.Millis // deadline of a request that sets none, in ms after its arrival
	MaxDeadline     clock.Millis // upper bound of every request's deadline, in ms after its arrival
	MaxWaiting      int          // maximum number of waiting requests of one team at one member
}

// Maintenance is the maintenance plan of a pool's instances.
type Maintenance struct {
	Every      clock.Millis // period in which each instance is maintained once, in ms; 0 means never
	DrainBound clock.Millis // maximum duration of a drain, in ms
}

// Pool is a set of instances that serve the same queues.
type Pool struct {
	ID          PoolID
	Spare       bool // holds reserve instances; no queue may refer to the pool
	MaxAbsent   int  // availability budget: maximum number of instances absent at once
	Maintenance Maintenance
}

// Key is an API key that authorizes its bearer to submit requests for a team.
type Key struct {
	Hash KeyHash
	Team TeamID
}

// Instance is a machine that runs requests.
type Instance struct {
	ID          InstanceID
	Zone        ZoneID
	Rack        RackID
	Address     string // IP address and port of its service, such as 10.0.0.1:8000
	Slots       Slots  // maximum number of requests running at once
	Connections int    // maximum number of connections
	Pool        PoolID // the pool it starts in
}

// Config is one version of the fleet's configuration. It is immutable once published.
type Config struct {
	Version   Version
	Note      NoteID // the release note that produced this version
	Pools     map[PoolID]Pool
	Queues    map[QueueID]Queue
	Teams     map[TeamID]Team
	Keys      map[KeyHash]Key
	Instances map[InstanceID]Instance
}
