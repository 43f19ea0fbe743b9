package caller

import (
	"cmp"
	"slices"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
)

// TeamLoad is the load of one team at one member in one pool, in requests.
type TeamLoad struct {
	Running fleet.Slots
	Waiting int
}

// demand returns the number of slots that the team could use.
func (l TeamLoad) demand() int64 { return int64(l.Running) + int64(l.Waiting) }

// Load is the load summary of one member for one pool.
type Load struct {
	InFlight    fleet.Slots // running requests of all teams
	Teams       map[fleet.TeamID]TeamLoad
	LongestWait clock.Millis // longest wait among the requests that are next in their team
	// Finished is the number of requests that ended with the outcome ran or unknown since the
	// member started.
	Finished uint64
	// Refused is the number of requests refused since the member started because a queue was
	// full or a deadline could not be met.
	Refused uint64
}

// PeerLoad is the newest load summary of another member.
type PeerLoad struct {
	Member fleet.MemberID
	Load   Load
	Age    clock.Millis // time since the summary arrived
}

// View is a member's information about the load of one pool.
type View struct {
	Slots   fleet.Slots    // slots of the whole pool
	Members int            // number of known members, including this one; 0 means 1
	Self    fleet.MemberID // this member
	Own     Load           // the summary that this member last sent to its peers
	Peers   []PeerLoad
}

// maxLoadAge is the age up to which a load summary is used. The member of an older summary counts
// as unresponsive.
const maxLoadAge clock.Millis = 3_000

// division is the result of dividing the slots of a pool among its members and teams.
type division struct {
	portion          fleet.Slots               // of this member
	scaleWeights     bool                      // see Scheduler.weight
	ownTeams         map[fleet.TeamID]TeamLoad // loads in the summary that this member last sent
	waitingElsewhere map[fleet.TeamID]float64  // requests of each team that wait at the other members
}

// memberLoad is one member in the division of a pool.
type memberLoad struct {
	id              fleet.MemberID
	load            Load
	idealMicroSlots int64 // the slots of the member before rounding to whole slots
	slots           fleet.Slots
}

// microSlotsPerSlot is the number of micro-slots in a slot. Sums over members and teams are taken
// in whole micro-slots, so that all members compute the same result, whatever the order of
// iteration.
const microSlotsPerSlot = 1_000_000

// divide computes this member's portion of a pool. Members with equal views of each other compute
// portions that add up to at most the pool's slots; no other function enforces this. A peer
// without a current load summary keeps an even portion. Without a current summary of any peer the
// pool is divided evenly.
func divide(v View, share func(fleet.TeamID) float64) division {
	members := max(1, v.Members)
	slots := max(0, v.Slots)
	if members == 1 && len(v.Peers) == 0 {
		return division{portion: slots}
	}
	current := []*memberLoad{{id: v.Self, load: v.Own}}
	for _, p := range v.Peers {
		if p.Age <= maxLoadAge {
			current = append(current, &memberLoad{id: p.Member, load: p.Load})
		}
	}
	evenPortion := slots / fleet.Slots(members)
	if len(current) == 1 {
		// A member that receives no summaries still serves requests: one slot above the limit
		// does less harm than a member without slots, and the guards of the targets refuse
		// requests above their limits.
		return division{portion: min(slots, max(1, evenPortion))}
	}
	slots -= evenPortion * fleet.Slots(max(0, members-len(current)))
	d := division{scaleWeights: true, ownTeams: v.Own.Teams, waitingElsewhere: map[fleet.TeamID]float64{}}
	for _, m := range current[1:] {
		for id, t := range m.load.Teams {
			d.waitingElsewhere[id] += float64(t.Waiting)
		}
	}
	assign(current, slots, share)
	d.portion = current[0].slots
	return d
}

// assign divides slots among members so that teams get their shares. It allocates slots to teams
// by maxMinFair, and divides a team's slots among the members in proportion to the team's demand
// there. The slots that are left over are divided evenly.
func assign(members []*memberLoad, slots fleet.Slots, share func(fleet.TeamID) float64) {
	demand := map[fleet.TeamID]int64{}
	for _, m := range members {
		for id, t := range m.load.Teams {
			demand[id] += t.demand()
		}
	}
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b *memberLoad) int { return strings.Compare(string(a.id), string(b.id)) })
	allocations, leftover := maxMinFair(demand, slots, share)
	for _, m := range sorted {
		m.idealMicroSlots = leftover / int64(len(sorted))
		for id, t := range m.load.Teams {
			if t.demand() > 0 {
				m.idealMicroSlots += allocations[id] * t.demand() / demand[id]
			}
		}
	}
	roundToSlots(sorted, slots)
	reclaimIdleSlots(sorted, slots)
}

// maxMinFair allocates slots to teams by weighted max-min fairness: each team gets its demand, or
// its share times a common level if that is less, so that all slots are allocated or all demand
// is met. It returns the allocations and the remainder, in micro-slots.
func maxMinFair(demand map[fleet.TeamID]int64, slots fleet.Slots, share func(fleet.TeamID) float64) (allocations map[fleet.TeamID]int64, leftover int64) {
	type team struct {
		id             fleet.TeamID
		demand, weight float64
	}
	teams := make([]team, 0, len(demand))
	for id, n := range demand {
		teams = append(teams, team{id, float64(n), share(id)})
	}
	slices.SortFunc(teams, func(a, b team) int {
		return cmp.Or(cmp.Compare(a.demand/a.weight, b.demand/b.weight), cmp.Compare(a.id, b.id))
	})
	remaining, totalWeight := float64(slots), 0.0
	for _, t := range teams {
		totalWeight += t.weight
	}
	allocations = make(map[fleet.TeamID]int64, len(teams))
	for _, t := range teams {
		allocation := min(t.demand, remaining*t.weight/totalWeight)
		allocations[t.id] = int64(allocation * microSlotsPerSlot)
		remaining -= allocation
		totalWeight -= t.weight
	}
	return allocations, int64(max(0, remaining) * microSlotsPerSlot)
}

// reclaimIdleSlots takes slots back from members that could start more requests while other
// members have more running than their new portion, so that the requests in flight also add up to
// at most slots.
func reclaimIdleSlots(members []*memberLoad, slots fleet.Slots) {
	excess := -slots
	for _, m := range members {
		excess += max(m.slots, m.load.InFlight)
	}
	for ; excess > 0; excess-- {
		mostIdle := slices.MaxFunc(members, func(a, b *memberLoad) int {
			return cmp.Compare(a.slots-a.load.InFlight, b.slots-b.load.InFlight)
		})
		if mostIdle.slots <= mostIdle.load.InFlight {
			return
		}
		mostIdle.slots--
	}
}

// roundToSlots rounds the ideal micro-slots of the members to whole slots that add up to at most
// slots. Each member gets one slot before any member gets more than its ideal, so that new demand
// need not wait for the next load summary. If there are fewer slots than members, the members
// with the longest wait come first.
func roundToSlots(members []*memberLoad, slots fleet.Slots) {
	remaining := slots
	for _, m := range members {
		// The tolerance keeps a rounding error of earlier steps from costing a whole slot.
		m.slots = fleet.Slots((m.idealMicroSlots + microSlotsPerSlot/1000) / microSlotsPerSlot)
		remaining -= m.slots
	}
	byWait := slices.Clone(members)
	slices.SortStableFunc(byWait, func(a, b *memberLoad) int { return cmp.Compare(b.load.LongestWait, a.load.LongestWait) })
	for _, m := range byWait {
		if m.slots > 0 {
			continue
		}
		if remaining > 0 {
			m.slots, remaining = 1, remaining-1
			continue
		}
		largest := slices.MaxFunc(members, func(a, b *memberLoad) int { return cmp.Compare(a.slots, b.slots) })
		if largest.slots > 1 {
			largest.slots--
			m.slots = 1
		}
	}
	byRemainder := slices.Clone(members)
	slices.SortStableFunc(byRemainder, func(a, b *memberLoad) int {
		return cmp.Compare(b.idealMicroSlots-int64(b.slots)*microSlotsPerSlot, a.idealMicroSlots-int64(a.slots)*microSlotsPerSlot)
	})
	for i := 0; remaining > 0; i++ {
		byRemainder[i%len(byRemainder)].slots++
		remaining--
	}
}
