package caller

import (
	"cmp"
	"slices"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
)

// TeamLoad is what one team has at one member in one pool.
type TeamLoad struct {
	Running fleet.Slots
	Waiting int
}

func (l TeamLoad) demand() int64 { return int64(l.Running) + int64(l.Waiting) }

// Load is the load summary of one member for one pool.
type Load struct {
	InFlight fleet.Slots // of all teams
	Teams    map[fleet.TeamID]TeamLoad
	Oldest   clock.Millis // longest wait among the requests that are next in their team
	Finished uint64       // requests that ended after they ran, since the member started
	Refused  uint64       // requests refused for lack of room or time, since the member started
}

// PeerLoad is the newest load summary of another member.
type PeerLoad struct {
	Member fleet.MemberID
	Load   Load
	Age    clock.Millis // since the summary arrived
}

// View is what a member knows about the use of one pool.
type View struct {
	Slots   fleet.Slots    // of the whole pool
	Members int            // known members, with this one; 0 means 1
	Self    fleet.MemberID // this member
	Own     Load           // the summary that this member last sent to its peers
	Peers   []PeerLoad
}

// maxLoadAge is the age from which a load summary is no news any more.
const maxLoadAge clock.Millis = 3_000

// division is the outcome of dividing a pool among its members and teams.
type division struct {
	portion fleet.Slots
	scaled  bool                      // whether weights are scaled by others
	own     map[fleet.TeamID]TeamLoad // as this member last sent it
	others  map[fleet.TeamID]float64  // requests of a team that wait at the other members
}

type memberLoad struct {
	id     fleet.MemberID
	load   Load
	target int64 // in micro-slots
	slots  fleet.Slots
}

// microSlots divides a slot. Sums over members and teams are taken in whole micro-slots, so that
// all members compute the same, in whichever order they visit them.
const microSlots = 1_000_000

// divide computes this member's portion of a pool. Members with equal views of each other
// compute portions that add up to at most the pool's slots: this is the one place that
// enforces it. A peer without news keeps an even part; without any news the pool is divided
// evenly.
func divide(v View, share func(fleet.TeamID) float64) division {
	members := max(1, v.Members)
	slots := max(0, v.Slots)
	if members == 1 && len(v.Peers) == 0 {
		return division{portion: slots}
	}
	fresh := []*memberLoad{{id: v.Self, load: v.Own}}
	for _, p := range v.Peers {
		if p.Age <= maxLoadAge {
			fresh = append(fresh, &memberLoad{id: p.Member, load: p.Load})
		}
	}
	even := slots / fleet.Slots(members)
	if len(fresh) == 1 {
		// A member that hears nobody still serves: one slot is less harm than none, and the
		// targets' guards refuse what is too much.
		return division{portion: min(slots, max(1, even))}
	}
	slots -= even * fleet.Slots(max(0, members-len(fresh)))
	d := division{scaled: true, own: v.Own.Teams, others: map[fleet.TeamID]float64{}}
	for _, m := range fresh[1:] {
		for id, t := range m.load.Teams {
			d.others[id] += float64(t.Waiting)
		}
	}
	assign(fresh, slots, share)
	d.portion = fresh[0].slots
	return d
}

// assign divides slots among members so that teams get their shares: each team's demand is
// filled up to a common level of its share, and its part goes to the members where the demand
// is. What is left over is divided evenly.
func assign(members []*memberLoad, slots fleet.Slots, share func(fleet.TeamID) float64) {
	demand := map[fleet.TeamID]int64{}
	for _, m := range members {
		for id, t := range m.load.Teams {
			demand[id] += t.demand()
		}
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b *memberLoad) int { return strings.Compare(string(a.id), string(b.id)) })
	parts, rest := fill(demand, slots, share)
	for _, m := range order {
		m.target = rest / int64(len(order))
		for id, t := range m.load.Teams {
			if t.demand() > 0 {
				m.target += parts[id] * t.demand() / demand[id]
			}
		}
	}
	round(order, slots)
	hold(order, slots)
}

// fill gives each team the smaller of its demand and a common level of its share, so that all
// slots are given out or all demand is met. It returns the parts and what is left over, in
// micro-slots.
func fill(demand map[fleet.TeamID]int64, slots fleet.Slots, share func(fleet.TeamID) float64) (parts map[fleet.TeamID]int64, rest int64) {
	type team struct {
		id           fleet.TeamID
		want, weight float64
	}
	teams := make([]team, 0, len(demand))
	for id, n := range demand {
		teams = append(teams, team{id, float64(n), share(id)})
	}
	slices.SortFunc(teams, func(a, b team) int {
		return cmp.Or(cmp.Compare(a.want/a.weight, b.want/b.weight), cmp.Compare(a.id, b.id))
	})
	left, weights := float64(slots), 0.0
	for _, t := range teams {
		weights += t.weight
	}
	parts = make(map[fleet.TeamID]int64, len(teams))
	for _, t := range teams {
		part := min(t.want, left*t.weight/weights)
		parts[t.id] = int64(part * microSlots)
		left -= part
		weights -= t.weight
	}
	return parts, int64(max(0, left) * microSlots)
}

// hold takes slots back from members that could grow while others still have more running than
// their new portion, so that the requests in flight add up to at most slots, too.
func hold(members []*memberLoad, slots fleet.Slots) {
	over := -slots
	for _, m := range members {
		over += max(m.slots, m.load.InFlight)
	}
	for ; over > 0; over-- {
		most := slices.MaxFunc(members, func(a, b *memberLoad) int {
			return cmp.Compare(a.slots-a.load.InFlight, b.slots-b.load.InFlight)
		})
		if most.slots <= most.load.InFlight {
			return
		}
		most.slots--
	}
}

// round turns targets into whole slots that add up to at most slots. Each member gets one
// before any gets more than its target, so that new demand need not wait for the next load
// summary; where there are fewer slots than members, those that wait longest come first.
func round(members []*memberLoad, slots fleet.Slots) {
	left := slots
	for _, m := range members {
		// What is rounded off must not cost a whole slot.
		m.slots = fleet.Slots((m.target + microSlots/1000) / microSlots)
		left -= m.slots
	}
	byWait := slices.Clone(members)
	slices.SortStableFunc(byWait, func(a, b *memberLoad) int { return cmp.Compare(b.load.Oldest, a.load.Oldest) })
	for _, m := range byWait {
		if m.slots > 0 {
			continue
		}
		if left > 0 {
			m.slots, left = 1, left-1
			continue
		}
		most := slices.MaxFunc(members, func(a, b *memberLoad) int { return cmp.Compare(a.slots, b.slots) })
		if most.slots > 1 {
			most.slots--
			m.slots = 1
		}
	}
	byRest := slices.Clone(members)
	slices.SortStableFunc(byRest, func(a, b *memberLoad) int {
		return cmp.Compare(b.target-int64(b.slots)*microSlots, a.target-int64(a.slots)*microSlots)
	})
	for i := 0; left > 0; i++ {
		byRest[i%len(byRest)].slots++
		left--
	}
}
