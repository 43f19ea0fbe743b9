package schedule

import (
	"cmp"
	"math"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// backlog sums the accepted work that is not done, in resources times milliseconds of the estimated run
// times, so that a submission can be judged without a look at each job. Best-effort tasks and what is left of
// runs that have begun do not count, which makes estimates too small rather than too large.
type backlog struct {
	groups map[backlogGroup]*workByStart
	rate   workRate // of accepted work
}

// workRate is how much work a pool has recently accepted a millisecond: a sum that decays with rateTime.
type workRate struct {
	sum [3]float64 // CPU, memory and GPU
	at  clock.Millis
}

// rateTime is the time over which accepted work is averaged. It is a little more than the objective of short
// jobs, so that a burst of a fraction of a second does not count as a lasting overload.
const rateTime clock.Millis = 2000

// add adds accepted work.
func (r *workRate) add(work job.Resources, now clock.Millis) {
	decay := math.Exp(-float64(now-r.at) / float64(rateTime))
	for i, amount := range [3]int64{work.CPU, work.Memory, work.GPU} {
		r.sum[i] = r.sum[i]*decay + float64(amount)
	}
	r.at = now
}

// perMilli returns the rate at now, in resources.
func (r *workRate) perMilli(now clock.Millis) job.Resources {
	part := math.Exp(-float64(now-r.at)/float64(rateTime)) / float64(rateTime)
	return job.Resources{CPU: int64(r.sum[0] * part), Memory: int64(r.sum[1] * part), GPU: int64(r.sum[2] * part)}
}

// backlogGroup holds the jobs that rank alike but for their latest start.
type backlogGroup struct {
	priority int
	started  bool
	team     fleet.TeamID // only of teams with a limit, whose work does not compete beyond their allowance
}

// workByStart is work sorted by the latest start of its jobs.
type workByStart struct {
	total   job.Resources
	late    job.Resources // of total, the part whose latest start is over
	through int64         // number of the first bucket that is not part of late
	buckets []startBucket // the work that is not late, by number
}

// startBucket is the work with a latest start in one interval of startInterval.
type startBucket struct {
	number int64
	work   job.Resources
}

// startInterval is the resolution of latest starts in a backlog.
const startInterval clock.Millis = 50

// add adds work with a latest start; negative work is subtracted.
func (b *backlog) add(g backlogGroup, latestStart clock.Millis, work job.Resources) {
	if work == (job.Resources{}) {
		return
	}
	w := b.groups[g]
	if w == nil {
		w = &workByStart{}
		b.groups[g] = w
	}
	w.total = w.total.Add(work)
	number := bucketOf(latestStart)
	if number < w.through {
		w.late = w.late.Add(work)
		return
	}
	i, found := slices.BinarySearchFunc(w.buckets, number, func(s startBucket, n int64) int { return cmp.Compare(s.number, n) })
	if !found {
		w.buckets = slices.Insert(w.buckets, i, startBucket{number: number})
	}
	w.buckets[i].work = w.buckets[i].work.Add(work)
}

// bucketOf returns the number of the bucket of a latest start.
func bucketOf(latestStart clock.Millis) int64 { return int64(max(0, latestStart) / startInterval) }

// foldLate counts the work as late whose latest start is over at now.
func (w *workByStart) foldLate(now clock.Millis) {
	w.through = max(w.through, bucketOf(now-lateMargin)+1)
	n := 0
	for n < len(w.buckets) && w.buckets[n].number < w.through {
		w.late = w.late.Add(w.buckets[n].work)
		n++
	}
	w.buckets = slices.Delete(w.buckets, 0, n)
}

// startingBy returns the work that is not late and has its latest start in the interval of a time or earlier.
func (w *workByStart) startingBy(latestStart clock.Millis) job.Resources {
	var sum job.Resources
	for _, b := range w.buckets {
		if b.number > bucketOf(latestStart) {
			break
		}
		sum = sum.Add(b.work)
	}
	return sum
}

// newcomer is a job that may be added to a backlog.
type newcomer struct {
	priority    int
	latestStart clock.Millis
}

// before returns the work that comes before a new job as long as it can be in time, and the work that comes
// before it once it is late. bound limits what the jobs of a limited team can do in the time that
// matters.
func (b *backlog) before(j newcomer, bound func(fleet.TeamID, job.Resources) job.Resources, now clock.Millis) (inTime, late job.Resources) {
	var limited map[fleet.TeamID][2]job.Resources // work of limited teams, before it is bounded
	for g, w := range b.groups {
		if w.total == (job.Resources{}) {
			delete(b.groups, g)
			continue
		}
		w.foldLate(now)
		onTime := w.total.Sub(w.late)
		first, second := job.Resources{}, onTime
		switch {
		case g.started || g.priority < j.priority:
			first = onTime
		case g.priority == j.priority:
			first = w.startingBy(j.latestStart)
		}
		if g.priority <= j.priority {
			second = w.total
		}
		if g.team != "" {
			if limited == nil {
				limited = map[fleet.TeamID][2]job.Resources{}
			}
			sum := limited[g.team]
			limited[g.team] = [2]job.Resources{sum[0].Add(first), sum[1].Add(second)}
			continue
		}
		inTime, late = inTime.Add(first), late.Add(second)
	}
	for team, sum := range limited {
		inTime, late = inTime.Add(bound(team, sum[0])), late.Add(bound(team, sum[1]))
	}
	return inTime, late
}

// work returns what a task of the step adds to a backlog.
func work(s *job.Step) job.Resources { return s.Occupies().Scale(int64(max(1, s.Estimate))) }

// workOf returns what a job that has not started adds to a backlog.
func workOf(j *job.Job) job.Resources {
	var sum job.Resources
	for i := range j.Steps {
		if s := &j.Steps[i]; !s.BestEffort && !s.LongRunning {
			sum = sum.Add(work(s).Scale(int64(s.Count)))
		}
	}
	return sum
}

// countWork records whether a task's work is still to be begun.
func (p *Pool) countWork(t *task, left bool) {
	if t.step.spec.BestEffort || t.step.spec.LongRunning || t.inBacklog == left {
		return
	}
	t.inBacklog = left
	change := work(t.step.spec)
	if !left {
		change = job.Resources{}.Sub(change)
	}
	j := t.step.job
	j.workLeft = j.workLeft.Add(change)
	p.backlog.add(j.group, j.groupStart, change)
}

// regroup moves the work of a job that has started, or has a new occurrence, to where it ranks now.
func (p *Pool) regroup(j *Job, latestStart clock.Millis) {
	g := backlogGroup{priority: j.policy.Priority, started: j.started}
	if p.Limited != nil && j.Team != "" && p.Limited(j.Team) {
		g.team = j.Team
	}
	if g == j.group && latestStart == j.groupStart {
		return
	}
	p.backlog.add(j.group, j.groupStart, job.Resources{}.Sub(j.workLeft))
	j.group, j.groupStart = g, latestStart
	p.backlog.add(j.group, j.groupStart, j.workLeft)
}
