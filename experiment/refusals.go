package experiment

import "citronknot/clock"

// refusals judges the refusals of one pool at one member. A refused request is taken to start
// when a request behind it starts at this member, or at once if a slot is free; the refusal is
// false if it would then have met its deadline.
type refusals struct {
	open         []*job
	whole, wrong int
}

func (r *refusals) add(j *job) {
	r.whole++
	r.open = append(r.open, j)
}

// started judges the refusals whose turn has come, by the function ahead.
func (r *refusals) started(now clock.Millis, ahead func(*job) bool) {
	kept := r.open[:0]
	for _, j := range r.open {
		late := now+j.run > j.request.Deadline
		switch {
		case late:
		case ahead(j):
			r.wrong++
		default:
			kept = append(kept, j)
		}
	}
	r.open = kept
}
