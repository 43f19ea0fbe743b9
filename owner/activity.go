package owner

import (
	"time"

	"citronknot/clock"
)

// activityInterval is the time between two log lines about what happens in a pool.
const activityInterval clock.Millis = 500

// activity counts what has happened in a pool since the last log line about it.
type activity struct {
	loggedAt      clock.Millis
	starts        int // starts that were ordered
	ends          int // ended runs that workers listed
	accepted      int // jobs that became durable
	commits       int
	slowestCommit time.Duration
	slowestPass   time.Duration
}

// isIdle reports whether nothing has happened.
func (a *activity) isIdle() bool { return a.starts == 0 && a.ends == 0 && a.accepted == 0 }

// logActivity logs what has happened in the pool and how its capacity is used, if that is due and anything
// has happened or waits.
func (o *Owner) logActivity(now clock.Millis) {
	a := &o.activity
	if now-a.loggedAt < activityInterval {
		return
	}
	usage := o.pool.Usage(now)
	if !a.isIdle() || usage.InTime > 0 || usage.Late > 0 {
		o.Log.Info("owner: pool activity", "pool", o.Pool, "fence", o.Lease.Fence(), "since_ms", int64(now-a.loggedAt),
			"workers", usage.Workers, "usable", usage.Usable, "capacity", usage.Capacity, "used", usage.Used,
			"waiting_in_time", usage.InTime, "waiting_late", usage.Late, "pending_starts", usage.Starting,
			"starts", a.starts, "ends", a.ends, "accepted", a.accepted, "commits", a.commits,
			"slowest_commit_ms", a.slowestCommit.Milliseconds(), "slowest_pass_ms", a.slowestPass.Milliseconds(),
			"uncommitted", len(o.uncommitted), "since_commit_ms", int64(o.Lease.SinceCommit()), "dispatchers", len(o.dispatchers))
	}
	o.activity = activity{loggedAt: now}
}
