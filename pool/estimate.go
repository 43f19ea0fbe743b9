package pool

import (
	"math"

	"citronknot/clock"
	"citronknot/fleet"
)

// Load is the load of a pool, summed over the reports of all members. Rates are averages since
// the previous report.
type Load struct {
	At       clock.Millis // time of the report
	Running  float64      // number of running requests
	Waiting  float64      // number of waiting requests
	Finished float64      // requests finished per second
	Refused  float64      // requests per second refused, or past their deadline, for lack of free capacity
}

const (
	bucketLength   = second
	historyBuckets = 900  // holds a peak for 15 min, longer than any observed rotation of the demand
	decay          = 0.99 // factor for older work and finished requests at each report
)

// Estimator estimates the slots that a pool needs from the load that its members report. It
// does not use declared sizes and run times. Work is measured in slot-seconds: the work that
// ran, plus the growth of the queue and the refused requests times the observed run time. The
// zero value is ready to use.
type Estimator struct {
	work            [historyBuckets]float64 // arrived work by bucket, at index bucket % historyBuckets
	first           int64                   // bucket of the oldest report
	last            int64                   // bucket of the newest report
	latest          Load
	started         bool
	busySlotSeconds float64 // exponentially decayed sum of the work that ran
	finished        float64 // exponentially decayed number of finished requests
}

// Observe adds a report. It ignores a report that is not newer than the last one, because
// reports may arrive late and out of order.
func (e *Estimator) Observe(l Load) {
	bucket := int64(l.At / bucketLength)
	if !e.started {
		e.started, e.first, e.last, e.latest = true, bucket, bucket, l
		return
	}
	seconds := float64(l.At-e.latest.At) / float64(second)
	if seconds <= 0 {
		return
	}
	e.busySlotSeconds = e.busySlotSeconds*decay + l.Running*seconds
	e.finished = e.finished*decay + l.Finished*seconds
	run := e.runTime()
	arrived := l.Running*seconds + run*(l.Waiting-e.latest.Waiting) + run*l.Refused*seconds
	e.spreadWork(bucket, arrived)
	e.latest = l
}

// spreadWork adds work in equal parts to the buckets since the last report, so that a late
// report does not look like a burst.
func (e *Estimator) spreadWork(bucket int64, work float64) {
	from := e.last
	if bucket > from {
		from++
	}
	n := bucket - from + 1
	for b := max(from, bucket-historyBuckets+1); b <= bucket; b++ {
		if b > e.last {
			e.work[b%historyBuckets] = 0
		}
		e.work[b%historyBuckets] += work / float64(n)
	}
	e.last = bucket
	e.first = max(e.first, bucket-historyBuckets+1)
}

// runTime returns the mean observed run time in seconds, or 1 if no request has finished.
func (e *Estimator) runTime() float64 {
	if e.finished <= 0 {
		return 1
	}
	return e.busySlotSeconds / e.finished
}

// minHistoryBuckets is the shortest history, in buckets, from which a need is computed. With a
// shorter one, a pool keeps the instances that it has.
const minHistoryBuckets = 60

// Need returns the smallest number of slots that would have served all work of the last 15
// minutes with at most delay ms from arrival to end. This is the maximum, over windows whose
// lengths grow in steps of about a quarter, of the work that arrived in the window, divided by
// the sum of the window's length and the waiting time (the delay less the observed run time). A
// burst that fits into the delay therefore needs no additional slots, however far it is above
// the mean. ok is false while the history is too short.
func (e *Estimator) Need(delay clock.Millis) (slots fleet.Slots, ok bool) {
	n := int(e.last - e.first)
	if !e.started || n < minHistoryBuckets {
		return 0, false
	}
	sums := make([]float64, n+1)
	for i := range n {
		sums[i+1] = sums[i] + e.work[(e.first+1+int64(i))%historyBuckets]
	}
	maxSlots, waitTime := 0.0, max(0, float64(delay)/float64(second)-e.runTime())
	for length := 1; length <= n; length += 1 + length/4 {
		for end := length; end <= n; end++ {
			maxSlots = max(maxSlots, (sums[end]-sums[end-length])/(float64(length)+waitTime))
		}
	}
	return fleet.Slots(math.Ceil(maxSlots)), true
}

// delayFraction is the fraction of a request's deadline that waiting and running may take. The
// rest covers the lag of reports and the variance of run times.
const delayFraction = 0.85

// Delay returns the time in ms that requests of a pool may take from arrival to end: a fraction
// of the shortest default deadline of the pool's queues. It returns 0 if no queue uses the pool.
func Delay(c *fleet.Config, pool fleet.PoolID) clock.Millis {
	shortest := clock.Millis(math.MaxInt64)
	for _, q := range c.Queues {
		if q.Pool == pool {
			shortest = min(shortest, q.DefaultDeadline)
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return clock.Millis(delayFraction * float64(shortest))
}
