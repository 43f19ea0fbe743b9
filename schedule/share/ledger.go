package share

import (
	"math"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// HalfLife is the time in which the weight of past use halves: after three half-lives, 15 s, an eighth
// of a debt or credit is left.
const HalfLife clock.Millis = 5000

// MaxCredit limits debt and credit: the balance of a team is at most its entitlement for this time.
// Lag spreads a balance over the same time, so that a team with the largest credit gets at most one
// entitlement more than is due to it, and one with the largest debt one less.
const MaxCredit clock.Millis = 2500

// rateDepth is the number of seconds of a team's rate that its jobs may be ahead of it.
const rateDepth = 2

// decayRate is the relative decay of a balance in a millisecond.
const decayRate = math.Ln2 / float64(HalfLife)

// dimensions is the number of resources that a task may need.
const dimensions = 3

// vector is an amount of each resource, as a fraction of the pool's capacity.
type vector [dimensions]float64

// max returns the largest element, which is the dominant share.
func (v vector) max() float64 { return max(v[0], v[1], v[2]) }

// Ledger keeps the account of each team in one pool. Shares are fractions of the pool's capacity of the
// resource of which a team uses most. The zero value is not usable; see [New].
type Ledger struct {
	accounts  map[fleet.TeamID]*Account
	order     []*Account // all accounts; see keepOrder
	capacity  job.Resources
	used      job.Resources
	waiting   job.Resources
	held      float64 // part of the capacity that tasks occupied when the pool last was full; 0 if it is not
	level     float64 // share for each unit of weight that the teams have which get less than they want
	weighted  int     // accounts with a weight
	waiters   int     // accounts with waiting tasks
	contended bool    // see Contended
	filling   filling // memory of the last water-filling
}

// New returns a ledger without accounts.
func New() *Ledger { return &Ledger{accounts: map[fleet.TeamID]*Account{}} }

// Account returns the account of a team, which it creates if need be.
func (l *Ledger) Account(team fleet.TeamID) *Account {
	a := l.accounts[team]
	if a == nil {
		a = &Account{ledger: l, Team: team}
		l.accounts[team] = a
		l.order = append(l.order, a)
	}
	return a
}

// Accounts returns all accounts.
func (l *Ledger) Accounts() []*Account { return l.order }

// SetWeight sets the weight of a team at now; 0 means that the team has no share and no rate.
func (l *Ledger) SetWeight(team fleet.TeamID, weight float64, now clock.Millis) {
	l.Account(team).SetWeight(weight, now)
}

// Charge records that the tasks of a team occupy more of the pool, or less if needs is negative.
func (l *Ledger) Charge(team fleet.TeamID, needs job.Resources, now clock.Millis) {
	l.Account(team).Charge(needs, now)
}

// Lag returns by how much of the capacity a team is below what is due to it (positive) or above it, with
// its past in proportion to [MaxCredit].
func (l *Ledger) Lag(team fleet.TeamID, now clock.Millis) float64 {
	a := l.Account(team)
	a.advance(now)
	return a.Lag()
}

// Due returns the share that is due to a team.
func (l *Ledger) Due(team fleet.TeamID) float64 { return l.Account(team).Due() }

// Contended reports whether a team has a weight and the pool can't hold all that several teams ask for. Otherwise
// shares have no effect.
func (l *Ledger) Contended() bool { return l.contended }

// SetFull records whether the last pass found no place for a task. The capacity that is divided is then
// what tasks occupied: what is left of each worker may be too small for any task.
func (l *Ledger) SetFull(full bool) {
	l.held = 0
	if full {
		l.held = min(1, l.fraction(l.used).max())
	}
}

// ClearDemand forgets what waits, before it is counted anew with [Account.AddDemand].
func (l *Ledger) ClearDemand() {
	l.waiting, l.waiters = job.Resources{}, 0
	for _, a := range l.order {
		a.waiting, a.waitingTasks = job.Resources{}, 0
	}
}

// SetCapacity sets the capacity of the pool.
func (l *Ledger) SetCapacity(capacity job.Resources) {
	if capacity == l.capacity {
		return
	}
	l.capacity = capacity
	for _, a := range l.order {
		a.had = l.fraction(a.used).max()
	}
}

// Settle brings all balances up to now, and computes the due shares from what the teams use and wait
// for. They hold until the next call.
func (l *Ledger) Settle(now clock.Millis) {
	contended := l.weighted > 0 && l.waiters > 0 && (l.held > 0 || !l.used.Add(l.waiting).Fits(l.capacity)) && l.hasRivals()
	if !contended && !l.contended {
		return
	}
	for _, a := range l.order {
		a.advance(now)
	}
	l.contended = contended
	if contended {
		l.fill()
	}
}

// hasRivals reports whether at least two teams have work.
func (l *Ledger) hasRivals() bool {
	n := 0
	for _, a := range l.order {
		if a.waitingTasks > 0 || a.used != (job.Resources{}) {
			if n++; n == 2 {
				return true
			}
		}
	}
	return false
}

// fraction returns an amount as fractions of the capacity.
func (l *Ledger) fraction(r job.Resources) vector {
	return vector{ratio(r.CPU, l.capacity.CPU), ratio(r.Memory, l.capacity.Memory), ratio(r.GPU, l.capacity.GPU)}
}

// ratio returns a divided by b, or 0 if b is 0.
func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
