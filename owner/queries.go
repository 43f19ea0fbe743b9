package owner

import (
	"cmp"
	"slices"

	"citronknot/fleet"
	"citronknot/schedule"
)

// Pending returns the number of a queue's jobs of which no task has started. It fails with
// *RefusedError if the pool is not loaded or the owner has stopped.
func (o *Owner) Pending(q fleet.QueueID) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded || o.stopped {
		return 0, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryAfterNoOwner}
	}
	return o.pool.Pending(q), nil
}

// Dump is the state of a pool at its owner, for diagnosis.
type Dump struct {
	Fence        uint64 `json:"fence"`
	Recovered    bool   `json:"settled"`
	Unconfirmed  int    `json:"workers_unproven"`
	Submissions  int    `json:"submissions_waiting"`
	SinceCommit  int64  `json:"since_commit_ms"`
	KnownWorkers int    `json:"known_workers"`
	// Divided says that dispatchers are to serve the workers; DispatchersWanted is how many more
	// the owner asks for.
	Divided           bool             `json:"divided"`
	DispatchersWanted int              `json:"dispatchers_wanted"`
	Dispatchers       []DispatcherDump `json:"dispatchers"`
	Queues            []QueueDump      `json:"queues"`
	Schedule          *schedule.Dump   `json:"schedule"`
}

// DispatcherDump is the state of a dispatcher at the owner.
type DispatcherDump struct {
	Member    fleet.MemberID `json:"member"`
	Workers   int            `json:"workers"`
	Capacity  int            `json:"capacity"`
	Suspected bool           `json:"suspected"`
}

// QueueDump describes a queue whose jobs the pool takes.
type QueueDump struct {
	Address     fleet.QueueAddress `json:"address"`
	FormerPools []fleet.PoolID     `json:"former_pools"`
}

// dumpQueues returns the queues whose jobs the pool takes, by address.
func (o *Owner) dumpQueues() []QueueDump {
	out := make([]QueueDump, 0, len(o.permits))
	for _, p := range o.permits {
		out = append(out, QueueDump{Address: p.Queue, FormerPools: p.Former})
	}
	slices.SortFunc(out, func(a, b QueueDump) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// dumpDispatchers returns the state of the dispatchers, by member.
func (o *Owner) dumpDispatchers() []DispatcherDump {
	out := make([]DispatcherDump, 0, len(o.dispatchers))
	for _, d := range o.dispatchers {
		out = append(out, DispatcherDump{Member: d.member, Workers: len(d.sessions), Capacity: d.capacity, Suspected: d.suspected})
	}
	slices.SortFunc(out, func(a, b DispatcherDump) int { return cmp.Compare(a.Member, b.Member) })
	return out
}

// Dump returns the current state of the pool. The schedule is nil until the pool is loaded.
func (o *Owner) Dump() *Dump {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := &Dump{
		Fence: o.Lease.Fence(), Unconfirmed: len(o.unconfirmed), Submissions: len(o.submissions),
		SinceCommit: int64(o.Lease.SinceCommit()), KnownWorkers: len(o.knownWorkers),
		Divided: o.divided, DispatchersWanted: o.dispatchersWanted(), Dispatchers: o.dumpDispatchers(),
		Queues: o.dumpQueues(),
	}
	if o.loaded {
		d.Recovered = o.pool.RecoveryFinished()
		d.Schedule = o.pool.Dump(o.Clock.Now())
	}
	return d
}
