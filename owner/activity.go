package owner

import (
	"log/slog"
	"time"

	"citronknot/clock"
	"citronknot/job"
	"citronknot/schedule"
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
	o.recordWaits(now, usage.Avoided)
	if !a.isIdle() || usage.InTime > 0 || usage.Late > 0 {
		o.Log.Info("owner: pool activity", "pool", o.Pool, "fence", o.Lease.Fence(), "since_ms", int64(now-a.loggedAt),
			"workers", usage.Workers, "usable", usage.Usable, "avoided", usage.Avoided, "capacity", usage.Capacity, "used", usage.Used,
			"waiting_in_time", usage.InTime, "waiting_late", usage.Late, "pending_starts", usage.Starting,
			"starts", a.starts, "ends", a.ends, "accepted", a.accepted, "commits", a.commits,
			"slowest_commit_ms", a.slowestCommit.Milliseconds(), "slowest_pass_ms", a.slowestPass.Milliseconds(),
			"uncommitted", len(o.uncommitted), "since_commit_ms", int64(o.Lease.SinceCommit()), "dispatchers", len(o.dispatchers))
	}
	o.activity = activity{loggedAt: now}
}

// loggedWait is how long tasks have waited for their team's allowance when that is logged. A new demand takes
// some reports to change the allowances.
const loggedWait clock.Millis = 1000

// recordWaits publishes why tasks wait for a start, and logs the teams whose allowance does not cover what they
// wait for.
func (o *Owner) recordWaits(now clock.Millis, avoidedWorkers int) {
	pool := string(o.Pool)
	o.Metrics.WorkersAvoided.WithLabelValues(pool).Set(float64(avoidedWorkers))
	waits := o.pool.Waits(now)
	for _, cause := range schedule.WaitCauses() {
		o.Metrics.TasksWaiting.WithLabelValues(pool, cause.String()).Set(float64(waits.Tasks[cause]))
	}
	for _, w := range waits.Teams {
		if w.Longest < loggedWait {
			continue
		}
		o.Log.Info("owner: team waits for its allowance", "pool", o.Pool, "fence", o.Lease.Fence(), "team", w.Team, "tasks", w.Tasks,
			"waited_ms", int64(w.Longest), resourceGroup("needs", w.Needs), resourceGroup("used", w.Used), resourceGroup("allowance", w.Allowance))
	}
}

// resourceGroup returns the attribute of a log line for resources.
func resourceGroup(name string, r job.Resources) slog.Attr {
	return slog.Group(name, "cpu", r.CPU, "memory_mb", r.Memory, "gpu", r.GPU)
}
