package owner

import (
	"citronknot/clock"
	"citronknot/job"
	"citronknot/schedule"
)

// refusalLogLimit is the largest number of refusals that an owner logs within refusalLogInterval. An
// overloaded pool may refuse thousands of jobs a second.
const (
	refusalLogLimit                 = 20
	refusalLogInterval clock.Millis = 1000
)

// refusalLog counts the refusals of an interval that were logged, and those that were not.
type refusalLog struct {
	since    clock.Millis
	logged   int
	unlogged int
}

// recordRefusal logs and counts the refusal of a job that can't run in time.
func (o *Owner) recordRefusal(j *job.Job, r *schedule.Refusal) {
	o.Metrics.Refusals.WithLabelValues("not_in_time").Inc()
	l, now := &o.refusals, o.Clock.Now()
	if now-l.since >= refusalLogInterval {
		l.since, l.logged = now, 0
	}
	if l.logged >= refusalLogLimit {
		l.unlogged++
		return
	}
	o.Log.Info("owner: refused a job", "pool", o.Pool, "fence", o.Lease.Fence(), "job", j.ID, "queue", j.Queue, "team", j.Team,
		"estimate_ms", int64(r.Estimate), "late_end_ms", int64(r.LateEnd), "objective_ms", int64(r.Objective), "backlog_ms", int64(r.Backlog),
		"capacity", r.Capacity.CPU, "retry_after_ms", int64(r.RetryAfter), "unlogged", l.unlogged)
	l.logged++
	l.unlogged = 0
}
