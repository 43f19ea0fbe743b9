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

const escrowShards = 64

// Escrow holds this member's portions of the teams' limits. It is the one place that keeps a
// team within its limit: over all members the portions never add up to more, and a request
// starts only within the portion.
//
// Every team of the configuration has a limit; 0 lets it run nothing. The empty team, of
// callers of open queues, has none.
type Escrow struct {
	Table   *Table
	Clock   clock.Clock
	Members *Members
	Zone    fleet.ZoneID
	Config  func() *fleet.Config
	// Waiting returns the requests of a team that wait at this member. It bounds the demand: one
	// waiting request can be denied many times in a round. Nil means that it is not known.
	Waiting func(fleet.TeamID) int
	Log     *slog.Logger // nil logs nothing

	shards  [escrowShards]escrowShard
	stopped atomic.Bool

	round   sync.Mutex   // held during a round
	longest clock.Millis // the longest hard deadline seen in any configuration
}

type escrowShard struct {
	mu    sync.Mutex
	teams map[fleet.TeamID]*teamPortion
	_     [48]byte // keeps shards on cache lines of their own
}

// teamPortion is a member's portion of one team.
type teamPortion struct {
	demand
	portion fleet.Slots // what may run; never more than the table says
	start   fleet.Slots // bounds new starts while the portion is being lowered
	lapses  uint64      // the registration that the portion is from; see Renewal
	known   bool        // the row was read

	// The state of the row, used by rounds only.
	inTable fleet.Slots
	want    fleet.Slots
	// doubted means that a write under the row version doubtAt had no clear answer. While the
	// row still has that version, the write can take effect later.
	doubted bool
	doubtAt fleet.Version
}

var escrowSeed = maphash.MakeSeed()

func (e *Escrow) shard(t fleet.TeamID) *escrowShard {
	return &e.shards[maphash.String(escrowSeed, string(t))%escrowShards]
}

// TryStart counts one more running request of a team if its portion allows it and the term
// of this member has not ended.
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
		if p = e.add(s, t); p == nil {
			return false
		}
	}
	if !live || !p.known || p.lapses != renewal.Lapses || p.running >= min(p.portion, p.start) {
		p.denied++
		return false
	}
	p.running++
	p.peak = max(p.peak, p.running)
	return true
}

// add makes the entry of a team that the configuration has. The shard is locked.
func (e *Escrow) add(s *escrowShard, t fleet.TeamID) *teamPortion {
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

// Finish takes back what a successful TryStart counted.
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

// Portion is what a member holds of one team's limit.
type Portion struct {
	Slots   fleet.Slots
	Running fleet.Slots
	Valid   bool // requests may start within it now
}

// Portions returns the portions of this member.
func (e *Escrow) Portions() map[fleet.TeamID]Portion {
	renewal := e.Members.renewal.Load()
	live := e.Members.live(renewal) && !e.stopped.Load()
	out := map[fleet.TeamID]Portion{}
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for t, p := range s.teams {
			out[t] = Portion{Slots: p.portion, Running: p.running, Valid: live && p.known && p.lapses == renewal.Lapses}
		}
		s.mu.Unlock()
	}
	return out
}
