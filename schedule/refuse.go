package schedule

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// Limits of the admission of new jobs.
const (
	// lateBound is the multiple of a job's objective after which its end is worth less than half of
	// what a late job is worth.
	lateBound = 3
	// settleTime is how long a pool whose recovery has just finished refuses no job. The list of workers
	// and the answer of the machine planner arrive within it.
	settleTime clock.Millis = 2000
	// returnTime is how long the capacity of a worker that was lost still counts. A worker that has crashed
	// is back within it.
	returnTime clock.Millis = 5000
	// arrivalTolerance is how long capacity is waited for that was to arrive already.
	arrivalTolerance clock.Millis = 10_000

	minRetryAfter clock.Millis = 1000
	maxRetryAfter clock.Millis = 8000
)

// Refusal is the decision about a new job, with what decided it. Times are from the submission.
type Refusal struct {
	Refused    bool
	RetryAfter clock.Millis
	Estimate   clock.Millis  // end of the job's last task behind the work that comes before it
	LateEnd    clock.Millis  // the same, once the job is late and comes after all others
	Objective  clock.Millis  // end that is in time
	Backlog    clock.Millis  // time that the capacity takes for the work that comes before the job
	Capacity   job.Resources // for tasks that end
}

// Arrival is capacity that is on its way to the pool.
type Arrival struct {
	At       clock.Millis
	Capacity job.Resources
}

// SetArrivals sets the capacity that the machine planner has on its way to the pool.
func (p *Pool) SetArrivals(list []Arrival) {
	p.arrivals = slices.SortedFunc(slices.Values(list), func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// Refuse decides whether a new job is refused because it can be neither in time nor, once late, end
// within lateBound times its objective. A job that would start after its reserve has begun is not in time
// as long as other jobs arrive, since these are then served first. Jobs are refused only of teams that are over
// their share, in a pool without room whose capacity is known. Jobs that are timed, long-running or
// best-effort are never refused. An accepted job has to be passed to [Pool.Expect].
func (p *Pool) Refuse(j *job.Job, policy job.Policy, now clock.Millis) Refusal {
	if !p.mayRefuse(j, now) {
		return Refusal{}
	}
	path := j.CriticalPath()
	r := Refusal{Objective: policy.Objective(path), Capacity: p.capacityForEndingTasks(now)}
	horizon := lateBound * r.Objective
	allowed := func(team fleet.TeamID, work job.Resources) job.Resources {
		return work.Min(p.allowanceByTeam[team].Scale(int64(horizon)))
	}
	inTime, late := p.backlog.before(newcomer{priority: policy.Priority, latestStart: now + r.Objective - path}, allowed, now)
	r.Backlog = p.drainTime(inTime, r.Capacity, now)
	r.Estimate, r.LateEnd = r.Backlog+path, p.drainTime(late, p.capacityForLateTasks(r.Capacity, now), now)+path
	limit := r.Objective - reserveOf(r.Objective, path)
	r.Refused = r.Estimate > limit && r.LateEnd > horizon
	if r.Refused {
		r.RetryAfter = retryAfter(r.Estimate-limit, j.ID)
		p.refused++
		p.lastRefusal = r
	}
	return r
}

// mayRefuse reports whether a job may be refused at all.
func (p *Pool) mayRefuse(j *job.Job, now clock.Millis) bool {
	if j.Runs > 0 || slices.ContainsFunc(j.Steps, func(s job.Step) bool { return s.LongRunning || s.BestEffort }) {
		return false
	}
	return p.full && p.recoveryFinished && now-p.recoveredAt >= settleTime && p.MayRefuse(j.Team, now)
}

// retryAfter returns when the caller of a refused job should try again: when the estimate has fallen far
// enough if no other work is accepted, and up to half of that time later, by the job's id, so that refused
// callers do not return together.
func retryAfter(wait clock.Millis, id job.ID) clock.Millis {
	wait = min(max(wait, minRetryAfter), maxRetryAfter*2/3)
	return wait + clock.Millis(xxhash.Sum64String(string(id))%uint64(wait/2+1))
}

// capacityForEndingTasks returns the capacity of the workers that stay in the pool, less what
// long-running tasks occupy there. Workers that do not respond count, and for returnTime those that were lost.
func (p *Pool) capacityForEndingTasks(now clock.Millis) job.Resources {
	var sum job.Resources
	for _, w := range p.sortedWorkers {
		if !w.isBeingEmptied() && !w.unlisted {
			sum = sum.Add(w.Capacity)
			for t := range w.tasks {
				if t.step.spec.LongRunning {
					sum = sum.Sub(t.needs())
				}
			}
		}
	}
	maps.DeleteFunc(p.lostWorkers, func(_ fleet.InstanceID, l Arrival) bool { return now-l.At > returnTime })
	for _, l := range p.lostWorkers {
		sum = sum.Add(l.Capacity)
	}
	return sum.Max(job.Resources{})
}

// leastForLate is the part of the capacity that late tasks get at least, as its reciprocal: loads
// fluctuate.
const leastForLate = 10

// capacityForLateTasks returns the capacity that is left for late tasks if as much work is accepted as in the
// last seconds, since all work that can be in time comes before them.
func (p *Pool) capacityForLateTasks(capacity job.Resources, now clock.Millis) job.Resources {
	least := job.Resources{CPU: capacity.CPU / leastForLate, Memory: capacity.Memory / leastForLate, GPU: capacity.GPU / leastForLate}
	return least.Max(capacity.Sub(p.backlog.rate.perMilli(now)))
}

// drainTime returns how long the capacity, and what arrives, take for work. A resource of which there is none
// does not count: tasks that need it wait for another reason.
func (p *Pool) drainTime(work, capacity job.Resources, now clock.Millis) clock.Millis {
	longest := p.drainTimeOf(work.CPU, capacity.CPU, func(r job.Resources) int64 { return r.CPU }, now)
	longest = max(longest, p.drainTimeOf(work.Memory, capacity.Memory, func(r job.Resources) int64 { return r.Memory }, now))
	return max(longest, p.drainTimeOf(work.GPU, capacity.GPU, func(r job.Resources) int64 { return r.GPU }, now))
}

// drainTimeOf returns the drain time of one resource.
func (p *Pool) drainTimeOf(work, capacity int64, of func(job.Resources) int64, now clock.Millis) clock.Millis {
	at := now
	for _, a := range p.arrivals {
		if now-a.At > arrivalTolerance {
			continue
		}
		if a.At > at {
			done := capacity * int64(a.At-at)
			if done >= work {
				break
			}
			work -= done
			at = a.At
		}
		capacity += of(a.Capacity)
	}
	if capacity <= 0 || work <= 0 {
		return at - now
	}
	return at - now + clock.Millis(work/capacity)
}

// Expect counts the work of an accepted job that is not added yet, because it is not durable. age is the time
// since its submission arrived.
func (p *Pool) Expect(j *job.Job, policy job.Policy, age, now clock.Millis) {
	if j.Runs > 0 || j.LongRunning() || p.expected[j.ID].work != (job.Resources{}) {
		return
	}
	path := j.CriticalPath()
	e := expectedWork{group: backlogGroup{priority: policy.Priority}, start: now - age + policy.Objective(path) - path, work: workOf(j)}
	p.expected[j.ID] = e
	p.backlog.rate.add(e.work, now)
	p.backlog.add(e.group, e.start, e.work)
}

// Unexpect takes back the work of a job that is not to be added.
func (p *Pool) Unexpect(id job.ID) {
	e := p.expected[id]
	delete(p.expected, id)
	p.backlog.add(e.group, e.start, job.Resources{}.Sub(e.work))
}

// expectedWork is the work of a job that was accepted and not added yet.
type expectedWork struct {
	group backlogGroup
	start clock.Millis // latest start
	work  job.Resources
}
