package peer

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// maxCalls bounds the exchanges that a member has under way.
	maxCalls = 16
	// maxLegs bounds the messages of one exchange: 1 for the vectors, 3 with up to 100 notes each.
	maxLegs = 4
	// roundAfter is the age of the configuration from which a member that does not reach the
	// table service looks for a confirmation: it asks askExtra more peers in each tick, and
	// starts a round with a probability that lets roundStarts members start one in each tick.
	// The others get the confirmation from them; rounds of all members would be 22,000 messages
	// a second at 150 members.
	roundAfter  clock.Millis = 1000
	askExtra    int          = 2
	roundStarts int          = 3
	// roundBound ends a round well before the configuration is 3 s old.
	roundBound clock.Millis = 1500
)

// Syncer keeps configuration, assignments and load summaries in step with the other members.
// All fields but Load must be set before Run.
type Syncer struct {
	Self        fleet.MemberID
	Zone        fleet.ZoneID
	Epoch       uint64 // higher after each start of this member; not 0
	Clock       clock.Clock
	Logger      *slog.Logger
	Follower    *Follower
	Assignments *fleet.Assignments
	// Members returns the members registered in the table service. A list is acknowledged in the
	// table service only after Members returns it.
	Members func() Roster
	// Load returns the load of this member on the pools with load. Nil means none.
	Load func() map[fleet.PoolID]PoolLoad
	// Targets returns the requests of this member in flight on each target. Nil means none.
	Targets func() map[fleet.InstanceID]int
	// Call sends a message to a member and returns the answer, as [Client.Call].
	Call func(context.Context, Member, Message) (Message, error)

	ticks int // counted by Run

	once    sync.Once
	changed chan struct{}
	calls   chan struct{} // holds a token for each exchange under way
	work    sync.WaitGroup

	mu        sync.Mutex // guards what follows
	schedule  Schedule
	loads     Loads
	history   assignmentHistory
	confirms  map[fleet.ZoneID]map[fleet.MemberID]fleet.Version
	routed    fleet.Version // of the own zone, held at the last summary
	epochs    map[fleet.MemberID]uint64
	seq       uint64
	published clock.Millis
	inRound   bool
}

func (s *Syncer) init() {
	s.once.Do(func() {
		s.changed = make(chan struct{}, 1)
		s.calls = make(chan struct{}, maxCalls)
		s.history = assignmentHistory{}
		s.confirms = map[fleet.ZoneID]map[fleet.MemberID]fleet.Version{}
		s.epochs = map[fleet.MemberID]uint64{}
	})
}

// Changed makes the member send its vector at once. [Follower.Changed] calls it.
func (s *Syncer) Changed() {
	s.init()
	select {
	case s.changed <- struct{}{}:
	default: // a change is already waiting to be sent
	}
}

// Publish makes a newer assignment known, which was read from or committed in the table
// service, and reports whether it was newer.
func (s *Syncer) Publish(a *fleet.Assignment) bool {
	s.init()
	s.mu.Lock()
	advanced := s.Assignments.Advance(a)
	if advanced {
		s.history.add(a)
	}
	s.mu.Unlock()
	if advanced {
		s.Changed()
	}
	return advanced
}

// Run exchanges vectors until ctx ends, and returns when all that it started has ended.
func (s *Syncer) Run(ctx context.Context) {
	s.init()
	defer s.work.Wait()
	// The exchanges of a period are spread over it: news that arrives early in a period is
	// passed on in the same period.
	ticker := time.NewTicker((Period / Fanout).Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			s.onChange(ctx)
		case <-ticker.C:
			s.onTick(ctx)
		}
	}
}

func (s *Syncer) onChange(ctx context.Context) {
	own := s.vector()
	own.Partial, own.Loads = true, nil
	peers := s.peers()
	s.mu.Lock()
	chosen := s.schedule.OnChange(own, ids(peers), rand.IntN)
	s.mu.Unlock()
	for _, id := range chosen {
		s.start(ctx, peers[id], own)
	}
}

func (s *Syncer) onTick(ctx context.Context) {
	peers := s.peers()
	now := s.Clock.Now()
	s.mu.Lock()
	s.loads.Expire(now)
	s.keepLocked(peers)
	s.loads.Silence = silentAfter(len(peers) + 1)
	due := s.seq == 0 || now-s.published >= publishEvery(len(peers)+1)
	s.mu.Unlock()
	if due {
		s.publishLoad(now)
	}
	own := s.vector()
	if s.ticks++; s.ticks%loadTicks(len(peers)+1) != 0 {
		own.Partial, own.Loads = true, nil
	}
	reaches := s.Follower.Statement().Reaches
	s.mu.Lock()
	chosen := s.schedule.OnTick(now, 1, own, !reaches, ids(peers), rand.IntN)
	s.mu.Unlock()
	for _, id := range chosen {
		s.start(ctx, peers[id], own)
	}
	s.confirm(ctx, peers)
}

// keepLocked forgets the members that are not registered any more or are gone.
func (s *Syncer) keepLocked(peers map[fleet.MemberID]Member) {
	s.schedule.Keep(ids(peers))
	absent := func(id fleet.MemberID) bool { _, ok := peers[id]; return !ok }
	maps.DeleteFunc(s.epochs, func(id fleet.MemberID, _ uint64) bool { return absent(id) })
	for _, zone := range s.confirms {
		maps.DeleteFunc(zone, func(id fleet.MemberID, _ fleet.Version) bool { return absent(id) })
	}
}

// publishLoad makes the next load summary of this member.
func (s *Syncer) publishLoad(now clock.Millis) {
	var pools map[fleet.PoolID]PoolLoad
	var targets map[fleet.InstanceID]int
	if s.Load != nil {
		pools = s.Load()
	}
	if s.Targets != nil {
		targets = s.Targets()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.published = now
	sum := Summary{Member: s.Self, Zone: s.Zone, Stamp: Stamp{Epoch: s.Epoch, Seq: s.seq}, Pools: pools, Targets: targets, Assignment: s.routed}
	// A request that was routed by the version before may be counted only from the next summary.
	if a := s.Assignments.Load(s.Zone); a != nil {
		s.routed = a.Version
	}
	s.loads.Put(sum, now)
}

// start runs one exchange, or none if too many are under way: the next tick makes up for it.
func (s *Syncer) start(ctx context.Context, to Member, own Vector) {
	select {
	case s.calls <- struct{}{}:
	default:
		return
	}
	s.work.Go(func() {
		defer func() { <-s.calls }()
		if err := s.exchange(ctx, to, own); err != nil && ctx.Err() == nil {
			s.Logger.Debug("peer: exchange failed", "member", to.ID, "err", err)
		}
	})
}

// exchange sends the vector own to a member, then what the member wants, and asks for what
// this member lacks.
func (s *Syncer) exchange(ctx context.Context, to Member, own Vector) error {
	m := Message{From: s.Self, HasVector: true, Vector: own}
	if !own.Partial {
		m.Items.Loads = s.ownLoad()
	}
	for range maxLegs {
		answer, err := s.ask(ctx, to, m)
		if err != nil {
			return err
		}
		if answer.HasVector {
			s.saw(to.ID, own, answer)
		}
		m = Message{From: s.Self, Items: s.itemsFor(answer.Wants)}
		if answer.HasVector {
			m.Wants = wantsOf(s.vector(), answer.Vector)
			own.Config = max(own.Config, answer.Vector.Config)
		} else if held := s.Follower.held(); held < own.Config && len(answer.Items.Notes) > 0 {
			m.Wants = Wants{NotesAfter: held, NotesTo: own.Config}
		}
		if m.Wants.Empty() && m.Items.Empty() {
			return nil
		}
	}
	return nil
}

// ask sends one message and takes in the answer.
func (s *Syncer) ask(ctx context.Context, to Member, m Message) (Message, error) {
	sent := s.Clock.Mark()
	answer, err := s.Call(ctx, to, m)
	if err != nil {
		return Message{}, err
	}
	if answer.From != to.ID {
		return Message{}, eris.Errorf("peer: %s answered at the address of %s", answer.From, to.ID)
	}
	s.absorb(answer)
	s.Follower.update(func(f *Freshness) { f.Asked(sent, answer.Statement, s.Follower.held()) })
	return answer, nil
}

// saw records what the answer to the vector own says of a peer's vector.
func (s *Syncer) saw(peer fleet.MemberID, own Vector, answer Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	theirs := own.Merge(answer.Vector)
	theirs.Partial = own.Partial
	if !answer.Wants.Empty() {
		return // the peer's next message says what it holds then
	}
	s.schedule.Saw(peer, theirs, s.Clock.Now())
}

// Answer returns the answer to a member's message.
func (s *Syncer) Answer(m Message) Message {
	s.init()
	s.absorb(m)
	out := Message{From: s.Self, Items: s.itemsFor(m.Wants)}
	if m.HasVector {
		own := s.vector()
		out.HasVector = true
		out.Vector = own.Ahead(m.Vector)
		out.Wants = wantsOf(own, m.Vector.Ahead(own))
		// Load summaries go with the vectors; the stamps of those sent are not needed besides.
		out.Items.Loads = s.loadsOf(out.Vector.Loads)
		out.Vector.Loads = nil
		s.mu.Lock()
		s.schedule.Saw(m.From, m.Vector, s.Clock.Now())
		s.mu.Unlock()
	}
	out.Statement = s.Follower.Statement()
	return out
}

// absorb takes in the items of a message, and what its vector says of the sender.
func (s *Syncer) absorb(m Message) {
	if len(m.Items.Notes) > 0 {
		if _, err := s.Follower.Apply(m.Items.Notes); err != nil {
			s.Logger.Warn("peer: release note not applied", "member", m.From, "err", err)
		}
	}
	for _, c := range m.Items.Assignments {
		// A change from another version is left out; the next exchange asks from the version held.
		if next, ok := s.Assignments.Load(c.Zone).Apply(c); ok {
			s.Publish(next)
		}
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sum := range m.Items.Loads {
		if sum.Member != s.Self && s.loads.Put(sum, now) {
			s.confirmLocked(sum)
		}
	}
}

// confirmLocked records the assignment version that a summary states. A restarted member
// begins anew, since it does not hold what it held before.
func (s *Syncer) confirmLocked(sum Summary) {
	zone, ok := s.confirms[sum.Zone]
	if !ok {
		zone = map[fleet.MemberID]fleet.Version{}
		s.confirms[sum.Zone] = zone
	}
	switch epoch := s.epochs[sum.Member]; {
	case sum.Stamp.Epoch < epoch:
		return
	case sum.Stamp.Epoch > epoch:
		s.epochs[sum.Member] = sum.Stamp.Epoch
		delete(zone, sum.Member)
	}
	zone[sum.Member] = max(zone[sum.Member], sum.Assignment)
}

// confirm looks for a confirmation if the table service is not reached and no peer confirmed
// the configuration lately.
func (s *Syncer) confirm(ctx context.Context, peers map[fleet.MemberID]Member) {
	age, ok := s.Follower.Age()
	st := s.Follower.Statement()
	if st.Reaches || !st.Started || ok && age < roundAfter {
		return
	}
	// Each call ends within its deadline, so that at most a few ticks' questions are under way.
	for _, id := range pick(ids(peers), askExtra, rand.IntN, func(fleet.MemberID) bool { return true }) {
		s.work.Go(func() { _, _ = s.ask(ctx, peers[id], Message{From: s.Self}) })
	}
	if rand.IntN(len(peers)+1) >= roundStarts {
		return
	}
	s.mu.Lock()
	busy := s.inRound
	s.inRound = true
	s.mu.Unlock()
	if busy {
		return
	}
	s.work.Go(func() {
		s.round(ctx)
		s.mu.Lock()
		s.inRound = false
		s.mu.Unlock()
	})
}

// round asks every registered member at most once.
func (s *Syncer) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundBound.Duration())
	defer cancel()
	at := s.Clock.Mark()
	all := s.Members()
	var r *Round
	s.Follower.update(func(f *Freshness) { r = f.StartRound(at, s.Self, all) })
	ask := r.Ask()
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxCalls)
	for _, m := range all.Members {
		if !ask[m.ID] {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			answer, err := s.ask(ctx, m, Message{From: s.Self})
			if err != nil {
				cancel() // one member without an answer spoils the round
				return
			}
			mu.Lock()
			defer mu.Unlock()
			r.Answer(m.ID, answer.Statement)
		})
	}
	wg.Wait()
	s.Follower.update(func(f *Freshness) { f.EndRound(r, s.Follower.held()) })
}
