package rowstore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// scansPerRound bounds the teams whose rows of all zones are read in one round.
const scansPerRound = 25

// conflictRetries bounds how often a transaction is sent again without the teams in conflict.
const conflictRetries = 4

// returnEvery is the time between two attempts to return portions on a planned stop.
const returnEvery clock.Millis = 200

// teamRound is one team's part of a round.
type teamRound struct {
	team   fleet.TeamID
	demand demand
	view   *limitView
	change teamChange
	short  bool
}

type teamChange struct {
	portion fleet.Slots
	checks  []Check
	writes  []Write
}

// Run rebalances every 2 s until ctx ends.
func (e *Escrow) Run(ctx context.Context) {
	every(ctx, EscrowEvery, func() { warn(ctx, e.Log, "rowstore: portions not rebalanced", e.Rebalance(ctx)) })
}

// Rebalance runs one round: it reads the rows of the teams in use and asks for portions that
// fit the demand, many teams in one transaction.
func (e *Escrow) Rebalance(ctx context.Context) error {
	e.round.Lock()
	defer e.round.Unlock()
	return e.rebalance(ctx, false)
}

// Return gives all portions back on a planned stop. No request of a team with a limit starts
// from then on; the caller waits for the running ones first. It tries until ctx ends.
func (e *Escrow) Return(ctx context.Context) error {
	e.stopped.Store(true)
	e.round.Lock()
	defer e.round.Unlock()
	for {
		err := e.rebalance(ctx, true)
		if err == nil && len(e.collect(true)) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "rowstore: portions not returned: %v", err)
		case <-time.After(returnEvery.Duration()):
		}
	}
}

func (e *Escrow) rebalance(ctx context.Context, returning bool) error {
	renewal := e.Members.renewal.Load()
	if !e.Members.live(renewal) {
		return &NotRegisteredError{Member: e.Members.Self.ID}
	}
	self := incarnation{e.Members.Self.ID, renewal.Epoch}
	rounds := e.collect(returning)
	if err := e.read(ctx, rounds, false); err != nil {
		return err
	}
	var short []*teamRound
	for _, r := range rounds {
		e.adopt(r, self, renewal.Lapses)
		e.plan(r, self, returning, false)
		if r.short && len(short) < scansPerRound && !returning {
			short = append(short, r)
		}
	}
	if len(short) > 0 && e.read(ctx, short, true) == nil {
		for _, r := range short {
			e.adopt(r, self, renewal.Lapses)
			e.plan(r, self, returning, true)
		}
	}
	return e.commit(ctx, rounds, self)
}

// collect returns the teams in use and resets their demand.
func (e *Escrow) collect(returning bool) []*teamRound {
	for _, q := range e.Config().Queues {
		e.longest = max(e.longest, q.MaxDeadline)
	}
	var rounds []*teamRound
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for t, p := range s.teams {
			if e.Waiting != nil {
				p.denied = min(p.denied, fleet.Slots(e.Waiting(t)))
			}
			held := p.inTable > 0 || p.want > 0 || p.doubted
			if held || !returning && p.demand != (demand{}) {
				rounds = append(rounds, &teamRound{team: t, demand: p.demand})
			}
			p.peak, p.denied = p.running, 0
		}
		s.mu.Unlock()
	}
	slices.SortFunc(rounds, func(a, b *teamRound) int { return strings.Compare(string(a.team), string(b.team)) })
	return rounds
}

// read fills the views, with the rows of all zones if scan is set.
func (e *Escrow) read(ctx context.Context, rounds []*teamRound, scan bool) error {
	if len(rounds) == 0 {
		return nil
	}
	q := Query{}
	teams := map[string]*teamRound{}
	for _, r := range rounds {
		teams[limitPrefix(r.team)] = r
		if scan {
			q.Scans = append(q.Scans, Scan{Table: "limits", Prefix: limitPrefix(r.team)})
		} else {
			q.Gets = append(q.Gets, limitRef(r.team, ""), limitRef(r.team, e.Zone))
		}
	}
	rows, err := e.Table.Read(ctx, q)
	if err != nil {
		return err
	}
	for _, r := range rounds {
		r.view = newLimitView(r.team, e.Zone)
	}
	for _, row := range rows {
		prefix, _, _ := strings.Cut(row.Key, "/")
		if r := teams[prefix+"/"]; r != nil {
			if err := r.view.add(row); err != nil {
				return err
			}
		}
	}
	return nil
}

// adopt takes the member's portion from the row. While a write is in doubt the smaller of
// the portions counts.
func (e *Escrow) adopt(r *teamRound, self incarnation, lapses uint64) {
	row := r.view.zones[e.Zone].of(self)
	e.update(r.team, func(p *teamPortion) {
		if !p.known || p.lapses != lapses {
			p.known, p.lapses = true, lapses
			p.portion = row.Slots
		}
		if p.doubted && p.doubtAt == r.view.versions[e.Zone] {
			p.portion = min(p.portion, row.Slots)
		} else {
			p.doubted = false
			p.portion = row.Slots
		}
		p.inTable, p.want = row.Slots, row.Want
	})
}

// plan decides a team's change. The portion is lowered here, before the table says so.
func (e *Escrow) plan(r *teamRound, self incarnation, returning, scanned bool) {
	c := e.Config()
	doubted := false
	e.update(r.team, func(p *teamPortion) { r.demand.running, doubted = p.running, p.doubted })
	round := limitRound{
		self: self, zone: e.Zone, limit: c.Teams[r.team].Limit, config: c.Version,
		demand: r.demand, returning: returning, scanned: scanned,
		expired: func(in incarnation) (Check, bool) { return e.Members.expired(in, e.longest) },
	}
	d := round.next(r.view)
	r.change, r.short = teamChange{portion: d.portion}, d.short
	var always fleet.ZoneID
	if doubted {
		always = e.Zone
	}
	r.change.checks, r.change.writes = r.view.changes(always)
	r.change.checks = append(r.change.checks, d.checks...)
	e.update(r.team, func(p *teamPortion) {
		p.start = d.start
		if p.running > max(r.change.portion, r.demand.running) {
			r.change = teamChange{} // more were started meanwhile; the next round decides anew
			return
		}
		p.portion = min(p.portion, r.change.portion)
	})
}

func (e *Escrow) update(t fleet.TeamID, f func(*teamPortion)) {
	s := e.shard(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.teams[t]; p != nil {
		f(p)
	}
}

// commit sends the changes in as few transactions as they fit in.
func (e *Escrow) commit(ctx context.Context, rounds []*teamRound, self incarnation) error {
	var first error
	var batch []*teamRound
	n := 0
	flush := func() {
		if err := e.send(ctx, batch, self); err != nil && first == nil {
			first = err
		}
		batch, n = nil, 0
	}
	for _, r := range rounds {
		k := len(r.change.writes)
		if k == 0 {
			continue
		}
		if n+k > MaxRows {
			flush()
		}
		batch, n = append(batch, r), n+k
	}
	if len(batch) > 0 {
		flush()
	}
	return first
}

// send commits a batch. Teams in conflict are left for the next round and the others are sent
// again without them.
func (e *Escrow) send(ctx context.Context, batch []*teamRound, self incarnation) error {
	var err error
	for range conflictRetries {
		if len(batch) == 0 {
			return nil
		}
		tx := Transaction{}
		for _, r := range batch {
			tx.Checks = append(tx.Checks, r.change.checks...)
			tx.Writes = append(tx.Writes, r.change.writes...)
		}
		e.doubt(batch)
		_, err = e.Table.Transact(ctx, tx)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		batch = slices.DeleteFunc(batch, func(r *teamRound) bool { return r.conflicts(conflict) })
	}
	if err != nil {
		return err
	}
	for _, r := range batch {
		row := r.view.zones[e.Zone].of(self)
		e.update(r.team, func(p *teamPortion) {
			p.doubted = false
			p.portion, p.inTable, p.want = row.Slots, row.Slots, row.Want
		})
	}
	return nil
}

// doubt marks the teams of a batch as in doubt until an answer says otherwise. A doubt under
// an older row version is settled by the read that gave the newer one.
func (e *Escrow) doubt(batch []*teamRound) {
	for _, r := range batch {
		e.update(r.team, func(p *teamPortion) {
			p.doubted, p.doubtAt = true, r.view.versions[e.Zone]
		})
	}
}

func (r *teamRound) conflicts(c *ConflictError) bool {
	for _, check := range r.change.checks {
		if slices.Contains(c.Rows, check.Ref) {
			return true
		}
	}
	return false
}

// DeclareZoneLost moves the whole allocation of a zone to the unassigned remainder of every
// team. An operator calls it who knows that nothing runs in the zone any more: its members
// may still be within their term. It stops at the first error and can be called again.
func (e *Escrow) DeclareZoneLost(ctx context.Context, zone fleet.ZoneID) error {
	for t := range e.Config().Teams {
		if err := e.loseZone(ctx, t, zone); err != nil {
			return err
		}
	}
	return nil
}

func (e *Escrow) loseZone(ctx context.Context, t fleet.TeamID, zone fleet.ZoneID) error {
	var err error
	for range conflictRetries {
		var rows []Row
		rows, err = e.Table.Read(ctx, Query{Gets: []Ref{limitRef(t, ""), limitRef(t, zone)}})
		if err != nil || len(rows) < 2 {
			return err // without both rows the zone holds nothing
		}
		v := newLimitView(t, zone)
		for _, r := range rows {
			if err := v.add(r); err != nil {
				return err
			}
		}
		slots, _ := v.zones[zone].total()
		v.root.Free += slots
		v.zones[zone] = &limitZone{}
		checks, writes := v.changes("")
		if len(writes) == 0 {
			return nil
		}
		_, err = e.Table.Transact(ctx, Transaction{Checks: checks, Writes: writes})
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}
