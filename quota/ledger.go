package quota

import (
	"math"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// Unlimited stands for a dimension without a limit.
const Unlimited = math.MaxInt64 / 4

// silentFor is how long a pool that has not reported keeps the others from getting more: the
// authority of an owner that was cut off, and the lease of what it started last.
const silentFor clock.Millis = 13000

// Usage is what a pool's owner reports of a team.
type Usage struct {
	Used      job.Resources
	Want      job.Resources // with what waits
	Allowance job.Resources // in force at the owner
}

// Ledger knows how much of each team's limit the pools may use. It is the one place that
// divides limits. The zero value has no limits; it is not safe for concurrent use.
type Ledger struct {
	limits  map[fleet.TeamID]job.Resources
	pools   map[fleet.PoolID]*account
	started clock.Millis
}

// account is what is known of a pool.
type account struct {
	fence    uint64
	reported bool
	at       clock.Millis
	teams    map[fleet.TeamID]Usage
	granted  map[fleet.TeamID]job.Resources // in the newest answer
	former   map[fleet.TeamID]job.Resources // of the owner before
	until    clock.Millis                   // until when former counts
}

// New returns a ledger for a holder that begins at now.
func New(now clock.Millis) *Ledger {
	return &Ledger{limits: map[fleet.TeamID]job.Resources{}, pools: map[fleet.PoolID]*account{}, started: now}
}

// Limit returns a limit with [Unlimited] in the dimensions where most has 0, and whether any
// dimension has a limit.
func Limit(most job.Resources) (limit job.Resources, limited bool) {
	limit, limited = most, most != job.Resources{}
	for _, d := range []*int64{&limit.CPU, &limit.Memory, &limit.GPU} {
		if *d == 0 {
			*d = Unlimited
		}
	}
	return limit, limited
}

// Configure sets the pools that can use limits, and the limits.
func (l *Ledger) Configure(pools []fleet.PoolID, caps map[fleet.TeamID]job.Resources) {
	for _, id := range pools {
		if l.pools[id] == nil {
			l.pools[id] = &account{}
		}
	}
	clear(l.limits)
	for team, most := range caps {
		if limit, limited := Limit(most); limited {
			l.limits[team] = limit
		}
	}
}

// Report takes in what a pool's owner reports and returns its allowances from now on.
func (l *Ledger) Report(pool fleet.PoolID, fence uint64, teams map[fleet.TeamID]Usage, now clock.Millis) map[fleet.TeamID]job.Resources {
	a := l.pools[pool]
	if a == nil {
		a = &account{}
		l.pools[pool] = a
	}
	if a.reported && fence < a.fence {
		return nil // an owner that was replaced
	}
	if a.reported && fence > a.fence {
		a.former, a.until = a.outstandingAll(l.limits, now), now+silentFor
		a.granted = nil
	}
	a.reported, a.fence, a.at, a.teams = true, fence, now, teams
	out := make(map[fleet.TeamID]job.Resources, len(l.limits))
	for team, limit := range l.limits {
		out[team] = l.grant(pool, team, limit, now)
	}
	a.granted = out
	return out
}

// outstanding returns the most that a pool may use of a team's limit.
func (a *account) outstanding(team fleet.TeamID, now clock.Millis) job.Resources {
	u := a.teams[team]
	sum := larger(larger(u.Used, u.Allowance), a.granted[team])
	if now < a.until {
		sum = larger(sum, a.former[team])
	}
	return sum
}

func (a *account) outstandingAll(limits map[fleet.TeamID]job.Resources, now clock.Millis) map[fleet.TeamID]job.Resources {
	out := make(map[fleet.TeamID]job.Resources, len(limits))
	for team := range limits {
		out[team] = a.outstanding(team, now)
	}
	return out
}

// larger returns the larger of each dimension.
func larger(a, b job.Resources) job.Resources {
	return job.Resources{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}

// grant returns a pool's allowance of one team's limit.
func (l *Ledger) grant(pool fleet.PoolID, team fleet.TeamID, limit job.Resources, now clock.Millis) job.Resources {
	own := l.pools[pool].teams[team]
	var others, wants job.Resources
	pools := int64(0)
	for id, a := range l.pools {
		if !a.reported {
			if now-l.started < silentFor {
				return own.Allowance // what that pool may use is not known yet
			}
			continue
		}
		pools++
		wants = wants.Add(a.teams[team].Want)
		if id != pool {
			others = others.Add(a.outstanding(team, now))
		}
	}
	return job.Resources{
		CPU:    divide(limit.CPU, others.CPU, own.Want.CPU, wants.CPU, pools),
		Memory: divide(limit.Memory, others.Memory, own.Want.Memory, wants.Memory, pools),
		GPU:    divide(limit.GPU, others.GPU, own.Want.GPU, wants.GPU, pools),
	}
}

// divide returns one pool's part of a limit in one dimension: what it wants and an even part of
// the rest, or its part by wants if the limit is short, and never more than others leave.
func divide(limit, others, want, wants, pools int64) int64 {
	if limit >= Unlimited {
		return Unlimited
	}
	var part int64
	if wants <= limit {
		part = want + (limit-wants)/pools
	} else {
		part = int64(float64(limit) * float64(want) / float64(wants))
	}
	return max(0, min(part, limit-others))
}
