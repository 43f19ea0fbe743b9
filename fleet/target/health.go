package target

import (
	"math"

	"citronknot/clock"
)

const (
	healthHalfLife  = 5000.0 // milliseconds in which an observation loses half of its weight
	failuresInARow  = 3
	outlierRate     = 0.5 // failure rate from which a target can be an outlier
	outlierFactor   = 2   // how far its rate must be above that of the pool's other targets
	ejectionFirst   = clock.Millis(2000)
	ejectionMost    = clock.Millis(60_000)
	slowStart       = clock.Millis(5000)
	refusalFirst    = clock.Millis(50)
	refusalMost     = clock.Millis(1000)
	ejectionsMemory = clock.Millis(120_000) // failure-free time after which ejections start short again
)

// Health is what a member has seen of a target lately. The zero value is a healthy target.
type Health struct {
	good, bad    float64 // decayed counts
	at           clock.Millis
	inARow       int // failures since the last success
	refusals     int // guard refusals since the last run
	refusedUntil clock.Millis
	ejections    int
	ejectedUntil clock.Millis
	ramping      bool
	provenAt     clock.Millis // first success after an ejection; 0 before it
}

func (h *Health) decay(now clock.Millis) {
	if dt := now - h.at; dt > 0 {
		f := math.Exp2(-float64(dt) / healthHalfLife)
		h.good *= f
		h.bad *= f
		h.at = now
	}
}

// Succeeded records a complete response.
func (h *Health) Succeeded(now clock.Millis) {
	h.decay(now)
	h.good++
	h.inARow, h.refusals, h.refusedUntil = 0, 0, 0
	if h.ramping && h.provenAt == 0 {
		h.provenAt = now
	}
	if h.ramping && now-h.provenAt >= slowStart {
		h.ramping = false
	}
	if h.ejections > 0 && now-h.ejectedUntil > ejectionsMemory {
		h.ejections = 0
	}
}

// Failed records a failure. The caller then asks Outlier.
func (h *Health) Failed(now clock.Millis) {
	h.decay(now)
	h.bad++
	h.inARow++
}

// Refused records a refusal by the target's guard. It is a sign of load, not of failure: the
// target is avoided for a short time that doubles up to 1 s.
func (h *Health) Refused(now clock.Millis) {
	wait := refusalMost
	if h.refusals < 5 {
		wait = min(refusalMost, refusalFirst<<h.refusals)
	}
	h.refusals++
	h.refusedUntil = now + wait
}

// Rate returns the part of the recent requests that failed.
func (h *Health) Rate() float64 {
	if h.bad == 0 {
		return 0
	}
	return h.bad / (h.good + h.bad)
}

// Outlier reports whether the target should be ejected, given the failure rate of the other
// targets of its pool. Requests that fail everywhere eject no target.
func (h *Health) Outlier(others float64) bool {
	if h.inARow == 0 || h.Rate() < outlierRate && !h.ramping {
		return false
	}
	needed := failuresInARow
	if h.ramping && h.provenAt == 0 {
		needed = 1
	}
	return h.inARow >= needed && h.Rate() >= outlierFactor*others
}

// Eject keeps requests away for a time that doubles with each ejection.
func (h *Health) Eject(now clock.Millis) {
	h.ejectedUntil = now + min(ejectionMost, ejectionFirst<<min(h.ejections, 10))
	h.ejections++
	h.ramping, h.provenAt = true, 0
}

// Ejected reports whether requests are kept away.
func (h *Health) Ejected(now clock.Millis) bool { return now < h.ejectedUntil }

// Readmit ends an ejection early. The slow start still applies.
func (h *Health) Readmit(now clock.Millis) { h.ejectedUntil = min(h.ejectedUntil, now) }

// Limit returns how many of limit requests may run at once: 1 until a first success after an
// ejection, then a growing part of limit.
func (h *Health) Limit(now clock.Millis, limit int) int {
	if !h.ramping || limit <= 1 {
		return limit
	}
	if h.provenAt == 0 {
		return 1
	}
	part := float64(now-h.provenAt) / float64(slowStart)
	return min(limit, 1+int(part*float64(limit-1)))
}

// Penalty returns by what the target's load is raised in comparisons. It fades with the age of
// the failures, so that a target that was not ejected is tried again.
func (h *Health) Penalty(now clock.Millis) float64 {
	p := 0.0
	if h.bad > 0 {
		f := math.Exp2(-float64(max(0, now-h.at)) / healthHalfLife)
		p = 4 * h.bad * f / ((h.good+h.bad)*f + 1)
	}
	if now < h.refusedUntil {
		p++
	}
	return p
}
