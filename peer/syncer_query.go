package peer

import (
	"maps"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// MemberLoad is the load of another member on one pool.
type MemberLoad struct {
	Member fleet.MemberID
	Zone   fleet.ZoneID
	Age    clock.Millis // since the member made the summary, without the time in transit
	PoolLoad
}

// Loads returns the load of the other members on a pool, of all with news within 3 s (7 s at
// 150 members). A member without load on the pool has a zero load.
func (s *Syncer) Loads(pool fleet.PoolID) []MemberLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []MemberLoad
	for _, sum := range s.loads.Live(s.Clock.Now()) {
		if sum.Member != s.Self {
			out = append(out, MemberLoad{Member: sum.Member, Zone: sum.Zone, Age: sum.Age, PoolLoad: sum.Pools[pool]})
		}
	}
	return out
}

// OwnLoad returns the load of this member on a pool as its peers know it.
func (s *Syncer) OwnLoad(pool fleet.PoolID) PoolLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, _ := s.loads.Get(s.Self, s.Clock.Now())
	return sum.Pools[pool]
}

// Summaries returns the newest load summary of each member with news, with this one.
func (s *Syncer) Summaries() []Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads.Live(s.Clock.Now())
}

// WaitingElsewhere returns the teams that have requests waiting at other members, in any pool.
func (s *Syncer) WaitingElsewhere() map[fleet.TeamID]int {
	out := map[fleet.TeamID]int{}
	for _, sum := range s.Summaries() {
		if sum.Member == s.Self {
			continue
		}
		for _, p := range sum.Pools {
			for t, l := range p.Teams {
				if l.Waiting > 0 {
					out[t] += l.Waiting
				}
			}
		}
	}
	return out
}

// LiveByZone returns the number of members of each zone with news within 3 s (7 s at
// 150 members), with this one.
func (s *Syncer) LiveByZone() map[fleet.ZoneID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[fleet.ZoneID]int{s.Zone: 1}
	for _, sum := range s.loads.Live(s.Clock.Now()) {
		if sum.Member != s.Self {
			out[sum.Zone]++
		}
	}
	return out
}

// Confirmed returns the assignment version of a zone that each of its other members has said
// to hold. A member that restarts is taken back when its first summary arrives; until then the
// rule that a starting member reads its zone's assignment before it routes keeps hand-overs
// safe.
func (s *Syncer) Confirmed(zone fleet.ZoneID) map[fleet.MemberID]fleet.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.confirms[zone])
}

// vector returns the vector of this member.
func (s *Syncer) vector() Vector {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Vector{Config: s.Follower.held(), Zones: s.Assignments.Versions(), Loads: s.loads.Stamps()}
}

// peers returns the other members that are not gone.
func (s *Syncer) peers() map[fleet.MemberID]Member {
	out := map[fleet.MemberID]Member{}
	for _, m := range s.Members().Members {
		if m.ID != s.Self && !m.Gone {
			out[m.ID] = m
		}
	}
	return out
}

func ids(members map[fleet.MemberID]Member) []fleet.MemberID {
	return slices.Sorted(maps.Keys(members))
}

// itemsFor returns the items that a peer wants and this member holds.
func (s *Syncer) itemsFor(w Wants) Items {
	var out Items
	if w.NotesTo > w.NotesAfter {
		out.Notes = s.Follower.NotesAfter(w.NotesAfter, maxNotes)
	}
	s.mu.Lock()
	for id, v := range w.Zones {
		if c, ok := s.history.change(id, v); ok {
			out.Assignments = append(out.Assignments, c)
		}
	}
	s.mu.Unlock()
	if len(w.Loads) > 0 {
		stamps := make(map[fleet.MemberID]Stamp, len(w.Loads))
		for _, id := range w.Loads {
			stamps[id] = Stamp{}
		}
		out.Loads = s.loadsOf(stamps)
	}
	return out
}

// loadsOf returns the summaries held of some members, at most maxLoads.
func (s *Syncer) loadsOf(of map[fleet.MemberID]Stamp) []Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Summary
	for id := range of {
		if sum, ok := s.loads.Get(id, s.Clock.Now()); ok && len(out) < maxLoads {
			out = append(out, sum)
		}
	}
	return out
}

func (s *Syncer) ownLoad() []Summary {
	return s.loadsOf(map[fleet.MemberID]Stamp{s.Self: {}})
}

// Dump is the state of a syncer for the state dump of the process. It holds no credential.
type Dump struct {
	Config    uint64              `json:"config"`
	Zones     map[string]uint64   `json:"zones"`
	Loads     map[string]DumpLoad `json:"loads"`
	Statement DumpStatement       `json:"statement"`
	Notes     int                 `json:"notes_kept"`
}

// DumpLoad is what is known of the load of one member.
type DumpLoad struct {
	Zone  string `json:"zone"`
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
	AgeMS int64  `json:"age_ms"`
	Pools int    `json:"pools"`
}

// DumpStatement is what the member says of its configuration.
type DumpStatement struct {
	Held      uint64 `json:"held"`
	Reaches   bool   `json:"reaches_table_service"`
	Accepting bool   `json:"accepting"`
	Confirmed bool   `json:"confirmed"`
	AgeMS     int64  `json:"age_ms"`
}

// Dump returns the state of the syncer.
func (s *Syncer) Dump() Dump {
	own := s.vector()
	st := s.Follower.Statement()
	d := Dump{
		Config: uint64(own.Config), Zones: encodeVersions(own.Zones), Loads: map[string]DumpLoad{},
		Statement: DumpStatement{
			Held: uint64(st.Held), Reaches: st.Reaches, Accepting: st.Accepting, Confirmed: st.Confirmed, AgeMS: int64(st.Age),
		},
		Notes: s.Follower.KeptNotes(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sum := range s.loads.Live(s.Clock.Now()) {
		d.Loads[string(sum.Member)] = DumpLoad{
			Zone: string(sum.Zone), Epoch: sum.Stamp.Epoch, Seq: sum.Stamp.Seq, AgeMS: int64(sum.Age), Pools: len(sum.Pools),
		}
	}
	return d
}
