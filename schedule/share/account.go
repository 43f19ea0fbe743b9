package share

import (
	"math"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// Account is what a pool's ledger records of a team.
type Account struct {
	Team         fleet.TeamID
	ledger       *Ledger
	weight       float64
	used         job.Resources // by the team's tasks
	waiting      job.Resources // needed by its waiting tasks
	waitingTasks int
	limit        job.Resources // of used, if limited
	limited      bool
	had          float64 // dominant share of used
	due          float64 // as of the last Settle
	entitlement  float64 // the share by weight among the teams that have work
	balance      float64 // what was due less what the team had, in milliseconds of the whole capacity; positive is credit
	balanceAt    clock.Millis
	rated        bool    // has had a weight, so that tokens is set
	tokens       float64 // jobs that may be submitted within the rate
	tokensAt     clock.Millis
}

// Weight returns the team's weight; 0 if it has none.
func (a *Account) Weight() float64 { return a.weight }

// Had returns the dominant share of what the team's tasks occupy.
func (a *Account) Had() float64 { return a.had }

// WaitingTasks returns the number of the team's waiting tasks.
func (a *Account) WaitingTasks() int { return a.waitingTasks }

// Due returns the share that is due to the team: all that it asks for, unless the pool can't hold all
// that the teams ask for.
func (a *Account) Due() float64 {
	switch {
	case a.weight == 0:
		return 0
	case a.ledger.contended:
		return a.due
	}
	return a.demand().max()
}

// Lag is like [Ledger.Lag] with the balance as of the last start, end or Settle. It changes with each
// task that is charged.
func (a *Account) Lag() float64 {
	lag := a.balance / float64(MaxCredit)
	if a.ledger.contended {
		lag += a.due - a.had
	}
	return lag
}

// IsOver reports whether the team has a weight and at least the share that is due to it.
func (a *Account) IsOver() bool { return a.weight > 0 && a.Lag() <= 0 }

// MayAskForMore reports whether the team would still be below its share if it asked for more than it does,
// or whether no other team waits. A team without a weight may always.
func (a *Account) MayAskForMore(now clock.Millis) bool {
	l := a.ledger
	others := l.waiters
	if a.waitingTasks > 0 {
		others--
	}
	if a.weight == 0 || !l.contended || others == 0 {
		return true
	}
	a.advance(now)
	return max(a.due, a.weight*l.level)-a.had+a.balance/float64(MaxCredit) > 0
}

// SetWeight is like [Ledger.SetWeight].
func (a *Account) SetWeight(weight float64, now clock.Millis) {
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = 0
	}
	if weight == a.weight {
		return
	}
	a.advance(now)
	a.refill(now)
	if a.weight > 0 {
		a.ledger.weighted--
	}
	if a.weight = weight; weight > 0 {
		a.ledger.weighted++
	}
	if !a.rated {
		a.rated, a.tokens = true, a.depth()
	}
	a.tokens = min(a.tokens, a.depth())
}

// SetLimit sets what the team's tasks may occupy, beyond which no share is due to it.
func (a *Account) SetLimit(limit job.Resources, limited bool) { a.limit, a.limited = limit, limited }

// Charge is like [Ledger.Charge].
func (a *Account) Charge(needs job.Resources, now clock.Millis) {
	a.advance(now)
	a.used = a.used.Add(needs)
	a.ledger.used = a.ledger.used.Add(needs)
	a.had = a.ledger.fraction(a.used).max()
}

// AddDemand records that more tasks of the team wait, or fewer if count is negative. It reports whether
// none waited before.
func (a *Account) AddDemand(needs job.Resources, count int) (first bool) {
	l := a.ledger
	count = max(count, -a.waitingTasks)
	if count == 0 {
		return false
	}
	first = a.waitingTasks == 0
	a.waitingTasks += count
	change := needs.Scale(int64(count))
	a.waiting, l.waiting = a.waiting.Add(change), l.waiting.Add(change)
	switch {
	case first:
		l.waiters++
	case a.waitingTasks == 0:
		l.waiters--
		l.waiting, a.waiting = l.waiting.Sub(a.waiting), job.Resources{}
	}
	return first
}

// Anticipate sets the due share of a team that had no waiting tasks to what it would be if nothing else had
// changed since the last Settle, so that a team's new tasks need not wait for the next one.
func (a *Account) Anticipate(now clock.Millis) {
	if a.ledger.contended && a.weight > 0 {
		a.advance(now)
		a.due = max(a.due, min(a.demand().max(), a.weight*a.ledger.level))
	}
}

// demand returns what the team uses and waits for, within its limit.
func (a *Account) demand() vector {
	d := a.used.Add(a.waiting)
	if a.limited {
		d = a.used.Max(d.Min(a.limit))
	}
	return a.ledger.fraction(d)
}

// advance brings the balance up to now.
func (a *Account) advance(now clock.Millis) {
	elapsed := now - a.balanceAt
	if elapsed <= 0 {
		return
	}
	a.balanceAt = now
	gain := 0.0
	if a.ledger.contended && a.weight > 0 {
		gain = a.due - a.had
	}
	if a.balance == 0 && gain == 0 {
		return
	}
	left := math.Exp(-decayRate * float64(elapsed))
	limit := a.entitlement * float64(MaxCredit)
	a.balance = min(limit, max(-limit, a.balance*left+gain*(1-left)/decayRate))
}

// depth returns the number of jobs that the team may submit at once within its rate.
func (a *Account) depth() float64 { return max(1, rateDepth*a.weight) }

// refill adds the tokens of the time since the last refill.
func (a *Account) refill(now clock.Millis) {
	if elapsed := now - a.tokensAt; elapsed > 0 {
		a.tokens = min(a.depth(), a.tokens+a.weight*float64(elapsed)/1000)
		a.tokensAt = now
	}
}

// IsWithinRate reports whether a job that the team submits at now would be within its rate, which is its
// weight in jobs a second. A team without a weight has no rate.
func (a *Account) IsWithinRate(now clock.Millis) bool {
	if a.weight == 0 {
		return true
	}
	a.refill(now)
	return a.tokens >= 1
}

// Submit counts a job against the team's rate, and reports whether it is within it. A job beyond the rate
// does not count against it.
func (a *Account) Submit(now clock.Millis) bool {
	if !a.IsWithinRate(now) {
		return false
	}
	a.tokens = max(0, a.tokens-1)
	return true
}
