package rowstore

import (
	"hash/maphash"
	"log/slog"
	"sync"
	"sync/atomic"

	"citronknot/clock"
	"citronknot/fleet"
)

// EscrowEvery is the time between two rounds of rebalancing.
const EscrowEvery clock.Millis = 2000

// escrowShards is the number of locks among which the teams are divided.
const escrowShards = 64

// Escrow holds this member's portions of the teams' limits. It alone keeps a team within its
// limit: the portions of all members never add up to more than the limit, and a request starts
// only within the portion.
//
// Every team of the configuration has a limit; a team with a limit of 0 can run nothing. The
// empty team, which stands for the callers of open queues, has no limit.
type Escrow struct {
	Table   *Table
	Clock   clock.Clock
	Members *Members
	Zone    fleet.ZoneID
	Config  func() *fleet.Config
	// Waiting returns the number of a team's requests that wait at this member. It bounds the
	// demand: one waiting request can be refused many times in a round. Nil means that the
	// number is not known.
	Waiting func(fleet.TeamID) int
	Log     *slog.Logger // nil logs nothing

	shards  [escrowShards]escrowShard
	stopped atomic.Bool

	roundMu         sync.Mutex   // held during a round
	longestDeadline clock.Millis // the longest hard deadline seen in any configuration
}

type escrowShard struct {
	mu    sync.Mutex
	teams map[fleet.TeamID]*teamPortion
	_     [48]byte // puts each shard on its own cache line
}

// teamPortion is this member's portion of one team's limit.
type teamPortion struct {
	demand
	portion     fleet.Slots // requests that may run; never more than the row in the table allows
	startLimit  fleet.Slots // bounds new starts while the portion is being lowered
	expirations uint64      // Renewal.Expirations when the portion was read
	rowRead     bool        // the row was read

	// The row as last read or written. Only rounds use these fields.
	rowSlots fleet.Slots
	rowWant  fleet.Slots
	// unconfirmed means that a write under the row version unconfirmedVersion has an unknown
	// outcome. While the row still has that version, the write can take effect later.
	unconfirmed        bool
	unconfirmedVersion fleet.Version
}

var escrowSeed = maphash.MakeSeed()

func (e *Escrow) shard(t fleet.TeamID) *escrowShard {
	return &e.shards[maphash.String(escrowSeed, string(t))%escrowShards]
}

// TryStart counts one more running request of a team if its portion allows it and the term of
// this member has not ended. It reports whether the request may start.
func (e *Escrow) TryStart(t fleet.TeamID) bool {
	if t == "" {
		return true
	}
	renewal := e.Members.renewal.Load()
	live := e.Members.live(renewal) && !e.stopped.Load()
	s := e.shard(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.teams[t]
	if p == nil {
		if p = e.addTeam(s, t); p == nil {
			return false
		}
	}
	if !live || !p.rowRead || p.expirations != renewal.Expirations || p.running >= min(p.portion, p.startLimit) {
		p.denied++
		return false
	}
	p.running++
	p.peak = max(p.peak, p.running)
	return true
}

// addTeam adds the entry of a team if the configuration has the team, and returns nil otherwise.
// s.mu is held.
func (e *Escrow) addTeam(s *escrowShard, t fleet.TeamID) *teamPortion {
	if _, ok := e.Config().Teams[t]; !ok {
		return nil
	}
	if s.teams == nil {
		s.teams = map[fleet.TeamID]*teamPortion{}
	}
	p := &teamPortion{}
	s.teams[t] = p
	return p
}

// Finish ends a request that a successful TryStart counted as running.
func (e *Escrow) Finish(t fleet.TeamID) {
	if t == "" {
		return
	}
	s := e.shard(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.teams[t]; p != nil && p.running > 0 {
		p.running--
	}
}

// Portion is this member's portion of one team's limit.
type Portion struct {
	Slots   fleet.Slots
	Running fleet.Slots
	Valid   bool // requests may start within it now
}

// Portions returns the portions of this member by team.
func (e *Escrow) Portions() map[fleet.TeamID]Portion {
	renewal := e.Members.renewal.Load()
	live := e.Members.live(renewal) && !e.stopped.Load()
	portions := map[fleet.TeamID]Portion{}
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for t, p := range s.teams {
			portions[t] = Portion{Slots: p.portion, Running: p.running, Valid: live && p.rowRead && p.expirations == renewal.Expirations}
		}
		s.mu.Unlock()
	}
	return portions
}
