package rowstore

import "citronknot/fleet"

// demand is the use of a team's slots at one member since the last round.
type demand struct {
	running fleet.Slots
	peak    fleet.Slots // largest number that ran at once
	denied  fleet.Slots // starts that were refused
}

// baseGrowth is the number of additional slots that a member may request in one round. A member
// with a larger portion may request as many as it has, so that its portion at most doubles.
const baseGrowth fleet.Slots = 16

// want returns the portion that a member with the portion current needs for d. It is a quarter
// above the peak, so that a small rise needs no transaction.
func (d demand) want(current fleet.Slots) fleet.Slots {
	if d.denied > 0 {
		return max(d.peak, current) + min(d.denied, max(current, baseGrowth))
	}
	return d.peak + (d.peak+3)/4
}

// limitRound is the input of one member's round over the rows of a team.
type limitRound struct {
	self         incarnation
	zone         fleet.ZoneID
	limit        fleet.Slots
	config       fleet.Version
	demand       demand
	returning    bool // planned stop: the whole portion is returned
	allZonesRead bool // the rows of all zones were read
	// reclaimCheck returns the check under which the portion of a process may be reclaimed.
	reclaimCheck func(incarnation) (Check, bool)
}

// decision is the result of a round apart from the changed rows.
type decision struct {
	portion fleet.Slots // the member's new portion in the table
	// startLimit bounds new starts. It is below the portion while more requests run than the
	// member's share allows; otherwise a member whose slots are never idle would keep them for
	// ever.
	startLimit    fleet.Slots
	checks        []Check // of reclaimed members
	needsAllZones bool    // the rows of other zones are needed to decide
}

// apply changes v by one round of one member and returns the result.
func (r limitRound) apply(v *limitView) (d decision) {
	v.applyLimit(r.limit, r.config)
	d.checks = r.reclaim(v)
	z := v.zones[r.zone]
	portion := z.portionOf(r.self)
	current := portion.Slots
	want := r.demand.want(current)
	if r.returning {
		want = 0
	}
	exhausted := v.root.Free <= 0 && z.Free <= 0
	target := current
	switch {
	case r.returning:
		target = 0
	case want > current:
		target = want
	case exhausted && want < current: // return half of the surplus
		target = current - (current-want+1)/2
	}
	d.needsAllZones = !r.allZonesRead && (exhausted || v.root.Free < 0 || want > current+z.Free+max(0, v.root.Free))
	if (exhausted || want > current) && !r.returning {
		// The unmet demand of others counts even while slots are free: the slots were given back
		// for them.
		target = min(target, r.fairShare(v, portion, want))
	}
	// A lowered limit leaves a deficit, which each member covers in proportion to its portion.
	if deficit := -v.root.Free; deficit > 0 {
		target = min(target, current-(current*deficit+v.root.Limit+deficit-1)/max(1, v.root.Limit+deficit))
	}
	d.startLimit = max(0, target)
	// A running request keeps its slot, so a portion never falls below the number of requests
	// that run within it.
	target = max(target, min(current, r.demand.running))
	if target > current {
		target = min(target, current+v.moveToZone(r.zone, target-current))
	}
	portion.Slots = target
	switch change := max(want-portion.Want, portion.Want-want); {
	case !exhausted && target >= want || want == 0:
		portion.Want = 0
	case portion.Want == 0 || change > portion.Want/4: // a small change is not worth a write
		portion.Want = want
	}
	z.setPortion(portion)
	v.coverDeficit()
	d.portion = target
	return d
}

// applyLimit copies the limit of a newer configuration to the root row. The version is stored
// even if the limit is the same, so that a member with an older configuration can't restore an
// older limit.
func (v *limitView) applyLimit(limit fleet.Slots, config fleet.Version) {
	if v.rootVersion != 0 && config <= v.root.Config {
		return
	}
	v.root.Free += limit - v.root.Limit
	v.root.Limit, v.root.Config = limit, config
}

// reclaim returns the portions of dead processes to the remainder of their zone. It returns the
// checks that this needs.
func (r limitRound) reclaim(v *limitView) (checks []Check) {
	for _, id := range v.zoneIDs() {
		z := v.zones[id]
		for _, p := range z.Portions {
			in := incarnation{p.Member, p.Epoch}
			if in == r.self {
				continue
			}
			if check, ok := r.reclaimCheck(in); ok {
				checks = append(checks, check)
				z.setPortion(limitPortion{Member: p.Member, Epoch: p.Epoch})
			}
		}
	}
	return checks
}

// fairShare returns the member's share of its zone in proportion to demand. If the rows of all
// zones were read, the zone's share of the limit is in proportion to the demand of all zones.
func (r limitRound) fairShare(v *limitView, portion limitPortion, want fleet.Slots) fleet.Slots {
	z := v.zones[r.zone]
	slots, zoneWant := z.total()
	slots += max(0, v.root.Free)
	zoneWant += want - max(portion.Want, portion.Slots)
	if r.allZonesRead {
		totalWant := zoneWant
		for id, other := range v.zones {
			if id != r.zone {
				_, w := other.total()
				totalWant += w
			}
		}
		slots = v.root.Limit * zoneWant / max(1, totalWant)
	}
	if zoneWant <= slots {
		return want
	}
	return max(1, slots*want/max(1, zoneWant))
}

// moveToZone moves up to n slots into the remainder of a zone, from the root row and then from
// the remainders of other zones. It returns how many of the n slots the zone can give.
func (v *limitView) moveToZone(zone fleet.ZoneID, n fleet.Slots) fleet.Slots {
	z := v.zones[zone]
	moveFrom := func(from *fleet.Slots) {
		if k := min(n-z.Free, *from); k > 0 {
			*from -= k
			z.Free += k
		}
	}
	moveFrom(&v.root.Free)
	for _, id := range v.zoneIDs() {
		if id != zone {
			moveFrom(&v.zones[id].Free)
		}
	}
	return max(0, min(n, z.Free))
}

// coverDeficit covers a negative remainder of the root row, left by a lowered limit, from the
// remainders of zones.
func (v *limitView) coverDeficit() {
	for _, id := range v.zoneIDs() {
		z := v.zones[id]
		if k := min(z.Free, -v.root.Free); k > 0 {
			z.Free -= k
			v.root.Free += k
		}
	}
}
