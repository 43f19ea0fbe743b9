package rowstore

import "citronknot/fleet"

// demand is what a member saw of a team since the last round.
type demand struct {
	running fleet.Slots
	peak    fleet.Slots // most that ran at once
	denied  fleet.Slots // starts refused
}

// growth bounds what a member without a portion asks for in one round.
const growth fleet.Slots = 16

// want returns the portion that fits d for a member that has the portion mine. A quarter
// above the peak is kept, so that a small rise needs no transaction.
func (d demand) want(mine fleet.Slots) fleet.Slots {
	if d.denied > 0 {
		return max(d.peak, mine) + min(d.denied, max(mine, growth))
	}
	return d.peak + (d.peak+3)/4
}

// limitRound is the input of one member's transition over the rows of a team.
type limitRound struct {
	self      incarnation
	zone      fleet.ZoneID
	limit     fleet.Slots
	config    fleet.Version
	demand    demand
	returning bool // planned stop: all goes back
	scanned   bool // the rows of all zones were read
	// expired returns the check under which the portion of a process may be reclaimed.
	expired func(incarnation) (Check, bool)
}

// decision is what a round decides beside the rows.
type decision struct {
	portion fleet.Slots // the member's new portion in the table
	// start bounds new starts. It is below the portion while requests above the member's part
	// still run; otherwise a member whose slots never stand empty would keep them for ever.
	start  fleet.Slots
	checks []Check // of reclaimed members
	short  bool    // the rows of other zones are needed to decide
}

// next changes v by one round of one member.
func (r limitRound) next(v *limitView) (d decision) {
	v.configure(r.limit, r.config)
	d.checks = r.reclaim(v)
	z := v.zones[r.zone]
	was := z.of(r.self)
	mine := was.Slots
	want := r.demand.want(mine)
	if r.returning {
		want = 0
	}
	tight := v.root.Free <= 0 && z.Free <= 0
	target := mine
	switch {
	case r.returning:
		target = 0
	case want > mine:
		target = want
	case tight && want < mine:
		target = mine - (mine-want+1)/2
	}
	d.short = !r.scanned && (tight || v.root.Free < 0 || want > mine+z.Free+max(0, v.root.Free))
	if (tight || want > mine) && !r.returning {
		// Others' unmet demand counts even while slots are free: they were given back for them.
		target = min(target, r.fair(v, was, want))
	}
	if debt := -v.root.Free; debt > 0 {
		target = min(target, mine-(mine*debt+v.root.Limit+debt-1)/max(1, v.root.Limit+debt))
	}
	d.start = max(0, target)
	// A running request keeps its slot, so a portion never sinks below what runs within it.
	target = max(target, min(mine, r.demand.running))
	if target > mine {
		target = min(target, mine+v.gather(r.zone, target-mine))
	}
	was.Slots = target
	switch change := max(want-was.Want, was.Want-want); {
	case !tight && target >= want || want == 0:
		was.Want = 0
	case was.Want == 0 || change > was.Want/4: // a small change is not worth a write
		was.Want = want
	}
	z.set(was)
	v.repay()
	d.portion = target
	return d
}

// configure takes a limit of a newer configuration into the root row. The version is kept
// even if the limit is the same, so that a member that lags cannot bring an older one back.
func (v *limitView) configure(limit fleet.Slots, config fleet.Version) {
	if v.rootVersion != 0 && config <= v.root.Config {
		return
	}
	v.root.Free += limit - v.root.Limit
	v.root.Limit, v.root.Config = limit, config
}

// reclaim returns the portions of dead processes to the remainder of their zone.
func (r limitRound) reclaim(v *limitView) (checks []Check) {
	for _, id := range v.zoneIDs() {
		z := v.zones[id]
		for _, p := range z.Portions {
			in := incarnation{p.Member, p.Epoch}
			if in == r.self {
				continue
			}
			if c, ok := r.expired(in); ok {
				checks = append(checks, c)
				z.set(limitPortion{Member: p.Member, Epoch: p.Epoch})
			}
		}
	}
	return checks
}

// fair returns the member's part of its zone by demand, and of the zone by the demand of all
// zones where they are known.
func (r limitRound) fair(v *limitView, was limitPortion, want fleet.Slots) fleet.Slots {
	z := v.zones[r.zone]
	slots, wants := z.total()
	slots += max(0, v.root.Free)
	wants += want - max(was.Want, was.Slots)
	if r.scanned {
		all := wants
		for id, other := range v.zones {
			if id != r.zone {
				_, w := other.total()
				all += w
			}
		}
		slots = v.root.Limit * wants / max(1, all)
	}
	if wants <= slots {
		return want
	}
	return max(1, slots*want/max(1, wants))
}

// gather moves up to n slots into the remainder of a zone, from the root row and then from
// the remainders of other zones, and returns what the zone can give.
func (v *limitView) gather(zone fleet.ZoneID, n fleet.Slots) fleet.Slots {
	z := v.zones[zone]
	move := func(from *fleet.Slots) {
		if k := min(n-z.Free, *from); k > 0 {
			*from -= k
			z.Free += k
		}
	}
	move(&v.root.Free)
	for _, id := range v.zoneIDs() {
		if id != zone {
			move(&v.zones[id].Free)
		}
	}
	return max(0, min(n, z.Free))
}

// repay covers a negative remainder of the root row, left by a lowered limit, from the
// remainders of zones.
func (v *limitView) repay() {
	for _, id := range v.zoneIDs() {
		z := v.zones[id]
		if k := min(z.Free, -v.root.Free); k > 0 {
			z.Free -= k
			v.root.Free += k
		}
	}
}
