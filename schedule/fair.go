package schedule

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule/share"
)

// shares orders the waiting steps of teams with a weight. The zero value is that of a pool whose
// configuration has no weights.
type shares struct {
	ledger    *share.Ledger // nil if Config.Weight is
	teams     map[fleet.TeamID]*shareTeam
	turns     turns
	mixed     bool          // a team without a weight may have waiting tasks
	least     job.Resources // no waiting task needs less of anything
	updatedAt clock.Millis  // when weights, limits and capacity were last read
}

// shareTeam is a team in the shares of a pool.
type shareTeam struct {
	*share.Account
	deferred     []*rankedStep // steps of the current band that come after those of other teams
	taken        int           // how many of deferred have been taken
	band         int           // number of the band that deferred belongs to
	reportedOver bool
	reportedAt   clock.Millis // of the last event; see reportInterval
	beyondRate   int          // jobs that were submitted beyond the team's rate
}

// newShares returns the shares of a pool. weight may be nil.
func newShares(weight func(fleet.TeamID) float64) shares {
	if weight == nil {
		return shares{}
	}
	return shares{ledger: share.New(), teams: map[fleet.TeamID]*shareTeam{}}
}

// shareTeam returns a team's part of the shares, or nil if the configuration has no weights.
func (p *Pool) shareTeam(team fleet.TeamID) *shareTeam {
	if p.shares.ledger == nil {
		return nil
	}
	t := p.shares.teams[team]
	if t == nil {
		t = &shareTeam{Account: p.shares.ledger.Account(team)}
		p.shares.teams[team] = t
	}
	return t
}

// countJob counts a new job against its team's rate.
func (p *Pool) countJob(j *Job, now clock.Millis) {
	if j.share == nil || j.Team == "" {
		return
	}
	j.share.SetWeight(p.Weight(j.Team), now)
	if !j.share.Submit(now) {
		j.beyondRate = true
		j.share.beyondRate++
	}
}

// charge records that a task of the team occupies more of the pool, or less if needs is negative.
func (s *shareTeam) charge(needs job.Resources, now clock.Millis) {
	if s != nil {
		s.Charge(needs, now)
	}
}

// startWaiting records that a waiting task of the team is assigned to a worker.
func (s *shareTeam) startWaiting(needs job.Resources) {
	if s != nil {
		s.AddDemand(needs, -1)
	}
}

// contended reports whether shares decide the order of the waiting steps.
func (s *shares) contended() bool { return s.ledger != nil && s.ledger.Contended() }

// rankWaitingTasks brings the order of the waiting steps and the due shares of the teams up to date.
func (p *Pool) rankWaitingTasks(now clock.Millis) {
	added := len(p.ready.added)
	all := p.ready.update(now)
	l := p.shares.ledger
	switch {
	case l == nil:
	case all:
		p.settleShares(now)
	case added > 0:
		for _, s := range p.ready.steps[len(p.ready.steps)-added:] {
			if p.shares.addDemand(s, s.needs()) {
				s.job.share.Anticipate(now)
			}
		}
		if !l.Contended() {
			l.Settle(now)
		}
	}
}

// addDemand records the waiting tasks of a step, and reports whether none of the team waited before.
func (s *shares) addDemand(r *stepRun, needs job.Resources) (first bool) {
	t := r.job.share
	s.mixed = s.mixed || t.Weight() == 0
	s.least = s.least.Min(needs)
	return t.AddDemand(needs, r.waitingTasks)
}

// settleShares computes the due shares of all teams from what waits and, once every rankInterval, from the
// configuration and the workers. Where nothing waits, steps are ranked in each pass.
func (p *Pool) settleShares(now clock.Millis) {
	l := p.shares.ledger
	l.ClearDemand()
	p.shares.mixed, p.shares.least = false, job.Resources{CPU: math.MaxInt64, Memory: math.MaxInt64, GPU: math.MaxInt64}
	for i := range p.ready.ranked {
		r := &p.ready.ranked[i]
		p.shares.addDemand(r.step, r.needs)
	}
	if p.shares.updatedAt != 0 && now-p.shares.updatedAt < rankInterval {
		l.Settle(now)
		return
	}
	p.shares.updatedAt = now
	for id, t := range p.shares.teams {
		if id != "" {
			t.SetWeight(p.Weight(id), now)
			t.SetLimit(p.allowanceByTeam[id], p.Limited != nil && p.Limited(id))
		}
	}
	l.SetCapacity(p.capacityToShare(now))
	l.Settle(now)
	p.reportShares(now)
}

// capacityToShare returns the capacity that shares are fractions of: all of the workers that may take tasks,
// and what tasks occupy on the others.
func (p *Pool) capacityToShare(now clock.Millis) job.Resources {
	var sum job.Resources
	for _, w := range p.sortedWorkers {
		if w.isUsable(now) {
			sum = sum.Add(w.Capacity)
		} else {
			sum = sum.Add(w.used)
		}
	}
	return sum
}

// turns is the order of the steps of teams with a weight. Within a band, which is the steps of one class and
// priority, those of teams that are not over their due share and whose jobs are within their rate come first,
// as they are ranked. The others follow by team: each time, the next step of the team that is least over. A
// team that is over remains so during a pass, as its tasks only start in it. One walk through the list
// therefore suffices, although shares change with each start.
type turns struct {
	ranked   []rankedStep
	next     int          // index of the first step in ranked that has not been visited
	band     *rankedStep  // a step of the current band
	number   int          // of the band; each has another
	deferred []*shareTeam // with deferred steps of the band, in the order of their first one
	current  *shareTeam   // whose deferred steps are being served
	had      float64      // its share when it was chosen
}

// start begins a pass.
func (t *turns) start(ranked []rankedStep) {
	*t = turns{ranked: ranked, number: t.number, deferred: t.deferred[:0]}
}

// take returns the next step, or nil if none is left that full does not cover. If position is not nil, it
// also returns nil if the next step is of a later band than position.
func (t *turns) take(full *noCapacity, position *rankedStep) *rankedStep {
	for {
		if r := t.visit(full, position); r != nil {
			return r
		}
		for d := t.leastOver(); d != nil; d = t.leastOver() {
			for d.hasDeferred() {
				r := d.deferred[d.taken]
				d.taken++
				if !full.covers(r.needs) && r.step.isReady() {
					return r
				}
			}
		}
		if t.next == len(t.ranked) || (position != nil && !t.ranked[t.next].sameBand(position)) {
			return nil
		}
		t.band = nil
	}
}

// visit returns the next step of the band whose team is not over its share, and defers the others.
func (t *turns) visit(full *noCapacity, position *rankedStep) *rankedStep {
	for i := t.next; i < len(t.ranked); i++ {
		r := &t.ranked[i]
		if full.covers(r.needs) || !r.weighted() || !r.step.isReady() {
			continue
		}
		t.next = i
		if t.band == nil && (position == nil || r.sameBand(position)) {
			t.band = r
			t.number++
		}
		if t.band == nil || !r.sameBand(t.band) {
			return nil
		}
		t.next++
		if !r.yields() {
			return r
		}
		t.postpone(r)
	}
	t.next = len(t.ranked)
	return nil
}

// postpone puts a step behind those of teams that are not over.
func (t *turns) postpone(r *rankedStep) {
	d := r.share
	if d.band != t.number {
		t.deferred = append(t.deferred, d)
		d.band, d.deferred, d.taken = t.number, d.deferred[:0], 0
	}
	d.deferred = append(d.deferred, r)
}

// hasDeferred reports whether the team has deferred steps that were not taken.
func (s *shareTeam) hasDeferred() bool { return s.taken < len(s.deferred) }

// leastOver returns the team with deferred steps that is least over, or nil if no step is left. It stays
// with a team until tasks of it have started.
func (t *turns) leastOver() *shareTeam {
	if c := t.current; c != nil && c.hasDeferred() && c.Had() == t.had {
		return c
	}
	t.deferred = slices.DeleteFunc(t.deferred, func(d *shareTeam) bool { return !d.hasDeferred() })
	t.current = nil
	var lag float64
	for _, d := range t.deferred {
		if l := d.Lag(); t.current == nil || l > lag {
			t.current, lag = d, l
		}
	}
	if t.current != nil {
		t.had = t.current.Had()
	}
	return t.current
}

// weighted reports whether the step is of a team with a weight.
func (r *rankedStep) weighted() bool { return r.share.Weight() > 0 }

// yields reports whether the step comes after those of teams that are not over their due share.
func (r *rankedStep) yields() bool {
	return !r.keepsPlace && (r.step.job.beyondRate || r.share.IsOver())
}

// sameBand reports whether two steps have the same class and priority.
func (r *rankedStep) sameBand(o *rankedStep) bool {
	return r.class == o.class && r.priority == o.priority
}

// placeByShare is like placeByRank, but within each class and priority the steps of teams with a weight
// change places among themselves. The steps of other teams keep theirs.
func (p *Pool) placeByShare(now clock.Millis) (isFull, complete bool) {
	var full noCapacity
	t := &p.shares.turns
	t.start(p.ready.ranked)
	for i := range p.ready.ranked {
		r := &p.ready.ranked[i]
		switch {
		case !p.shares.mixed:
			if r = t.take(&full, nil); r == nil {
				return full.known, true
			}
		case full.covers(r.needs):
			continue
		case r.weighted():
			if r = t.take(&full, r); r == nil {
				continue
			}
		case !r.step.isReady():
			continue
		}
		if p.startLimitReached() {
			return false, false
		}
		if !p.placeRanked(r, full.known || p.full, now) {
			full.record(r)
			if p.deferStep() {
				return false, false
			}
		}
		if full.covers(p.shares.least) {
			break
		}
	}
	return full.known, true
}

// overShare reports whether a team has a weight and at least the share of the pool that is due to it while
// others wait, or a job that it submits now would be beyond its rate.
func (p *Pool) overShare(team fleet.TeamID, now clock.Millis) bool {
	t := p.shareTeam(team)
	if t == nil || team == "" {
		return false
	}
	t.SetWeight(p.Weight(team), now)
	return !t.MayAskForMore(now) || !t.IsWithinRate(now)
}

// reportInterval is the shortest time between two events about the share of a team.
const reportInterval clock.Millis = 1000

// reportMargin is the part of its due share by which a team must be over it, or below it, to be reported
// so. Teams with waiting tasks are always close to their due share.
const reportMargin = 0.1

// reportShares emits an event for each team that has become over its share or no longer is.
func (p *Pool) reportShares(now clock.Millis) {
	for _, a := range p.shares.ledger.Accounts() {
		t := p.shares.teams[a.Team]
		if t.reportedAt != 0 && now-t.reportedAt < reportInterval {
			continue
		}
		margin, lag := reportMargin*t.Due(), t.Lag()
		over := t.Weight() > 0 && p.shares.contended() && t.WaitingTasks() > 0
		switch {
		case !over:
		case t.reportedOver:
			over = lag <= margin
		default:
			over = lag < -margin
		}
		if over == t.reportedOver {
			continue
		}
		t.reportedOver, t.reportedAt = over, now
		kind := "team_within_share"
		if over {
			kind = "team_over_share"
		}
		p.emit(Event{Kind: kind, Team: a.Team, Detail: fmt.Sprintf("weight %g, due %.4f, had %.4f, lag %.4f, waiting tasks %d, jobs beyond the rate %d",
			t.Weight(), t.Due(), t.Had(), lag, t.WaitingTasks(), t.beyondRate)})
	}
}

// TeamsOverShare returns the number of teams that were last reported to be over their share.
func (p *Pool) TeamsOverShare() int {
	n := 0
	for _, t := range p.shares.teams {
		if t.reportedOver {
			n++
		}
	}
	return n
}

// ShareDump is a snapshot of a team's share of a pool. Due, Had and Lag are fractions of the capacity.
type ShareDump struct {
	Team       fleet.TeamID `json:"team"`
	Weight     float64      `json:"weight"`
	Due        float64      `json:"due_share"`
	Had        float64      `json:"had_share"`
	Lag        float64      `json:"lag"` // Due less Had, with the balance of the past; negative if the team is over
	Waiting    int          `json:"tasks_waiting"`
	BeyondRate int          `json:"jobs_beyond_rate"` // since this owner took the pool over
	Over       bool         `json:"over"`             // a new job would be behind those of other teams
}

// dumpShares returns the shares of the teams that have a weight, by team.
func (p *Pool) dumpShares(now clock.Millis) []ShareDump {
	var out []ShareDump
	for id, t := range p.shares.teams {
		if t.Weight() > 0 {
			out = append(out, ShareDump{
				Team: id, Weight: t.Weight(), Due: t.Due(), Had: t.Had(), Lag: p.shares.ledger.Lag(id, now), Waiting: t.WaitingTasks(), BeyondRate: t.beyondRate,
				Over: p.overShare(id, now),
			})
		}
	}
	slices.SortFunc(out, func(a, b ShareDump) int { return cmp.Compare(a.Team, b.Team) })
	return out
}
