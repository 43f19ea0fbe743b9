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
	// maxExchanges limits the concurrent exchanges that a member starts, and the concurrent
	// calls of one round.
	maxExchanges = 16
	// maxExchangeMessages limits the messages of one exchange: 1 for the vectors and 3 with up
	// to 100 notes each.
	maxExchangeMessages = 4
	// confirmAfterAge is the age from which a member that cannot reach the table service
	// requests a confirmation of its configuration. In each tick, which follows the one before
	// after Period/Fanout, it requests the status of extraPeersPerTick more peers. It also starts
	// a [Round] with a probability that makes about roundStartsPerTick members start one in each
	// tick. The other members receive the confirmation from these. If all members ran rounds,
	// there would be 22,000 messages a second at 150 members.
	confirmAfterAge    clock.Millis = 1000
	extraPeersPerTick  int          = 2
	roundStartsPerTick int          = 3
	// roundTimeout ends a round before the configuration is 3 s old, with time to spare.
	roundTimeout clock.Millis = 1500
)

// Syncer synchronizes the configuration, the assignments and the load summaries with the other
// members. All fields except Load and Targets must be set before Run.
type Syncer struct {
	Self        fleet.MemberID
	Zone        fleet.ZoneID
	Epoch       uint64 // increases with each start of this member; not 0
	Clock       clock.Clock
	Logger      *slog.Logger
	Follower    *Follower
	Assignments *fleet.Assignments
	// Members returns the members registered in the table service. This member acknowledges a
	// list in the table service only after Members returns that list.
	Members func() Roster
	// Load returns the load of this member on each pool that has any. A nil function means no
	// load.
	Load func() map[fleet.PoolID]PoolLoad
	// Targets returns the number of requests of this member in flight on each target. A nil
	// function means none.
	Targets func() map[fleet.InstanceID]int
	// Call sends a message to a member and returns the response, like [Client.Call].
	Call func(context.Context, Member, Message) (Message, error)

	ticks int // number of periodic exchanges; used only by Run

	once          sync.Once
	changed       chan struct{}
	exchangeSlots chan struct{} // holds a token for each exchange in progress
	background    sync.WaitGroup

	mu                sync.Mutex // guards the fields below
	schedule          Schedule
	loads             Loads
	assignmentHistory assignmentHistory
	// confirmedVersions holds the assignment version that each member reported, by zone.
	confirmedVersions map[fleet.ZoneID]map[fleet.MemberID]fleet.Version
	routedVersion     fleet.Version // version of the own zone's assignment at the last summary
	epochs            map[fleet.MemberID]uint64
	seq               uint64
	// publishedAt is the time of the last load summary.
	publishedAt  clock.Millis
	roundRunning bool
}

func (s *Syncer) init() {
	s.once.Do(func() {
		s.changed = make(chan struct{}, 1)
		s.exchangeSlots = make(chan struct{}, maxExchanges)
		s.assignmentHistory = assignmentHistory{}
		s.confirmedVersions = map[fleet.ZoneID]map[fleet.MemberID]fleet.Version{}
		s.epochs = map[fleet.MemberID]uint64{}
	})
}

// Changed makes the member send its vector immediately. [Follower.Changed] calls it.
func (s *Syncer) Changed() {
	s.init()
	select {
	case s.changed <- struct{}{}:
	default: // a change is already waiting to be sent
	}
}

// Publish applies an assignment that was read from or committed to the table service and sends
// it to the peers, if it is newer than the current one. It reports whether it was newer.
func (s *Syncer) Publish(a *fleet.Assignment) bool {
	s.init()
	s.mu.Lock()
	advanced := s.Assignments.Advance(a)
	if advanced {
		s.assignmentHistory.add(a)
	}
	s.mu.Unlock()
	if advanced {
		s.Changed()
	}
	return advanced
}

// Run exchanges vectors until ctx ends. It returns after all goroutines that it started have
// ended.
func (s *Syncer) Run(ctx context.Context) {
	s.init()
	defer s.background.Wait()
	// The exchanges of a period are spread over it, so that changes that arrive early in a
	// period are forwarded in the same period.
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

// onChange sends the vector, without load entries, immediately to the peers that the schedule
// selects.
func (s *Syncer) onChange(ctx context.Context) {
	own := s.vector()
	own.Partial, own.Loads = true, nil
	peers := s.peers()
	s.mu.Lock()
	chosen := s.schedule.OnChange(own, sortedIDs(peers), rand.IntN)
	s.mu.Unlock()
	for _, id := range chosen {
		s.startExchange(ctx, peers[id], own)
	}
}

// onTick publishes the load summary if it is due, starts a periodic exchange and requests a
// confirmation of the configuration if it needs one.
func (s *Syncer) onTick(ctx context.Context) {
	peers := s.peers()
	now := s.Clock.Now()
	s.mu.Lock()
	s.loads.Expire(now)
	s.retainLocked(peers)
	s.loads.SummaryExpiry = summaryExpiry(len(peers) + 1)
	due := s.seq == 0 || now-s.publishedAt >= publishInterval(len(peers)+1)
	s.mu.Unlock()
	if due {
		s.publishLoad(now)
	}
	own := s.vector()
	if s.ticks++; s.ticks%ticksPerLoadExchange(len(peers)+1) != 0 {
		own.Partial, own.Loads = true, nil
	}
	tableReachable := s.Follower.Status().TableReachable
	s.mu.Lock()
	chosen := s.schedule.OnTick(now, 1, own, !tableReachable, sortedIDs(peers), rand.IntN)
	s.mu.Unlock()
	for _, id := range chosen {
		s.startExchange(ctx, peers[id], own)
	}
	s.confirmConfig(ctx, peers)
}

// retainLocked removes the records of members that are gone or no longer registered.
func (s *Syncer) retainLocked(peers map[fleet.MemberID]Member) {
	s.schedule.Retain(sortedIDs(peers))
	unregistered := func(id fleet.MemberID) bool { _, ok := peers[id]; return !ok }
	maps.DeleteFunc(s.epochs, func(id fleet.MemberID, _ uint64) bool { return unregistered(id) })
	for _, zone := range s.confirmedVersions {
		maps.DeleteFunc(zone, func(id fleet.MemberID, _ fleet.Version) bool { return unregistered(id) })
	}
}

// publishLoad stores the next load summary of this member, to be sent with the next exchanges.
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
	s.publishedAt = now
	sum := Summary{Member: s.Self, Zone: s.Zone, Stamp: Stamp{Epoch: s.Epoch, Seq: s.seq}, Pools: pools, Targets: targets, Assignment: s.routedVersion}
	// A request that was routed by the previous version may be counted only in the next summary.
	if a := s.Assignments.Load(s.Zone); a != nil {
		s.routedVersion = a.Version
	}
	s.loads.Put(sum, now)
}

// startExchange starts an exchange in the background, unless too many are in progress. In that
// case the next tick makes up for it.
func (s *Syncer) startExchange(ctx context.Context, to Member, own Vector) {
	select {
	case s.exchangeSlots <- struct{}{}:
	default:
		return
	}
	s.background.Go(func() {
		defer func() { <-s.exchangeSlots }()
		if err := s.exchange(ctx, to, own); err != nil && ctx.Err() == nil {
			s.Logger.Debug("peer: exchange failed", "member", to.ID, "err", err)
		}
	})
}

// exchange sends vector to a member, then sends the items that the member requests, and requests
// the items that this member does not have. It sends at most maxExchangeMessages messages and
// returns the first error.
func (s *Syncer) exchange(ctx context.Context, to Member, vector Vector) error {
	m := Message{From: s.Self, HasVector: true, Vector: vector}
	if !vector.Partial {
		m.Items.Loads = s.ownSummary()
	}
	for range maxExchangeMessages {
		response, err := s.send(ctx, to, m)
		if err != nil {
			return err
		}
		if response.HasVector {
			s.recordPeerVector(to.ID, vector, response)
		}
		m = Message{From: s.Self, Items: s.itemsFor(response.Requested)}
		if response.HasVector {
			m.Requested = missingItems(s.vector(), response.Vector)
			vector.Config = max(vector.Config, response.Vector.Config)
		} else if applied := s.Follower.appliedVersion(); applied < vector.Config && len(response.Items.Notes) > 0 {
			m.Requested = ItemRequest{NotesAfter: applied, NotesTo: vector.Config}
		}
		if m.Requested.Empty() && m.Items.Empty() {
			return nil
		}
	}
	return nil
}

// send sends one message, applies the items of the response and records the status in it. It
// fails if another member responds, which happens if an address is reused.
func (s *Syncer) send(ctx context.Context, to Member, m Message) (Message, error) {
	requestedAt := s.Clock.Mark()
	response, err := s.Call(ctx, to, m)
	if err != nil {
		return Message{}, err
	}
	if response.From != to.ID {
		return Message{}, eris.Errorf("peer: member %s responded at the address of member %s", response.From, to.ID)
	}
	s.applyItems(response)
	s.Follower.updateFreshness(func(f *Freshness) { f.RecordPeerStatus(requestedAt, response.Status, s.Follower.appliedVersion()) })
	return response, nil
}

// recordPeerVector records the vector of a peer, derived from the sent vector and the response
// to it.
func (s *Syncer) recordPeerVector(peer fleet.MemberID, vector Vector, response Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peerVector := vector.Merge(response.Vector)
	peerVector.Partial = vector.Partial
	if !response.Requested.Empty() {
		return // the peer lacks items; its vector is recorded after a later message
	}
	s.schedule.Observe(peer, peerVector, s.Clock.Now())
}

// Respond applies the items of a message and returns the response.
func (s *Syncer) Respond(m Message) Message {
	s.init()
	s.applyItems(m)
	response := Message{From: s.Self, Items: s.itemsFor(m.Requested)}
	if m.HasVector {
		own := s.vector()
		response.HasVector = true
		response.Vector = own.NewerThan(m.Vector)
		response.Requested = missingItems(own, m.Vector.NewerThan(own))
		// The response includes the newer load summaries themselves, so their stamps are not
		// needed in its vector.
		response.Items.Loads = s.summariesOf(response.Vector.Loads)
		response.Vector.Loads = nil
		s.mu.Lock()
		s.schedule.Observe(m.From, m.Vector, s.Clock.Now())
		s.mu.Unlock()
	}
	response.Status = s.Follower.Status()
	return response
}

// applyItems applies the items of a message.
func (s *Syncer) applyItems(m Message) {
	if len(m.Items.Notes) > 0 {
		if _, err := s.Follower.Apply(m.Items.Notes); err != nil {
			s.Logger.Warn("peer: cannot apply a release note", "member", m.From, "err", err)
		}
	}
	for _, c := range m.Items.Assignments {
		// A change from another base version is skipped. The next exchange requests one from the
		// current version.
		if next, ok := s.Assignments.Load(c.Zone).Apply(c); ok {
			s.Publish(next)
		}
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sum := range m.Items.Loads {
		if sum.Member != s.Self && s.loads.Put(sum, now) {
			s.recordConfirmedLocked(sum)
		}
	}
}

// recordConfirmedLocked records the assignment version that a summary reports. For a restarted
// member the earlier version is discarded, because the member no longer has that assignment.
func (s *Syncer) recordConfirmedLocked(sum Summary) {
	versions, ok := s.confirmedVersions[sum.Zone]
	if !ok {
		versions = map[fleet.MemberID]fleet.Version{}
		s.confirmedVersions[sum.Zone] = versions
	}
	switch epoch := s.epochs[sum.Member]; {
	case sum.Stamp.Epoch < epoch:
		return
	case sum.Stamp.Epoch > epoch:
		s.epochs[sum.Member] = sum.Stamp.Epoch
		delete(versions, sum.Member)
	}
	versions[sum.Member] = max(versions[sum.Member], sum.Assignment)
}

// confirmConfig requests a confirmation of the configuration if the table service is unreachable
// and no peer has confirmed the configuration recently.
func (s *Syncer) confirmConfig(ctx context.Context, peers map[fleet.MemberID]Member) {
	age, ok := s.Follower.Age()
	status := s.Follower.Status()
	if status.TableReachable || !status.HasReadTable || ok && age < confirmAfterAge {
		return
	}
	// Each call ends within its timeout, so that the calls of only a few ticks are in progress
	// at a time.
	for _, id := range pickRandom(sortedIDs(peers), extraPeersPerTick, rand.IntN, func(fleet.MemberID) bool { return true }) {
		s.background.Go(func() { _, _ = s.send(ctx, peers[id], Message{From: s.Self}) })
	}
	if rand.IntN(len(peers)+1) >= roundStartsPerTick {
		return
	}
	s.mu.Lock()
	running := s.roundRunning
	s.roundRunning = true
	s.mu.Unlock()
	if running {
		return
	}
	s.background.Go(func() {
		s.runRound(ctx)
		s.mu.Lock()
		s.roundRunning = false
		s.mu.Unlock()
	})
}

// runRound requests the status of every registered member, each at most once, and confirms the
// configuration if they are unanimous.
func (s *Syncer) runRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout.Duration())
	defer cancel()
	startedAt := s.Clock.Mark()
	roster := s.Members()
	var round *Round
	s.Follower.updateFreshness(func(f *Freshness) { round = f.StartRound(startedAt, s.Self, roster) })
	pending := round.Pending()
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxExchanges)
	for _, m := range roster.Members {
		if !pending[m.ID] {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			response, err := s.send(ctx, m, Message{From: s.Self})
			if err != nil {
				cancel() // the round fails if one member does not respond
				return
			}
			mu.Lock()
			defer mu.Unlock()
			round.RecordStatus(m.ID, response.Status)
		})
	}
	wg.Wait()
	s.Follower.updateFreshness(func(f *Freshness) { f.EndRound(round, s.Follower.appliedVersion()) })
}
