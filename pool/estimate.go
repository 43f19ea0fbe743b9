package pool

import (
	"math"

	"citronknot/clock"
	"citronknot/fleet"
)

// Load is what the members report of a pool together. Rates are averages since the report
// before.
type Load struct {
	At       clock.Millis // time of the report
	Running  float64      // requests that run
	Waiting  float64      // requests that wait
	Finished float64      // requests finished per second
	Refused  float64      // requests per second refused, or late, for lack of room
}

const (
	bucketLength  = second
	historyLength = 900 // buckets; holds a peak for 15 min, longer than any rotation seen
	forgetting    = 0.99
)

// Estimator derives the slots that a pool needs from what its members observe. Declared sizes
// and run times take no part. Work is measured in slot-seconds: what ran, and what joined the
// queue times the observed run time.
type Estimator struct {
	work     [historyLength]float64 // arrived work by bucket, at index bucket % historyLength
	first    int64                  // bucket of the oldest report
	last     int64                  // bucket of the newest report
	latest   Load
	started  bool
	busy     float64 // slot-seconds that ran, older ones forgotten
	finished float64 // requests that finished, likewise
}

// Observe adds a report. Reports that are not newer than the last one are dropped, because
// reports lag and overtake each other.
func (e *Estimator) Observe(l Load) {
	bucket := int64(l.At / bucketLength)
	if !e.started {
		e.started, e.first, e.last, e.latest = true, bucket, bucket, l
		return
	}
	dt := float64(l.At-e.latest.At) / float64(second)
	if dt <= 0 {
		return
	}
	e.busy = e.busy*forgetting + l.Running*dt
	e.finished = e.finished*forgetting + l.Finished*dt
	run := e.runTime()
	arrived := l.Running*dt + run*(l.Waiting-e.latest.Waiting) + run*l.Refused*dt
	e.spread(bucket, arrived)
	e.latest = l
}

// spread adds work to the buckets since the last report in equal parts: a late report must
// not look like a burst.
func (e *Estimator) spread(bucket int64, work float64) {
	from := e.last
	if bucket > from {
		from++
	}
	n := bucket - from + 1
	for b := max(from, bucket-historyLength+1); b <= bucket; b++ {
		if b > e.last {
			e.work[b%historyLength] = 0
		}
		e.work[b%historyLength] += work / float64(n)
	}
	e.last = bucket
	e.first = max(e.first, bucket-historyLength+1)
}

// runTime returns the mean observed run time in seconds; 1 before anything finished.
func (e *Estimator) runTime() float64 {
	if e.finished <= 0 {
		return 1
	}
	return e.busy / e.finished
}

// minHistory is the shortest history that says anything; before, a pool keeps what it has.
const minHistory = 60

// Need returns the fewest slots that would have served all work of the last 15 minutes with
// at most delay from arrival to end: the largest work of a window divided by the window's
// length plus the delay that the observed run time leaves for waiting. A burst that fits into the delay therefore needs no slots of its own, however far it
// is above the mean. ok is false while there is too little history.
func (e *Estimator) Need(delay clock.Millis) (slots fleet.Slots, ok bool) {
	n := int(e.last - e.first)
	if !e.started || n < minHistory {
		return 0, false
	}
	sums := make([]float64, n+1)
	for i := range n {
		sums[i+1] = sums[i] + e.work[(e.first+1+int64(i))%historyLength]
	}
	most, d := 0.0, max(0, float64(delay)/float64(second)-e.runTime())
	for length := 1; length <= n; length += 1 + length/4 {
		for end := length; end <= n; end++ {
			most = max(most, (sums[end]-sums[end-length])/(float64(length)+d))
		}
	}
	return fleet.Slots(math.Ceil(most)), true
}

// delayPart is the part of a request's deadline that its wait and its run may take. The rest
// covers reports that lag and run times that vary.
const delayPart = 0.85

// Delay returns how long requests of a pool may take from arrival to their end: a part of the
// shortest default deadline of its queues.
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
	return clock.Millis(delayPart * float64(shortest))
}
