package share

import (
	"cmp"
	"math"
	"slices"
)

// filling is the state of one water-filling. All teams that want more rise at the pace of their weights
// until they have what they ask for, or a resource that they need is used up.
type filling struct {
	claims []claim
	left   vector  // of each resource
	pace   vector  // of each resource, what the rising teams take for each unit of the level
	level  float64 // share for each unit of weight that the rising teams have
}

// claim is the part of one team in a filling.
type claim struct {
	account *Account
	wants   float64 // dominant share of its demand
	full    float64 // level at which it has all that it wants
	mix     vector  // what it takes of each resource for each unit of its dominant share
	fixed   bool    // its share rises no more
}

// exhausted is the remainder below which a resource counts as used up, so that rounding does not leave
// one with a remainder that no step of the level reaches.
const exhausted = 1e-12

// fill computes the due share of each account.
func (l *Ledger) fill() {
	f := &l.filling
	l.startFilling(f)
	slices.SortFunc(f.claims, func(a, b claim) int { return cmp.Compare(a.full, b.full) })
	l.keepOrder(f.claims)
	l.level = 0
	for i := range f.claims {
		for {
			resource, step := f.nextExhausted()
			if f.level+step >= f.claims[i].full {
				break
			}
			f.rise(step)
			f.left[resource] = 0
			f.fix(resource, i)
			l.level = f.level
		}
		c := &f.claims[i]
		if c.fixed {
			continue
		}
		f.rise(c.full - f.level)
		c.account.due = c.wants
		f.remove(c)
	}
}

// keepOrder orders the accounts like the claims, because sorting the next ones is cheap if they are nearly in
// order.
func (l *Ledger) keepOrder(claims []claim) {
	n := 0
	for _, a := range l.order {
		if a.due == 0 {
			l.order[n] = a
			n++
		}
	}
	for i := range claims {
		l.order[n+i] = claims[i].account
	}
}

// startFilling sets the demands of the teams with a weight, and the capacity that is left for them by
// those without. It also sets the entitlements.
func (l *Ledger) startFilling(f *filling) {
	f.claims, f.pace, f.level = f.claims[:0], vector{}, 0
	part := 1.0
	if l.held > 0 {
		part = l.held
	}
	f.left = vector{part, part, part}
	weights := 0.0
	for _, a := range l.order {
		a.due = 0
		if a.weight == 0 {
			used := l.fraction(a.used)
			for k := range f.left {
				f.left[k] = max(0, f.left[k]-used[k])
			}
			continue
		}
		demand := a.demand()
		wants := demand.max()
		if wants <= 0 {
			continue
		}
		weights += a.weight
		c := claim{account: a, wants: wants, full: wants / a.weight}
		for k := range demand {
			c.mix[k] = demand[k] / wants
			f.pace[k] += a.weight * c.mix[k]
		}
		f.claims = append(f.claims, c)
		a.due = wants // so that the loop below tells apart who has work
	}
	for _, a := range l.order {
		switch {
		case a.weight == 0:
			a.entitlement = 0
		case a.due > 0:
			a.entitlement = a.weight / weights
		default:
			a.entitlement = a.weight / (weights + a.weight)
		}
	}
}

// nextExhausted returns the resource that is used up first and by how much the level rises until then.
func (f *filling) nextExhausted() (resource int, step float64) {
	step = math.Inf(1)
	for k := range f.left {
		if f.pace[k] <= exhausted {
			continue
		}
		if s := f.left[k] / f.pace[k]; s < step {
			resource, step = k, s
		}
	}
	return resource, step
}

// rise raises the level.
func (f *filling) rise(step float64) {
	f.level += step
	for k := range f.left {
		f.left[k] = max(0, f.left[k]-step*f.pace[k])
	}
}

// fix ends the rise of the teams from the given one on that need a resource which is used up.
func (f *filling) fix(resource, from int) {
	for i := from; i < len(f.claims); i++ {
		if c := &f.claims[i]; !c.fixed && c.mix[resource] > 0 {
			c.account.due = c.account.weight * f.level
			f.remove(c)
		}
	}
	f.pace[resource] = 0 // what rounding leaves of it would make the resource run out again without end
}

// remove takes a team out of those that rise.
func (f *filling) remove(c *claim) {
	c.fixed = true
	for k := range f.pace {
		f.pace[k] = max(0, f.pace[k]-c.account.weight*c.mix[k])
	}
}
