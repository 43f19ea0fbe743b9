package experiment

import "citronknot/clock"

// refusalChecker counts the false refusals of one pool at one member. A refused request would have
// started when a request behind it starts at this member, or at once if a slot is free. The refusal
// is false if the request would then have met its deadline.
type refusalChecker struct {
	pending           []*simulatedRequest
	total, falseCount int
}

// add records a refused request for a later decision.
func (r *refusalChecker) add(j *simulatedRequest) {
	r.total++
	r.pending = append(r.pending, j)
}

// resolve decides the refusals of the requests for which startsNow reports that they would have
// started now, and those of the requests that can't meet their deadlines any more.
func (r *refusalChecker) resolve(now clock.Millis, startsNow func(*simulatedRequest) bool) {
	kept := r.pending[:0]
	for _, j := range r.pending {
		missesDeadline := now+j.runTime > j.request.Deadline
		switch {
		case missesDeadline:
		case startsNow(j):
			r.falseCount++
		default:
			kept = append(kept, j)
		}
	}
	r.pending = kept
}
