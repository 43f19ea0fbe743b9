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

// memberEvery is the time between two renewals of a member.
const memberEvery clock.Millis = 3000

// Renewal is the state of this process's registration.
type Renewal struct {
	Sent  clock.Mark    // before the last successful renewal was sent
	Epoch fleet.Version // 0 means not registered
	// Lapses counts the times that the term ended before a renewal succeeded. What a member
	// held before a lapse may have been given to others.
	Lapses uint64
}

// Members keeps this process registered and knows the other members.
type Members struct {
	Table *Table
	Clock clock.Clock
	Self  Member // id, zone and addresses
	// Gone reports whether the platform's list showed an instance once and shows it no more.
	Gone func(fleet.MemberID) bool
	Term clock.Millis // 0 means EscrowTerm
	Wait clock.Millis // of an observer, beyond the term; 0 means EscrowDrift
	Log  *slog.Logger // nil logs nothing

	renewal atomic.Pointer[Renewal]

	mu        sync.Mutex
	sightings sightings
	gone      map[fleet.MemberID]clock.Mark
	list      fleet.Version
	read      clock.Mark // before the newest read of the list was sent
	wasRead   bool
	doubts    map[string]clock.Mark // registrations and renewals without an answer
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

func (m *Members) wait() clock.Millis {
	if m.Wait > 0 {
		return m.term() + m.Wait
	}
	return m.term() + EscrowDrift
}

// Refresh reads the list of members.
func (m *Members) Refresh(ctx context.Context) error {
	sent := m.Clock.Mark()
	rows, err := m.Table.Read(ctx, Query{Gets: []Ref{memberListRef}, Scans: []Scan{{Table: "members"}}})
	if err != nil {
		return err
	}
	return m.observe(sent, rows)
}

// observe takes in the list row and all member rows of one read.
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
	if fleet.Version(list.Version) < m.list {
		return nil // an older answer that arrived late
	}
	now := m.Clock.Mark()
	m.list = fleet.Version(list.Version)
	if !m.wasRead || sent.Now > m.read.Now {
		m.read, m.wasRead = sent, true
	}
	m.sightings.observe(members, now, 3*m.wait())
	m.observeGone(now)
	if own, ok := members[m.Self.ID]; ok {
		if sent, doubted := m.doubts[own.attempt]; doubted {
			m.renewed(own.Epoch, sent)
		}
	}
	return nil
}

func (m *Members) observeGone(now clock.Mark) {
	if m.Gone == nil {
		return
	}
	if m.gone == nil {
		m.gone = map[fleet.MemberID]clock.Mark{}
	}
	for in := range m.sightings.seen {
		_, known := m.gone[in.id]
		switch gone := m.Gone(in.id); {
		case gone && !known:
			m.gone[in.id] = now
		case !gone:
			delete(m.gone, in.id)
		}
	}
}

// renewed records a successful renewal. A lapse is found here, when the answer is known, and
// not when the renewal was sent: others may have acted until it took effect. m is locked.
func (m *Members) renewed(epoch fleet.Version, sent clock.Mark) {
	next := &Renewal{Sent: sent, Epoch: epoch}
	if old := m.renewal.Load(); old != nil {
		next.Lapses = old.Lapses
		if old.Epoch != epoch || m.Clock.AtLeast(old.Sent) >= m.term() {
			next.Lapses++
		}
	}
	m.doubts = nil
	m.renewal.Store(next)
}

// Register registers this process under the next list version. The row of an earlier process
// with the same id is replaced.
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
	next, attempt, sent := m.list+1, newAttempt(), m.Clock.Mark()
	own := m.sightings.rows[m.Self.ID]
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
	m.answered(next, attempt, sent, err)
	return err
}

// Renew refreshes the list and renews the registration, which acknowledges the list version
// that was read. It fails with *NotRegisteredError if the row is gone.
func (m *Members) Renew(ctx context.Context) error {
	if err := m.Refresh(ctx); err != nil {
		return err
	}
	renewal := m.Renewal()
	m.mu.Lock()
	own, ok := m.sightings.rows[m.Self.ID]
	self, attempt, sent := m.Self, newAttempt(), m.Clock.Mark()
	self.Epoch, self.Acknowledged = renewal.Epoch, m.list
	m.mu.Unlock()
	if !ok || own.Epoch != renewal.Epoch {
		return &NotRegisteredError{Member: self.ID}
	}
	_, err := m.Table.Transact(ctx, Transaction{
		Checks: []Check{{Ref: memberRef(self.ID), Version: own.version}},
		Writes: []Write{{Ref: memberRef(self.ID), Value: encodeMember(self, own.renewals+1, attempt)}},
	})
	m.answered(self.Epoch, attempt, sent, err)
	return err
}

func (m *Members) answered(epoch fleet.Version, attempt string, sent clock.Mark, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lost *UnavailableError
	switch {
	case err == nil:
		m.renewed(epoch, sent)
	case errors.As(err, &lost) && lost.Maybe:
		if m.doubts == nil || len(m.doubts) >= maxDoubts {
			m.doubts = map[string]clock.Mark{}
		}
		m.doubts[attempt] = sent
	}
}

// Run registers and renews until ctx ends. A process whose row was removed registers anew.
func (m *Members) Run(ctx context.Context) {
	every(ctx, memberEvery, func() {
		err := m.Renew(ctx)
		var missing *NotRegisteredError
		if errors.As(err, &missing) {
			err = m.registerAmong(ctx)
		}
		warn(ctx, m.Log, "rowstore: member not renewed", err)
	})
}

// registerTries bounds the registrations that are tried at once. All registrations write the
// list row, so of members that start together one succeeds at a time.
const registerTries = 8

// registerAmong registers this process, again after a short random time if another member
// registered meanwhile.
func (m *Members) registerAmong(ctx context.Context) error {
	wait := 50 * time.Millisecond
	for try := 1; ; try++ {
		err := m.Register(ctx)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || try == registerTries {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, memberEvery.Duration())
	}
}

// Remove deletes the row of a member that is gone or silent. The holder of a lease calls it
// with its fence. It reports whether the member was removed.
func (m *Members) Remove(ctx context.Context, id fleet.MemberID, fence Check) (bool, error) {
	m.mu.Lock()
	row, ok := m.sightings.rows[id]
	dead := ok && m.dead(incarnation{id, row.Epoch}, 0)
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

// Leave deletes this process's own row on a planned stop, after its portions were returned.
func (m *Members) Leave(ctx context.Context) error {
	m.mu.Lock()
	own, ok := m.sightings.rows[m.Self.ID]
	m.doubts = nil
	m.mu.Unlock()
	if !ok || own.Epoch != m.Renewal().Epoch {
		return nil
	}
	m.renewal.Store(&Renewal{Lapses: m.Renewal().Lapses + 1})
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
	list := make([]Member, 0, len(m.sightings.rows))
	for _, id := range slices.Sorted(maps.Keys(m.sightings.rows)) {
		list = append(list, m.sightings.rows[id].Member)
	}
	return list
}

// ListRead returns the time before the newest read of the list was sent. ok is false if there
// was none.
func (m *Members) ListRead() (sent clock.Mark, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.read, m.wasRead
}

// Renewal returns the state of this process's registration.
func (m *Members) Renewal() Renewal {
	if r := m.renewal.Load(); r != nil {
		return *r
	}
	return Renewal{}
}

// Live reports whether the term since the last renewal has not ended.
func (m *Members) Live() bool { return m.live(m.renewal.Load()) }

func (m *Members) live(r *Renewal) bool {
	return r != nil && r.Epoch != 0 && m.Clock.AtLeast(r.Sent) < m.term()
}

// MayAccept reports whether this process may accept release notes: every registered member
// has acknowledged its registration, is gone or has been silent for a term. It is the one
// place that keeps a member unknown to others from changing the configuration.
func (m *Members) MayAccept() bool {
	r := m.Renewal()
	if !m.live(&r) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if own, ok := m.sightings.rows[m.Self.ID]; ok && own.Epoch != r.Epoch {
		return false
	}
	for id, row := range m.sightings.rows {
		if id != m.Self.ID && row.Acknowledged < r.Epoch && !m.dead(incarnation{id, row.Epoch}, 0) {
			return false
		}
	}
	return m.list >= r.Epoch
}

// dead reports whether an incarnation can have no request running any more: it has been gone
// by the platform's list for the time that a request may run, or unrenewed for the term and
// that time. m is locked.
func (m *Members) dead(in incarnation, longest clock.Millis) bool {
	if at, ok := m.gone[in.id]; ok && m.Clock.AtMost(at) >= longest {
		return true
	}
	s, ok := m.sightings.seen[in]
	return ok && m.Clock.AtMost(s.at) >= m.wait()+longest
}

// expired returns the check under which the portions of an incarnation may be reclaimed.
func (m *Members) expired(in incarnation, longest clock.Millis) (Check, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sightings.sight(in, m.Clock.Mark())
	if !m.dead(in, longest) {
		return Check{}, false
	}
	version := s.version
	if row, ok := m.sightings.rows[in.id]; ok {
		version = row.version
	}
	return Check{Ref: memberRef(in.id), Version: version}, true
}
