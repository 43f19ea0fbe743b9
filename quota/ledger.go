package quota

import (
	"cmp"
	"math"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// Unlimited is the limit of a dimension that has none.
const Unlimited = math.MaxInt64 / 4

// unresponsiveTimeout is how long a pool that has not reported keeps the allowances of the
// others from growing. It covers the remaining lease of an owner that was cut off and the
// lease of the tasks that it started last.
const unresponsiveTimeout clock.Millis = 13000

// Usage is the use of a team's limit that the owner of a pool reports.
type Usage struct {
	Used      job.Resources // by tasks that occupy a worker
	Demand    job.Resources // Used plus the needs of waiting tasks
	Allowance job.Resources // in force at the owner
	// Smallest and Largest are what has to be free of the allowance for the smallest of the waiting tasks
	// and gangs, and for each of them. Both are zero if nothing waits.
	Smallest, Largest job.Resources
}

// Ledger records how much of each team's limit each pool may use, and is the only type that
// divides limits. Create one by [New]. A Ledger is not safe for concurrent use.
type Ledger struct {
	teams  map[fleet.TeamID]*teamAccount // those with a limit
	pools  []*poolAccount
	latest clock.Millis // when the latest report came, or the fleet leader began
}

// poolAccount is the record of one pool.
type poolAccount struct {
	id               fleet.PoolID
	fence            uint64       // of the owner that reported last
	reported         bool         // an owner has reported since the ledger was created
	formerOwnerUntil clock.Millis // when what the former owner may have been using stops counting; 0 if nothing does
}

// teamAccount is the record of one team.
type teamAccount struct {
	limit   job.Resources
	uses    []poolUse    // by index of the pool
	addedAt clock.Millis // when the team was added, or shortly before
	// Sums of all pools, so that a report takes no pass over them:
	known       int64 // number of pools that have reported
	demand      job.Resources
	outstanding job.Resources
}

// poolUse is what a pool uses of a team's limit.
type poolUse struct {
	Usage                     // as last reported
	known       bool          // an owner has reported since the team was added
	granted     job.Resources // allowance in the latest response
	formerOwner job.Resources // what the former owner may have been using
	outstanding job.Resources // the maximum that the pool may be using, as it counts in the sum of the team
	coveredAt   clock.Millis  // when an allowance was last granted that let a waiting task or gang start
}

// New returns a ledger for a fleet leader that begins at now.
func New(now clock.Millis) *Ledger {
	return &Ledger{teams: map[fleet.TeamID]*teamAccount{}, latest: now}
}

// Limit returns configured with [Unlimited] in each dimension that is 0, and reports whether
// any dimension has a limit.
func Limit(configured job.Resources) (limit job.Resources, limited bool) {
	limit, limited = configured, configured != job.Resources{}
	for _, d := range []*int64{&limit.CPU, &limit.Memory, &limit.GPU} {
		if *d == 0 {
			*d = Unlimited
		}
	}
	return limit, limited
}

// setUnlimited sets r to Unlimited in each dimension in which limit is.
func setUnlimited(limit job.Resources, r *job.Resources) {
	for _, d := range []struct {
		limit int64
		set   *int64
	}{{limit.CPU, &r.CPU}, {limit.Memory, &r.Memory}, {limit.GPU, &r.GPU}} {
		if d.limit >= Unlimited {
			*d.set = Unlimited
		}
	}
}

// Configure sets the limits and adds the pools that can use them.
func (l *Ledger) Configure(pools []fleet.PoolID, limits map[fleet.TeamID]job.Resources) {
	for _, id := range pools {
		l.pool(id)
	}
	former := l.teams
	l.teams = make(map[fleet.TeamID]*teamAccount, len(limits))
	for id, configured := range limits {
		limit, limited := Limit(configured)
		if !limited {
			continue
		}
		t := former[id]
		if t == nil {
			t = &teamAccount{uses: make([]poolUse, len(l.pools)), addedAt: l.latest}
		}
		t.limit = limit
		l.teams[id] = t
	}
}

// pool returns the index of a pool, which it adds if need be.
func (l *Ledger) pool(id fleet.PoolID) int {
	i := slices.IndexFunc(l.pools, func(a *poolAccount) bool { return a.id == id })
	if i >= 0 {
		return i
	}
	l.pools = append(l.pools, &poolAccount{id: id})
	for _, t := range l.teams {
		t.uses = append(t.uses, poolUse{})
	}
	return len(l.pools) - 1
}

// Report processes the use that the owner of a pool reports, and returns the allowances of the
// pool from now on. It returns nil if an owner with a higher fence has reported.
func (l *Ledger) Report(pool fleet.PoolID, fence uint64, teams map[fleet.TeamID]Usage, now clock.Millis) map[fleet.TeamID]job.Resources {
	own := l.pool(pool)
	a := l.pools[own]
	if a.reported && fence < a.fence {
		return nil // the owner was replaced
	}
	l.latest = max(l.latest, now)
	l.forgetFormerOwners(now)
	if a.reported && fence > a.fence {
		l.replaceOwner(own, now)
	}
	a.reported, a.fence = true, fence
	out := make(map[fleet.TeamID]job.Resources, len(l.teams))
	for id, t := range l.teams {
		t.setUsage(own, teams[id])
		u := &t.uses[own]
		granted := u.Allowance
		if l.mayGrow(t, now) {
			granted = t.grant(own)
		}
		u.granted = granted
		t.recount(own)
		if u.Used.Add(u.Smallest).Fits(granted) {
			u.coveredAt = now
		}
		out[id] = granted
	}
	return out
}

// mayGrow reports whether allowances of a team may grow. What it uses in a pool that has not reported since the
// fleet leader began, or the team was added, is unknown for up to unresponsiveTimeout.
func (l *Ledger) mayGrow(t *teamAccount, now clock.Millis) bool {
	return t.known == int64(len(l.pools)) || now-t.addedAt >= unresponsiveTimeout
}

// replaceOwner records that a pool has another owner. The tasks of the former one may still run.
func (l *Ledger) replaceOwner(pool int, now clock.Millis) {
	l.pools[pool].formerOwnerUntil = now + unresponsiveTimeout
	for _, t := range l.teams {
		u := &t.uses[pool]
		u.formerOwner, u.granted = u.outstanding, job.Resources{}
	}
}

// forgetFormerOwners ends the time for which tasks of former owners count.
func (l *Ledger) forgetFormerOwners(now clock.Millis) {
	for i, a := range l.pools {
		if a.formerOwnerUntil == 0 || now < a.formerOwnerUntil {
			continue
		}
		a.formerOwnerUntil = 0
		for _, t := range l.teams {
			t.uses[i].formerOwner = job.Resources{}
			t.recount(i)
		}
	}
}

// setUsage replaces what a pool has reported.
func (t *teamAccount) setUsage(pool int, usage Usage) {
	u := &t.uses[pool]
	if !u.known {
		u.known = true
		t.known++
	}
	t.demand = t.demand.Add(usage.Demand.Sub(u.Demand))
	u.Usage = usage
	t.recount(pool)
}

// recount updates the maximum that a pool may be using.
func (t *teamAccount) recount(pool int) {
	u := &t.uses[pool]
	most := u.Used.Max(u.Allowance).Max(u.granted).Max(u.formerOwner)
	t.outstanding = t.outstanding.Add(most.Sub(u.outstanding))
	u.outstanding = most
}

// grant returns a pool's allowance for one team: its share of the limit, but never more than what the other
// pools leave.
func (t *teamAccount) grant(own int) job.Resources {
	demand := t.uses[own].Demand
	share := surplusShare(t.limit, demand, t.demand, t.known)
	if demand != (job.Resources{}) && !t.demand.Fits(t.limit) {
		share = t.contendedShare(own)
	}
	others := t.outstanding.Sub(t.uses[own].outstanding)
	granted := share.Min(t.limit.Sub(others)).Max(job.Resources{})
	setUnlimited(t.limit, &granted)
	return granted
}

// contendedShare returns a pool's share of a limit that does not cover all demands. The pools that have
// waited longest since they could start something have their turn first.
func (t *teamAccount) contendedShare(own int) job.Resources {
	claims := make([]claim, 0, len(t.uses))
	pools := make([]int, 0, len(t.uses)) // by index of the claim
	ownClaim := 0
	for i := range t.uses {
		u := &t.uses[i]
		if i == own {
			ownClaim = len(claims)
		}
		if i == own || u.Demand != (job.Resources{}) {
			pools = append(pools, i)
			claims = append(claims, claim{used: u.Used, demand: u.Demand, smallest: u.Smallest, largest: u.Largest})
		}
	}
	turns := make([]int, len(claims))
	for i := range turns {
		turns[i] = i
	}
	slices.SortStableFunc(turns, func(i, k int) int {
		return cmp.Compare(t.uses[pools[i]].coveredAt, t.uses[pools[k]].coveredAt)
	})
	return divide(t.limit, claims, turns)[ownClaim]
}
