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
	Age    clock.Millis // time since the member published the summary, without the time in transit
	PoolLoad
}

// Loads returns the load on a pool of each other member from which a newer load summary arrived
// within the last 3 s (7 s at 150 members). A member without load on the pool has a zero load.
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

// OwnLoad returns the load of this member on a pool as last published to its peers.
func (s *Syncer) OwnLoad(pool fleet.PoolID) PoolLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, _ := s.loads.Get(s.Self, s.Clock.Now())
	return sum.Pools[pool]
}

// Summaries returns the load summary of each member, including this one, except expired
// summaries.
func (s *Syncer) Summaries() []Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads.Live(s.Clock.Now())
}

// WaitingAtPeers returns the number of requests that wait at other members, in all pools, for
// each team that has any.
func (s *Syncer) WaitingAtPeers() map[fleet.TeamID]int {
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

// LiveMembersByZone returns the number of members in each zone, including this one, from which a newer
// load summary arrived within the last 3 s (7 s at 150 members).
func (s *Syncer) LiveMembersByZone() map[fleet.ZoneID]int {
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

// ConfirmedVersions returns, for each other member of a zone, the newest version of the zone's
// assignment that the member has reported to use. The version of a restarted member is reset
// when its first summary arrives. Until then handovers are safe because a starting member reads
// its zone's assignment before it routes.
func (s *Syncer) ConfirmedVersions(zone fleet.ZoneID) map[fleet.MemberID]fleet.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.confirmedVersions[zone])
}

// vector returns the current state vector of this member.
func (s *Syncer) vector() Vector {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Vector{Config: s.Follower.appliedVersion(), Zones: s.Assignments.Versions(), Loads: s.loads.Stamps()}
}

// peers returns the other registered members that are not gone.
func (s *Syncer) peers() map[fleet.MemberID]Member {
	out := map[fleet.MemberID]Member{}
	for _, m := range s.Members().Members {
		if m.ID != s.Self && !m.Gone {
			out[m.ID] = m
		}
	}
	return out
}

func sortedIDs(members map[fleet.MemberID]Member) []fleet.MemberID {
	return slices.Sorted(maps.Keys(members))
}

// itemsFor returns the requested items that this member has.
func (s *Syncer) itemsFor(w ItemRequest) Items {
	var out Items
	if w.NotesTo > w.NotesAfter {
		out.Notes = s.Follower.NotesAfter(w.NotesAfter, maxMessageNotes)
	}
	s.mu.Lock()
	for id, v := range w.Zones {
		if c, ok := s.assignmentHistory.changeSince(id, v); ok {
			out.Assignments = append(out.Assignments, c)
		}
	}
	s.mu.Unlock()
	if len(w.Loads) > 0 {
		stamps := make(map[fleet.MemberID]Stamp, len(w.Loads))
		for _, id := range w.Loads {
			stamps[id] = Stamp{}
		}
		out.Loads = s.summariesOf(stamps)
	}
	return out
}

// summariesOf returns the summaries that this member has of the given members, at most
// maxMessageLoads.
func (s *Syncer) summariesOf(members map[fleet.MemberID]Stamp) []Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Summary
	for id := range members {
		if sum, ok := s.loads.Get(id, s.Clock.Now()); ok && len(out) < maxMessageLoads {
			out = append(out, sum)
		}
	}
	return out
}

func (s *Syncer) ownSummary() []Summary {
	return s.summariesOf(map[fleet.MemberID]Stamp{s.Self: {}})
}

// Dump is the state of a syncer in the state dump of the process. It holds no credentials.
type Dump struct {
	Config    uint64              `json:"config"`
	Zones     map[string]uint64   `json:"zones"`
	Loads     map[string]DumpLoad `json:"loads"`
	Statement DumpConfigStatus    `json:"statement"`
	Notes     int                 `json:"notes_kept"`
}

// DumpLoad describes the load summary of one member.
type DumpLoad struct {
	Zone  string `json:"zone"`
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
	AgeMS int64  `json:"age_ms"`
	Pools int    `json:"pools"`
}

// DumpConfigStatus is the configuration status that the member reports to its peers.
type DumpConfigStatus struct {
	Held      uint64 `json:"held"`                  // newest version that the member has recorded as accepted
	Reaches   bool   `json:"reaches_table_service"` // the last read of the table service succeeded
	Accepting bool   `json:"accepting"`             // a submitted change can still take effect
	Confirmed bool   `json:"confirmed"`             // AgeMS is set
	AgeMS     int64  `json:"age_ms"`                // age of the last confirmation
}

// Dump returns the current state of the syncer.
func (s *Syncer) Dump() Dump {
	own := s.vector()
	status := s.Follower.Status()
	d := Dump{
		Config: uint64(own.Config), Zones: encodeVersions(own.Zones), Loads: map[string]DumpLoad{},
		Statement: DumpConfigStatus{
			Held: uint64(status.NewestVersion), Reaches: status.TableReachable, Accepting: status.SubmissionPending, Confirmed: status.Confirmed, AgeMS: int64(status.ConfirmationAge),
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
