package caller

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// heapOf returns the heap of the waiting requests to which r belongs.
func (f *flow) heapOf(r *Request) *indexedHeap[*Request] {
	if r.Queue.Urgent {
		return &f.urgent
	}
	return &f.normal
}

// first returns the waiting request with the earliest deadline, of the urgent requests alone if
// urgentOnly is set. The flow must have such a request.
func (f *flow) first(urgentOnly bool) *Request {
	if f.normal.len() == 0 || urgentOnly {
		return f.urgent.items[0]
	}
	if f.urgent.len() == 0 || earlierDeadline(f.normal.items[0], f.urgent.items[0]) {
		return f.normal.items[0]
	}
	return f.urgent.items[0]
}

// flow returns the state of team t. It creates the state if there is none.
func (s *Scheduler) flow(now clock.Millis, t fleet.TeamID) *flow {
	f, ok := s.teams[t]
	if !ok {
		f = &flow{
			team: t, share: s.shareOf(t), backlogFraction: s.initialBacklogFraction(t), queues: map[fleet.QueueID]*teamQueue{}, accruedAt: now, weightedUse: s.virtualTime,
			normal: indexedHeap[*Request]{less: earlierDeadline, index: requestIndex},
			urgent: indexedHeap[*Request]{less: earlierDeadline, index: requestIndex},
		}
		s.teams[t] = f
	}
	return f
}

// shareOf returns a team's share as a fraction of the fleet. Callers without a share, such as
// those of open queues without a key, get the smallest possible share. It reads no mutable state,
// so it needs no lock.
func (s *Scheduler) shareOf(t fleet.TeamID) float64 {
	if s.Share == nil {
		return 1
	}
	return float64(max(1, s.Share(t))) / float64(fleet.FullShare)
}

// weight returns the team's share, scaled by the fraction of its fleet-wide backlog that waits at
// this member.
func (s *Scheduler) weight(f *flow) float64 {
	if !s.division.scaleWeights {
		return f.share
	}
	return f.share * f.backlogFraction
}

// updateBacklogFraction moves the fraction of the team's backlog that waits at this member
// towards the value in the newest load summaries. It uses only summaries, so that the fractions
// of all members add up to one. It moves half of the distance, because use is divided by the
// weight: a fraction that changes abruptly costs the team more while it is low than it gains
// while it is high.
func (s *Scheduler) updateBacklogFraction(f *flow) {
	waitingHere, waitingElsewhere := float64(s.division.ownTeams[f.team].Waiting), s.division.waitingElsewhere[f.team]
	if waitingHere+waitingElsewhere == 0 {
		return
	}
	f.backlogFraction += (waitingHere/(waitingHere+waitingElsewhere) - f.backlogFraction) / 2
	f.backlogFraction = max(f.backlogFraction, minBacklogFraction)
}

// initialBacklogFraction returns the backlog fraction of a team that is new at this member, where
// it has one waiting request.
func (s *Scheduler) initialBacklogFraction(t fleet.TeamID) float64 {
	return max(minBacklogFraction, 1/(1+s.division.waitingElsewhere[t]))
}

// accrueFlow adds the slot time that a team has used up to now to its weighted use.
func (s *Scheduler) accrueFlow(now clock.Millis, f *flow) {
	if f.running > 0 && now > f.accruedAt {
		f.weightedUse += float64(f.running) * float64(now-f.accruedAt) / s.weight(f)
	}
	f.accruedAt = max(f.accruedAt, now)
}

// accrue updates the weighted use of all teams, and limits how far the use of a team may be ahead
// of the virtual time.
func (s *Scheduler) accrue(now clock.Millis) {
	totalWeight := 0.0
	for _, f := range s.teams {
		if f.running > 0 || f.waiting > 0 {
			s.accrueFlow(now, f)
			totalWeight += s.weight(f)
		}
	}
	s.accruedAt = now
	if totalWeight == 0 {
		return
	}
	maxAhead := float64(maxLead) * float64(max(1, s.division.portion)) / totalWeight
	for _, f := range s.teams {
		// For a team with a small share, minLeadRuns runs can exceed maxAhead.
		f.weightedUse = min(f.weightedUse, s.virtualTime+max(maxAhead, minLeadRuns*s.meanRunTime/s.weight(f)))
	}
}

// updateOrder computes the sort keys of all teams and restores the heaps.
func (s *Scheduler) updateOrder() {
	for _, f := range s.teams {
		f.sortKey = s.sortKeyOf(f)
	}
	s.fairOrder.rebuild()
	s.urgentOrder.rebuild()
}

func (s *Scheduler) sortKeyOf(f *flow) float64 {
	return f.weightedUse + float64(f.running)*s.meanRunTime/s.weight(f)
}

func (s *Scheduler) updateSortKey(f *flow) {
	f.sortKey = s.sortKeyOf(f)
	s.fairOrder.fix(f)
	s.urgentOrder.fix(f)
}

// activate puts a team with waiting requests into the fair order. The team gets no credit for the
// time in which it had nothing to start, because other teams used its share then.
func (s *Scheduler) activate(now clock.Millis, f *flow) {
	s.accrueFlow(now, f)
	f.weightedUse = max(f.weightedUse, s.virtualTime)
	f.sortKey = s.sortKeyOf(f)
	if f.blocked {
		return
	}
	if f.fairIndex == 0 {
		s.fairOrder.push(f)
	}
	if f.urgent.len() > 0 && f.urgentIndex == 0 {
		s.urgentOrder.push(f)
	}
}

// block removes a team at its limit from the order, so that TryStart is not called for it at
// every decision.
func (s *Scheduler) block(f *flow) {
	f.blocked = true
	s.fairOrder.remove(f)
	s.urgentOrder.remove(f)
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
