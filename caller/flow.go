package caller

import (
	"citronknot/clock"
	"citronknot/fleet"
)

func (f *flow) heapOf(r *Request) *indexedHeap[*Request] {
	if r.Queue.Urgent {
		return &f.urgent
	}
	return &f.normal
}

// first returns the waiting request with the earliest deadline.
func (f *flow) first(urgentOnly bool) *Request {
	if f.normal.len() == 0 || urgentOnly {
		return f.urgent.items[0]
	}
	if f.urgent.len() == 0 || earlier(f.normal.items[0], f.urgent.items[0]) {
		return f.normal.items[0]
	}
	return f.urgent.items[0]
}

func (s *Scheduler) flow(now clock.Millis, t fleet.TeamID) *flow {
	f, ok := s.teams[t]
	if !ok {
		f = &flow{
			team: t, share: s.shareOf(t), part: s.firstPart(t), lines: map[fleet.QueueID]*line{}, accrued: now, used: s.virtual,
			normal: indexedHeap[*Request]{less: earlier, index: requestIndex},
			urgent: indexedHeap[*Request]{less: earlier, index: requestIndex},
		}
		s.teams[t] = f
	}
	return f
}

// shareOf returns a team's share as a part of the fleet. Callers without a share, such as those
// of open queues without a key, count as the smallest share there is. It reads nothing that
// changes, so it needs no lock.
func (s *Scheduler) shareOf(t fleet.TeamID) float64 {
	if s.Share == nil {
		return 1
	}
	return float64(max(1, s.Share(t))) / float64(fleet.FullShare)
}

// weight is the team's share, scaled by the part of its fleet-wide backlog that waits here.
func (s *Scheduler) weight(f *flow) float64 {
	if !s.view.scaled {
		return f.share
	}
	return f.share * f.part
}

// follow moves the part of the team's backlog that waits here towards the newest summaries. It
// uses summaries alone, so that the parts of all members add up to one, and it moves half of
// the way, because use is divided by the weight: a part that jumps costs the team more in the
// low times than it gains in the high ones.
func (s *Scheduler) follow(f *flow) {
	here, others := float64(s.view.own[f.team].Waiting), s.view.others[f.team]
	if here+others == 0 {
		return
	}
	f.part += (here/(here+others) - f.part) / 2
	f.part = max(f.part, minPart)
}

// firstPart is the part of a team that is new here: it waits with one request.
func (s *Scheduler) firstPart(t fleet.TeamID) float64 {
	return max(minPart, 1/(1+s.view.others[t]))
}

// accrueFlow brings the use of a team up to now.
func (s *Scheduler) accrueFlow(now clock.Millis, f *flow) {
	if f.running > 0 && now > f.accrued {
		f.used += float64(f.running) * float64(now-f.accrued) / s.weight(f)
	}
	f.accrued = max(f.accrued, now)
}

// accrue brings the use of all teams up to now, and bounds how far one may be ahead.
func (s *Scheduler) accrue(now clock.Millis) {
	weights := 0.0
	for _, f := range s.teams {
		if f.running > 0 || f.waiting > 0 {
			s.accrueFlow(now, f)
			weights += s.weight(f)
		}
	}
	s.accrued = now
	if weights == 0 {
		return
	}
	lead := float64(maxLead) * float64(max(1, s.view.portion)) / weights
	for _, f := range s.teams {
		// A few turns of a team with a small share can be more than that.
		f.used = min(f.used, s.virtual+max(lead, leadTurns*s.meanRun/s.weight(f)))
	}
}

// reorder computes the place of all teams anew.
func (s *Scheduler) reorder() {
	for _, f := range s.teams {
		f.key = s.keyOf(f)
	}
	s.fair.rebuild()
	s.urgent.rebuild()
}

func (s *Scheduler) keyOf(f *flow) float64 {
	return f.used + float64(f.running)*s.meanRun/s.weight(f)
}

func (s *Scheduler) rekey(f *flow) {
	f.key = s.keyOf(f)
	s.fair.fix(f)
	s.urgent.fix(f)
}

// activate lets a team with waiting requests take turns. It gets no credit for the time in
// which it had nothing to start, because others used its share then.
func (s *Scheduler) activate(now clock.Millis, f *flow) {
	s.accrueFlow(now, f)
	f.used = max(f.used, s.virtual)
	f.key = s.keyOf(f)
	if f.blocked {
		return
	}
	if f.fairIndex == 0 {
		s.fair.push(f)
	}
	if f.urgent.len() > 0 && f.urgentIndex == 0 {
		s.urgent.push(f)
	}
}

// block takes a team at its limit out of the order, so that it is not tried again and again.
func (s *Scheduler) block(f *flow) {
	f.blocked = true
	s.fair.remove(f)
	s.urgent.remove(f)
}

func (s *Scheduler) unblock(now clock.Millis, f *flow) {
	if !f.blocked {
		return
	}
	f.blocked = false
	if f.waiting > 0 {
		s.activate(now, f)
	}
}
