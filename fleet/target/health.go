package target

import (
	"math"

	"citronknot/clock"
)

const (
	healthHalfLifeMillis   = 5000.0 // time in which the weight of a result halves
	minConsecutiveFailures = 3
	minOutlierRate         = 0.5 // lowest failure rate of an outlier
	outlierFactor          = 2   // lowest ratio of an outlier's failure rate to that of the pool's other targets
	firstEjection          = clock.Millis(2000)
	maxEjection            = clock.Millis(60_000)
	slowStartDuration      = clock.Millis(5000)
	firstRefusalBackoff    = clock.Millis(50)
	maxRefusalBackoff      = clock.Millis(1000)
	ejectionResetAfter     = clock.Millis(120_000) // time after an ejection from which a success resets the next one to firstEjection
)

// Health tracks the recent successes, failures and refusals of a target at one member. The zero
// value is a healthy target. It is not safe for concurrent use.
type Health struct {
	successes, failures float64 // decayed counts
	decayedAt           clock.Millis
	consecutiveFailures int // failures since the last success
	refusals            int // refusals by the guard since the last success
	refusedUntil        clock.Millis
	ejections           int
	ejectedUntil        clock.Millis
	slowStart           bool
	firstSuccessAt      clock.Millis // first success after an ejection; 0 before it
}

func (h *Health) decay(now clock.Millis) {
	if elapsed := now - h.decayedAt; elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / healthHalfLifeMillis)
		h.successes *= factor
		h.failures *= factor
		h.decayedAt = now
	}
}

// RecordSuccess records that a request got a complete response.
func (h *Health) RecordSuccess(now clock.Millis) {
	h.decay(now)
	h.successes++
	h.consecutiveFailures, h.refusals, h.refusedUntil = 0, 0, 0
	if h.slowStart && h.firstSuccessAt == 0 {
		h.firstSuccessAt = now
	}
	if h.slowStart && now-h.firstSuccessAt >= slowStartDuration {
		h.slowStart = false
	}
	if h.ejections > 0 && now-h.ejectedUntil > ejectionResetAfter {
		h.ejections = 0
	}
}

// RecordFailure records a failure. The caller is expected to call Outlier afterwards.
func (h *Health) RecordFailure(now clock.Millis) {
	h.decay(now)
	h.failures++
	h.consecutiveFailures++
}

// RecordRefusal records a refusal by the target's guard. A refusal indicates load, not a failure: the
// target gets a penalty for 50 ms, which doubles with each further refusal up to 1 s.
func (h *Health) RecordRefusal(now clock.Millis) {
	backoff := maxRefusalBackoff
	if h.refusals < 5 {
		backoff = min(maxRefusalBackoff, firstRefusalBackoff<<h.refusals)
	}
	h.refusals++
	h.refusedUntil = now + backoff
}

// FailureRate returns the fraction of the recent requests that failed, from 0 to 1.
func (h *Health) FailureRate() float64 {
	if h.failures == 0 {
		return 0
	}
	return h.failures / (h.successes + h.failures)
}

// Outlier reports whether the target should be ejected, given the failure rate of the other
// targets of its pool. Requests that fail on all targets lead to no ejection.
func (h *Health) Outlier(otherRate float64) bool {
	if h.consecutiveFailures == 0 || h.FailureRate() < minOutlierRate && !h.slowStart {
		return false
	}
	needed := minConsecutiveFailures
	if h.slowStart && h.firstSuccessAt == 0 {
		needed = 1
	}
	return h.consecutiveFailures >= needed && h.FailureRate() >= outlierFactor*otherRate
}

// Eject excludes the target from selection for 2 s, which doubles with each further ejection
// up to 60 s. A slow start follows.
func (h *Health) Eject(now clock.Millis) {
	h.ejectedUntil = now + min(maxEjection, firstEjection<<min(h.ejections, 10))
	h.ejections++
	h.slowStart, h.firstSuccessAt = true, 0
}

// Ejected reports whether the target is excluded from selection.
func (h *Health) Ejected(now clock.Millis) bool { return now < h.ejectedUntil }

// Readmit ends an ejection early. The slow start still follows.
func (h *Health) Readmit(now clock.Millis) { h.ejectedUntil = min(h.ejectedUntil, now) }

// Limit returns how many requests may run on the target at once, at most limit. After an
// ejection it returns 1 until the first success, and then a number that grows to limit within
// 5 s.
func (h *Health) Limit(now clock.Millis, limit int) int {
	if !h.slowStart || limit <= 1 {
		return limit
	}
	if h.firstSuccessAt == 0 {
		return 1
	}
	fraction := float64(now-h.firstSuccessAt) / float64(slowStartDuration)
	return min(limit, 1+int(fraction*float64(limit-1)))
}

// Penalty returns the amount that is added to the target's score. It decreases with the age of
// the failures, so that a target that was not ejected is selected again.
func (h *Health) Penalty(now clock.Millis) float64 {
	penalty := 0.0
	if h.failures > 0 {
		factor := math.Exp2(-float64(max(0, now-h.decayedAt)) / healthHalfLifeMillis)
		penalty = 4 * h.failures * factor / ((h.successes+h.failures)*factor + 1)
	}
	if now < h.refusedUntil {
		penalty++
	}
	return penalty
}
