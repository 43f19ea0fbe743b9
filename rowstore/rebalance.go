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

// maxScansPerRound bounds the teams in one round for which the rows of all zones are read.
const maxScansPerRound = 25

// maxConflictAttempts bounds how often a transaction is sent, each time without the teams in
// conflict.
const maxConflictAttempts = 4

// returnRetryInterval is the time between two attempts to return portions on a planned stop.
const returnRetryInterval clock.Millis = 200

// teamRound is the state of one team in a round.
type teamRound struct {
	team          fleet.TeamID
	demand        demand
	view          *limitView
	change        teamChange
	needsAllZones bool
}

// teamChange is the change that a round makes to the rows of a team.
type teamChange struct {
	portion fleet.Slots
	checks  []Check
	writes  []Write
}

// Run calls Rebalance every EscrowEvery until ctx ends.
func (e *Escrow) Run(ctx context.Context) {
	runEvery(ctx, EscrowEvery, func() { logFailure(ctx, e.Log, "rowstore: portions not rebalanced", e.Rebalance(ctx)) })
}

// Rebalance runs one round: it reads the rows of the teams in use and requests portions that fit
// the demand, for many teams in one transaction. It fails with *NotRegisteredError if this
// process is not registered or its term has ended, and with *ConflictError or *UnavailableError.
func (e *Escrow) Rebalance(ctx context.Context) error {
	e.roundMu.Lock()
	defer e.roundMu.Unlock()
	return e.rebalance(ctx, false)
}

// Return gives all portions back on a planned stop. From then on no request of a team with a
// limit starts; the caller waits for the running ones first. It tries until ctx ends.
func (e *Escrow) Return(ctx context.Context) error {
	e.stopped.Store(true)
	e.roundMu.Lock()
	defer e.roundMu.Unlock()
	for {
		err := e.rebalance(ctx, true)
		if err == nil && len(e.collectTeams(true)) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "rowstore: portions not returned: %v", err)
		case <-time.After(returnRetryInterval.Duration()):
		}
	}
}

func (e *Escrow) rebalance(ctx context.Context, returning bool) error {
	renewal := e.Members.renewal.Load()
	if !e.Members.live(renewal) {
		return &NotRegisteredError{Member: e.Members.Self.ID}
	}
	self := incarnation{e.Members.Self.ID, renewal.Epoch}
	rounds := e.collectTeams(returning)
	if err := e.readRows(ctx, rounds, false); err != nil {
		return err
	}
	var withAllZones []*teamRound
	for _, r := range rounds {
		e.adoptRows(r, self, renewal.Expirations)
		e.planChange(r, self, returning, false)
		if r.needsAllZones && len(withAllZones) < maxScansPerRound && !returning {
			withAllZones = append(withAllZones, r)
		}
	}
	if len(withAllZones) > 0 && e.readRows(ctx, withAllZones, true) == nil {
		for _, r := range withAllZones {
			e.adoptRows(r, self, renewal.Expirations)
			e.planChange(r, self, returning, true)
		}
	}
	return e.commit(ctx, rounds, self)
}

// collectTeams returns the teams in use and resets their recorded demand.
func (e *Escrow) collectTeams(returning bool) []*teamRound {
	for _, q := range e.Config().Queues {
		e.longestDeadline = max(e.longestDeadline, q.MaxDeadline)
	}
	var rounds []*teamRound
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for t, p := range s.teams {
			if e.Waiting != nil {
				p.denied = min(p.denied, fleet.Slots(e.Waiting(t)))
			}
			inUse := p.rowSlots > 0 || p.rowWant > 0 || p.unconfirmed
			if inUse || !returning && p.demand != (demand{}) {
				rounds = append(rounds, &teamRound{team: t, demand: p.demand})
			}
			p.peak, p.denied = p.running, 0
		}
		s.mu.Unlock()
	}
	slices.SortFunc(rounds, func(a, b *teamRound) int { return strings.Compare(string(a.team), string(b.team)) })
	return rounds
}

// readRows fills the views, with the rows of all zones if scan is set.
func (e *Escrow) readRows(ctx context.Context, rounds []*teamRound, scan bool) error {
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
			if err := r.view.addRow(row); err != nil {
				return err
			}
		}
	}
	return nil
}

// adoptRows takes the member's portion from the row that was read. While the outcome of a write
// is unknown, the smaller of the two portions counts.
func (e *Escrow) adoptRows(r *teamRound, self incarnation, expirations uint64) {
	row := r.view.zones[e.Zone].portionOf(self)
	e.updatePortion(r.team, func(p *teamPortion) {
		if !p.rowRead || p.expirations != expirations {
			p.rowRead, p.expirations = true, expirations
			p.portion = row.Slots
		}
		if p.unconfirmed && p.unconfirmedVersion == r.view.versions[e.Zone] {
			p.portion = min(p.portion, row.Slots)
		} else {
			p.unconfirmed = false
			p.portion = row.Slots
		}
		p.rowSlots, p.rowWant = row.Slots, row.Want
	})
}

// planChange decides on a team's change. A lower portion takes effect here, before it is written
// to the table.
func (e *Escrow) planChange(r *teamRound, self incarnation, returning, allZonesRead bool) {
	c := e.Config()
	unconfirmed := false
	e.updatePortion(r.team, func(p *teamPortion) { r.demand.running, unconfirmed = p.running, p.unconfirmed })
	round := limitRound{
		self: self, zone: e.Zone, limit: c.Teams[r.team].Limit, config: c.Version,
		demand: r.demand, returning: returning, allZonesRead: allZonesRead,
		reclaimCheck: func(in incarnation) (Check, bool) { return e.Members.reclaimCheck(in, e.longestDeadline) },
	}
	d := round.apply(r.view)
	r.change, r.needsAllZones = teamChange{portion: d.portion}, d.needsAllZones
	var forcedZone fleet.ZoneID
	if unconfirmed {
		forcedZone = e.Zone
	}
	r.change.checks, r.change.writes = r.view.changes(forcedZone)
	r.change.checks = append(r.change.checks, d.checks...)
	e.updatePortion(r.team, func(p *teamPortion) {
		p.startLimit = d.startLimit
		if p.running > max(r.change.portion, r.demand.running) {
			r.change = teamChange{} // more requests started meanwhile; the next round decides again
			return
		}
		p.portion = min(p.portion, r.change.portion)
	})
}

func (e *Escrow) updatePortion(t fleet.TeamID, f func(*teamPortion)) {
	s := e.shard(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.teams[t]; p != nil {
		f(p)
	}
}

// commit sends the changes in as few transactions as possible.
func (e *Escrow) commit(ctx context.Context, rounds []*teamRound, self incarnation) error {
	var firstErr error
	var batch []*teamRound
	rowCount := 0
	flush := func() {
		if err := e.sendBatch(ctx, batch, self); err != nil && firstErr == nil {
			firstErr = err
		}
		batch, rowCount = nil, 0
	}
	for _, r := range rounds {
		writes := len(r.change.writes)
		if writes == 0 {
			continue
		}
		if rowCount+writes > MaxRows {
			flush()
		}
		batch, rowCount = append(batch, r), rowCount+writes
	}
	if len(batch) > 0 {
		flush()
	}
	return firstErr
}

// sendBatch commits a batch. Teams in conflict are left to the next round, and the others are
// sent again without them.
func (e *Escrow) sendBatch(ctx context.Context, batch []*teamRound, self incarnation) error {
	var err error
	for range maxConflictAttempts {
		if len(batch) == 0 {
			return nil
		}
		tx := Transaction{}
		for _, r := range batch {
			tx.Checks = append(tx.Checks, r.change.checks...)
			tx.Writes = append(tx.Writes, r.change.writes...)
		}
		e.markUnconfirmed(batch)
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
		row := r.view.zones[e.Zone].portionOf(self)
		e.updatePortion(r.team, func(p *teamPortion) {
			p.unconfirmed = false
			p.portion, p.rowSlots, p.rowWant = row.Slots, row.Slots, row.Want
		})
	}
	return nil
}

// markUnconfirmed marks the teams of a batch as unconfirmed until a response gives the outcome.
// A write under an older row version is resolved by the read that returned the newer version.
func (e *Escrow) markUnconfirmed(batch []*teamRound) {
	for _, r := range batch {
		e.updatePortion(r.team, func(p *teamPortion) {
			p.unconfirmed, p.unconfirmedVersion = true, r.view.versions[e.Zone]
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
// team. Only an operator who is certain that nothing runs in the zone any more may request it,
// since the zone's members may still be within their term. It stops at the first error,
// *ConflictError or *UnavailableError, and can be called again.
func (e *Escrow) DeclareZoneLost(ctx context.Context, zone fleet.ZoneID) error {
	for t := range e.Config().Teams {
		if err := e.releaseZone(ctx, t, zone); err != nil {
			return err
		}
	}
	return nil
}

func (e *Escrow) releaseZone(ctx context.Context, t fleet.TeamID, zone fleet.ZoneID) error {
	var err error
	for range maxConflictAttempts {
		var rows []Row
		rows, err = e.Table.Read(ctx, Query{Gets: []Ref{limitRef(t, ""), limitRef(t, zone)}})
		if err != nil || len(rows) < 2 {
			return err // without both rows the zone holds nothing
		}
		v := newLimitView(t, zone)
		for _, r := range rows {
			if err := v.addRow(r); err != nil {
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
