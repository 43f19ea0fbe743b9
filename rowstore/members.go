package rowstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// memberRenewInterval is the time between two renewals of a registration.
const memberRenewInterval clock.Millis = 3000

// Renewal is the state of this process's registration.
type Renewal struct {
	Sent  clock.Mark    // taken just before the last successful renewal was sent
	Epoch fleet.Version // 0 means not registered
	// Expirations counts how often the term ended before a renewal succeeded. What a member held
	// before an expiry may have been given to others.
	Expirations uint64
}

// Members keeps this process registered and holds the list of members as last read.
type Members struct {
	Table *Table
	Clock clock.Clock
	Self  Member // id, zone and addresses
	// Gone reports whether an instance was in the platform's list once and is not in it any
	// more.
	Gone func(fleet.MemberID) bool
	Term clock.Millis // 0 means EscrowTerm
	Wait clock.Millis // added to the term before an observer considers a member dead; 0 means EscrowDrift
	Log  *slog.Logger // nil logs nothing

	renewal atomic.Pointer[Renewal]

	mu           sync.Mutex
	observations observations
	goneSince    map[fleet.MemberID]clock.Mark
	listVersion  fleet.Version
	listReadSent clock.Mark // taken just before the newest read of the list was sent
	listRead     bool
	unconfirmed  map[string]clock.Mark // by attempt, when a registration or renewal with an unknown outcome was sent
}

// NotRegisteredError reports that this process's row does not exist or belongs to a newer
// process with the same id.
type NotRegisteredError struct {
	Member fleet.MemberID
}

func (e *NotRegisteredError) Error() string {
	return fmt.Sprintf("rowstore: member %q is not registered", e.Member)
}

func (m *Members) term() clock.Millis {
	if m.Term > 0 {
		return m.Term
	}
	return EscrowTerm
}

func (m *Members) observerWait() clock.Millis {
	if m.Wait > 0 {
		return m.term() + m.Wait
	}
	return m.term() + EscrowDrift
}

// Refresh reads the list of members. It fails with *UnavailableError, or if a row can't be
// decoded.
func (m *Members) Refresh(ctx context.Context) error {
	sent := m.Clock.Mark()
	rows, err := m.Table.Read(ctx, Query{Gets: []Ref{memberListRef}, Scans: []Scan{{Table: "members"}}})
	if err != nil {
		return err
	}
	return m.observe(sent, rows)
}

// observe records the list row and all member rows of one read.
func (m *Members) observe(sent clock.Mark, rows []Row) error {
	members := map[fleet.MemberID]memberRow{}
	var list wireMemberList
	for _, r := range rows {
		if r.Ref == memberListRef {
			if err := json.Unmarshal(r.Value, &list); err != nil {
				return eris.Wrap(err, "rowstore: member list")
			}
			continue
		}
		row, err := decodeMember(r)
		if err != nil {
			return err
		}
		members[row.ID] = row
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if fleet.Version(list.Version) < m.listVersion {
		return nil // an older response that arrived late
	}
	now := m.Clock.Mark()
	m.listVersion = fleet.Version(list.Version)
	if !m.listRead || sent.Now > m.listReadSent.Now {
		m.listReadSent, m.listRead = sent, true
	}
	m.observations.observe(members, now, 3*m.observerWait())
	m.observeGone(now)
	if own, ok := members[m.Self.ID]; ok {
		if sent, found := m.unconfirmed[own.attempt]; found {
			m.recordRenewal(own.Epoch, sent)
		}
	}
	return nil
}

func (m *Members) observeGone(now clock.Mark) {
	if m.Gone == nil {
		return
	}
	if m.goneSince == nil {
		m.goneSince = map[fleet.MemberID]clock.Mark{}
	}
	for in := range m.observations.byIncarnation {
		_, known := m.goneSince[in.id]
		switch gone := m.Gone(in.id); {
		case gone && !known:
			m.goneSince[in.id] = now
		case !gone:
			delete(m.goneSince, in.id)
		}
	}
}

// recordRenewal records a successful renewal. It finds an expiry here, when the result is known,
// and not when the renewal was sent: others may have acted until the renewal took effect. m.mu
// is held.
func (m *Members) recordRenewal(epoch fleet.Version, sent clock.Mark) {
	next := &Renewal{Sent: sent, Epoch: epoch}
	if old := m.renewal.Load(); old != nil {
		next.Expirations = old.Expirations
		if old.Epoch != epoch || m.Clock.MaxElapsed(old.Sent) >= m.term() {
			next.Expirations++
		}
	}
	m.unconfirmed = nil
	m.renewal.Store(next)
}

// Register registers this process under the next list version. It replaces the row of an earlier
// process with the same id. It fails with *ConflictError if another member registered meanwhile,
// and with *UnavailableError.
func (m *Members) Register(ctx context.Context) error {
	read := m.Clock.Mark()
	rows, err := m.Table.Read(ctx, Query{Gets: []Ref{memberListRef}, Scans: []Scan{{Table: "members"}}})
	if err != nil {
		return err
	}
	if err := m.observe(read, rows); err != nil {
		return err
	}
	m.mu.Lock()
	var listVersion fleet.Version
	for _, r := range rows {
		if r.Ref == memberListRef {
			listVersion = r.Version
		}
	}
	next, attempt, sent := m.listVersion+1, newAttemptID(), m.Clock.Mark()
	own := m.observations.rows[m.Self.ID]
	m.mu.Unlock()
	list, err := json.Marshal(wireMemberList{Version: uint64(next)})
	if err != nil {
		return eris.Wrap(err, "rowstore: member list")
	}
	self := m.Self
	self.Epoch, self.Acknowledged = next, next
	_, err = m.Table.Transact(ctx, Transaction{
		Checks: []Check{{Ref: memberListRef, Version: listVersion}, {Ref: memberRef(self.ID), Version: own.version}},
		Writes: []Write{{Ref: memberListRef, Value: list}, {Ref: memberRef(self.ID), Value: encodeMember(self, 0, attempt)}},
	})
	m.recordResult(next, attempt, sent, err)
	return err
}

// Renew refreshes the list and renews the registration, which acknowledges the list version
// that was read. It fails with *NotRegisteredError if the row is gone or belongs to a newer process,
// and with *ConflictError or *UnavailableError.
func (m *Members) Renew(ctx context.Context) error {
	if err := m.Refresh(ctx); err != nil {
		return err
	}
	renewal := m.Renewal()
	m.mu.Lock()
	own, ok := m.observations.rows[m.Self.ID]
	self, attempt, sent := m.Self, newAttemptID(), m.Clock.Mark()
	self.Epoch, self.Acknowledged = renewal.Epoch, m.listVersion
	m.mu.Unlock()
	if !ok || own.Epoch != renewal.Epoch {
		return &NotRegisteredError{Member: self.ID}
	}
	_, err := m.Table.Transact(ctx, Transaction{
		Checks: []Check{{Ref: memberRef(self.ID), Version: own.version}},
		Writes: []Write{{Ref: memberRef(self.ID), Value: encodeMember(self, own.renewals+1, attempt)}},
	})
	m.recordResult(self.Epoch, attempt, sent, err)
	return err
}

func (m *Members) recordResult(epoch fleet.Version, attempt string, sent clock.Mark, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var unavailable *UnavailableError
	switch {
	case err == nil:
		m.recordRenewal(epoch, sent)
	case errors.As(err, &unavailable) && unavailable.OutcomeUnknown:
		if m.unconfirmed == nil || len(m.unconfirmed) >= maxUnconfirmed {
			m.unconfirmed = map[string]clock.Mark{}
		}
		m.unconfirmed[attempt] = sent
	}
}

// Run registers this process and renews the registration until ctx ends. If the row was removed,
// it registers again.
func (m *Members) Run(ctx context.Context) {
	runEvery(ctx, memberRenewInterval, func() {
		err := m.Renew(ctx)
		var missing *NotRegisteredError
		if errors.As(err, &missing) {
			err = m.registerWithRetry(ctx)
		}
		logFailure(ctx, m.Log, "rowstore: registration not renewed", err)
	})
}

// maxRegisterAttempts bounds the registrations that are tried in one round. All registrations
// write the list row, so of members that start together only one succeeds at a time.
const maxRegisterAttempts = 8

// registerWithRetry registers this process, and tries again after a short random time if another
// member registered meanwhile.
func (m *Members) registerWithRetry(ctx context.Context) error {
	pause := 50 * time.Millisecond
	for attempt := 1; ; attempt++ {
		err := m.Register(ctx)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || attempt == maxRegisterAttempts {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, memberRenewInterval.Duration())
	}
}

// Remove deletes the row of a member that is gone or has not renewed for its term. The holder of
// a lease calls it with its fence. It reports whether the member was removed. It fails with
// *ConflictError or *UnavailableError.
func (m *Members) Remove(ctx context.Context, id fleet.MemberID, fence Check) (bool, error) {
	m.mu.Lock()
	row, ok := m.observations.rows[id]
	dead := ok && m.cannotRun(incarnation{id, row.Epoch}, 0)
	m.mu.Unlock()
	if !dead {
		return false, nil
	}
	_, err := m.Table.Transact(ctx, Transaction{
		Checks: []Check{fence, {Ref: memberRef(id), Version: row.version}},
		Writes: []Write{{Ref: memberRef(id), Delete: true}},
	})
	return err == nil, err
}

// Leave deletes this process's own row on a planned stop. The portions must have been returned
// before. It fails with *ConflictError or *UnavailableError, or if the row can't be decoded.
func (m *Members) Leave(ctx context.Context) error {
	m.mu.Lock()
	own, ok := m.observations.rows[m.Self.ID]
	m.unconfirmed = nil
	m.mu.Unlock()
	if !ok || own.Epoch != m.Renewal().Epoch {
		return nil
	}
	m.renewal.Store(&Renewal{Expirations: m.Renewal().Expirations + 1})
	row, ok, err := m.Table.Get(ctx, memberRef(m.Self.ID))
	if err != nil || !ok {
		return err
	}
	if now, err := decodeMember(row); err != nil || now.Epoch != own.Epoch {
		return err
	}
	_, err = m.Table.Transact(ctx, Transaction{
		Checks: []Check{{Ref: memberRef(m.Self.ID), Version: row.Version}},
		Writes: []Write{{Ref: memberRef(m.Self.ID), Delete: true}},
	})
	return err
}

// List returns the members as last read, ordered by id.
func (m *Members) List() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Member, 0, len(m.observations.rows))
	for _, id := range slices.Sorted(maps.Keys(m.observations.rows)) {
		list = append(list, m.observations.rows[id].Member)
	}
	return list
}

// ListReadAt returns a mark taken just before the newest read of the list was sent. ok is false if
// there was none.
func (m *Members) ListReadAt() (sent clock.Mark, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listReadSent, m.listRead
}

// Renewal returns the state of this process's registration.
func (m *Members) Renewal() Renewal {
	if r := m.renewal.Load(); r != nil {
		return *r
	}
	return Renewal{}
}

// Live reports whether this process is registered and the term since its last renewal has not
// ended.
func (m *Members) Live() bool { return m.live(m.renewal.Load()) }

func (m *Members) live(r *Renewal) bool {
	return r != nil && r.Epoch != 0 && m.Clock.MaxElapsed(r.Sent) < m.term()
}

// MayAccept reports whether this process may accept release notes: every registered member has
// acknowledged its registration, is gone or has not renewed for a term. No other check keeps a
// member from changing the configuration before the others have read its registration.
func (m *Members) MayAccept() bool {
	r := m.Renewal()
	if !m.live(&r) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if own, ok := m.observations.rows[m.Self.ID]; ok && own.Epoch != r.Epoch {
		return false
	}
	for id, row := range m.observations.rows {
		if id != m.Self.ID && row.Acknowledged < r.Epoch && !m.cannotRun(incarnation{id, row.Epoch}, 0) {
			return false
		}
	}
	return m.listVersion >= r.Epoch
}

// cannotRun reports whether no request of an incarnation can be running any more: the platform's
// list has shown it as gone for longestDeadline, or it has not renewed for the term and that
// time. m.mu is held.
func (m *Members) cannotRun(in incarnation, longestDeadline clock.Millis) bool {
	if since, ok := m.goneSince[in.id]; ok && m.Clock.MinElapsed(since) >= longestDeadline {
		return true
	}
	s, ok := m.observations.byIncarnation[in]
	return ok && m.Clock.MinElapsed(s.at) >= m.observerWait()+longestDeadline
}

// reclaimCheck returns the check under which the portions of an incarnation may be reclaimed. It
// returns false while a request of the incarnation may be running.
func (m *Members) reclaimCheck(in incarnation, longestDeadline clock.Millis) (Check, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.observations.observeIncarnation(in, m.Clock.Mark())
	if !m.cannotRun(in, longestDeadline) {
		return Check{}, false
	}
	version := s.version
	if row, ok := m.observations.rows[in.id]; ok {
		version = row.version
	}
	return Check{Ref: memberRef(in.id), Version: version}, true
}
