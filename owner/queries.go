package owner

import (
	"citronknot/fleet"
	"citronknot/schedule"
)

// Pending returns the number of a queue's jobs of which no task has started.
func (o *Owner) Pending(q fleet.QueueID) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded || o.stopped {
		return 0, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryNoOwner}
	}
	return o.pool.Pending()[q], nil
}

// Dump is the state of a pool at its owner.
type Dump struct {
	Fence        uint64         `json:"fence"`
	Settled      bool           `json:"settled"`
	Unproven     int            `json:"workers_unproven"`
	Submissions  int            `json:"submissions_waiting"`
	SinceCommit  int64          `json:"since_commit_ms"`
	KnownWorkers int            `json:"known_workers"`
	Schedule     *schedule.Dump `json:"schedule"`
}

// Dump returns the state of the pool.
func (o *Owner) Dump() *Dump {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := &Dump{
		Fence: o.Tenure.Fence(), Unproven: len(o.unproven), Submissions: len(o.inbox),
		SinceCommit: int64(o.Tenure.Idle()), KnownWorkers: len(o.known),
	}
	if o.loaded {
		d.Settled = o.pool.Settled()
		d.Schedule = o.pool.Dump()
	}
	return d
}
