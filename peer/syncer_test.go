package peer_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/peer"
	"citronknot/rowstore"
	"citronknot/standin"
)

// mesh is a set of members over an in-memory network with partitions.
type mesh struct {
	store   standin.Platform
	members []*node
	list    []peer.Member

	calls atomic.Int64

	mu   sync.Mutex
	cut  map[[2]fleet.MemberID]bool // calls that fail
	down map[fleet.MemberID]bool    // members that do not reach the table service
	lost bool                       // answers to commits are lost
	used fleet.MemberID             // another member answers at the address of this one
}

type node struct {
	id       fleet.MemberID
	current  fleet.Current
	zones    fleet.Assignments
	follower *peer.Follower
	syncer   *peer.Syncer
}

var errCut = errors.New("partitioned")

// now is read in a synctest bubble, whose clock stands still while a goroutine can run.
func now() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }

func newMesh(n int) *mesh {
	m := &mesh{cut: map[[2]fleet.MemberID]bool{}, down: map[fleet.MemberID]bool{}}
	for i := range n {
		id := fleet.MemberID(fmt.Sprintf("m%03d", i))
		m.list = append(m.list, peer.Member{ID: id, Zone: "z", Address: string(id)})
		m.members = append(m.members, m.newNode(id))
	}
	return m
}

func (m *mesh) newNode(id fleet.MemberID) *node {
	c := clock.Clock{NowFunc: now, WallFunc: now}
	d := &node{id: id}
	log := slog.New(slog.DiscardHandler)
	d.follower = &peer.Follower{Clock: c, Log: &rowstore.ConfigLog{Table: m.table(id)}, Current: &d.current, Logger: log}
	d.syncer = &peer.Syncer{
		Self: id, Zone: "z", Epoch: 1, Clock: c, Logger: log, Follower: d.follower, Assignments: &d.zones,
		Members: func() peer.Roster { return peer.Roster{Members: m.list, Read: c.Mark(), Known: true} },
		Load: func() map[fleet.PoolID]peer.PoolLoad {
			return map[fleet.PoolID]peer.PoolLoad{"p": {InFlight: 3, Slots: 8, Teams: map[fleet.TeamID]peer.TeamLoad{"t": {Running: 1, Waiting: 2}}}}
		},
		Call: func(ctx context.Context, to peer.Member, q peer.Message) (peer.Message, error) {
			return m.call(ctx, id, to, q)
		},
	}
	d.follower.Changed = d.syncer.Changed
	return d
}

// call passes a message as text, with 1 ms each way.
func (m *mesh) call(ctx context.Context, from fleet.MemberID, to peer.Member, q peer.Message) (peer.Message, error) {
	m.mu.Lock()
	cut := m.cut[[2]fleet.MemberID{from, to.ID}]
	m.mu.Unlock()
	m.calls.Add(1)
	if cut {
		return peer.Message{}, errCut
	}
	time.Sleep(time.Millisecond)
	if err := ctx.Err(); err != nil {
		return peer.Message{}, err
	}
	for _, d := range m.members {
		if d.id == to.ID {
			in, err := recode(q)
			if err != nil {
				return peer.Message{}, err
			}
			answer, err := recode(d.syncer.Answer(in))
			if m.isReused(to.ID) {
				answer.From = "other"
			}
			time.Sleep(time.Millisecond)
			return answer, err
		}
	}
	return peer.Message{}, errCut
}

func recode(m peer.Message) (peer.Message, error) {
	text, err := peer.Encode(m)
	if err != nil {
		return m, err
	}
	return peer.Decode(text)
}

// table returns the table service as a member sees it.
func (m *mesh) table(id fleet.MemberID) *rowstore.Table {
	down := func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.down[id]
	}
	return &rowstore.Table{
		Read: func(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
			if down() {
				return nil, &rowstore.UnavailableError{Op: "read", Err: errCut}
			}
			w := rowstore.WireQuery{}
			for _, g := range q.Gets {
				w.Gets = append(w.Gets, rowstore.WireRef{Table: g.Table, Key: g.Key})
			}
			var rows []rowstore.Row
			for _, r := range m.store.Query(w).Rows {
				rows = append(rows, rowstore.Row{Ref: rowstore.Ref{Table: r.Table, Key: r.Key}, Version: fleet.Version(r.Version), Value: r.Value})
			}
			return rows, nil
		},
		Transact: func(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
			if down() {
				return nil, &rowstore.UnavailableError{Op: "transaction", Err: errCut}
			}
			w := rowstore.WireTransaction{}
			for _, c := range t.Checks {
				w.Checks = append(w.Checks, rowstore.WireCheck{Table: c.Table, Key: c.Key, Version: uint64(c.Version)})
			}
			for _, x := range t.Writes {
				w.Writes = append(w.Writes, rowstore.WireWrite{Table: x.Table, Key: x.Key, Value: x.Value})
			}
			out, status := m.store.Commit(w)
			if m.isLost() {
				m.setDown(true, id)
				return nil, &rowstore.UnavailableError{Op: "transaction", Maybe: true, Err: errCut}
			}
			if status != 200 {
				return nil, &rowstore.ConflictError{}
			}
			return make([]fleet.Version, len(out.Versions)), nil
		},
	}
}

func (m *mesh) isLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

func (m *mesh) isReused(id fleet.MemberID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used == id
}

func (m *mesh) reuse(id fleet.MemberID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used = id
}

func (m *mesh) setDown(down bool, ids ...fleet.MemberID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		m.down[id] = down
	}
}

func (m *mesh) all() (out []fleet.MemberID) {
	for _, p := range m.list {
		out = append(out, p.ID)
	}
	return out
}

// partition cuts the members from first on off from the others.
func (m *mesh) partition(first int, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, a := range m.list {
		for j, b := range m.list {
			if i < first != (j < first) {
				m.cut[[2]fleet.MemberID{a.ID, b.ID}] = cut
			}
		}
	}
}

// run runs all members, then f, in a bubble of virtual time.
func (m *mesh) run(t *testing.T, f func(ctx context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, d := range m.members {
		wg.Go(func() { d.follower.Run(ctx) })
		wg.Go(func() { d.syncer.Run(ctx) })
	}
	time.Sleep(3100 * time.Millisecond)
	f(ctx)
	cancel()
	wg.Wait()
}

func (m *mesh) accept(t *testing.T, by int) fleet.Version {
	t.Helper()
	base := m.members[by].current.Load().Version
	v, err := m.members[by].follower.Accept(context.Background(), fleet.ReleaseNote{ID: fleet.NoteID(fmt.Sprint("n", base)), Base: base})
	must.NoError(t, err)
	return v
}

func (m *mesh) versions() map[fleet.Version]int {
	out := map[fleet.Version]int{}
	for _, d := range m.members {
		out[d.current.Load().Version]++
	}
	return out
}

// Guards against a change that waits for the next poll or period to spread, and against one
// that is sent again and again.
func TestChangeSpreadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(8)
		m.run(t, func(context.Context) {
			time.Sleep(400 * time.Millisecond) // between two polls
			before := m.calls.Load()
			v := m.accept(t, 3)
			time.Sleep(20 * time.Millisecond)
			must.Eq(t, map[fleet.Version]int{v: 8}, m.versions())
			must.Less(t, int64(8*peer.EventFanout*2), m.calls.Load()-before)
		})
	})
}

// Guards against a member that misses changes after a partition or reverts to an older
// configuration, with and without the table service.
func TestConvergesAfterPartition(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		t.Run(fmt.Sprint("store ", reachable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(6)
				highest := make([]fleet.Version, 6)
				m.run(t, func(context.Context) {
					m.partition(4, true)
					m.setDown(true, "m004", "m005")
					for range 130 { // more than one message of notes holds
						m.accept(t, 0)
						for i, d := range m.members {
							v := d.current.Load().Version
							must.GreaterEq(t, highest[i], v)
							highest[i] = v
						}
					}
					time.Sleep(10 * time.Second)
					must.Eq(t, map[fleet.Version]int{130: 4, 0: 2}, m.versions())
					age, _ := m.members[5].follower.Age()
					must.Greater(t, 3000, age)
					m.partition(4, false)
					m.setDown(!reachable, "m004", "m005")
					time.Sleep(3 * time.Second)
					must.Eq(t, map[fleet.Version]int{130: 6}, m.versions())
					age, _ = m.members[5].follower.Age()
					must.LessEq(t, 3000, age)
				})
			})
		})
	}
}

// Guards against keys being refused in an outage of the table service although all members
// agree, and against unanimity with a member that does not answer or has an open submission.
func TestUnanimityInAnOutage(t *testing.T) {
	fresh := func(m *mesh) (n int) {
		for _, d := range m.members {
			if age, ok := d.follower.Age(); ok && age <= 3000 {
				n++
			}
		}
		return n
	}
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(8)
		m.run(t, func(ctx context.Context) {
			m.setDown(true, m.all()...)
			for range 40 {
				time.Sleep(500 * time.Millisecond)
				must.Eq(t, 8, fresh(m))
			}
			m.partition(7, true)
			time.Sleep(5 * time.Second)
			must.Eq(t, 0, fresh(m), must.Sprint("one member does not answer"))
			m.partition(7, false)
			time.Sleep(3 * time.Second)
			must.Eq(t, 8, fresh(m))

			m.setDown(false, "m002")
			time.Sleep(3 * time.Second)
			must.Eq(t, 8, fresh(m), must.Sprint("one member reaches the table service"))
			m.mu.Lock()
			m.lost = true
			m.mu.Unlock()
			_, err := m.members[2].follower.Accept(ctx, fleet.ReleaseNote{ID: "n"})
			must.Error(t, err)
			time.Sleep(5 * time.Second)
			must.Eq(t, 0, fresh(m), must.Sprint("a change may have been accepted"))
			m.setDown(false, "m006")
			time.Sleep(3 * time.Second)
			must.Eq(t, 8, fresh(m))
			must.Eq(t, map[fleet.Version]int{1: 8}, m.versions())
		})
	})
}

// Guards against an assignment that spreads late or reverts, and against a hand-over that
// counts a member as confirmed which holds an older version.
func TestAssignmentsSpreadAndAreConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(8)
		m.run(t, func(context.Context) {
			place := func(v fleet.Version, pool fleet.PoolID) *fleet.Assignment {
				return &fleet.Assignment{Zone: "z", Version: v, Placements: map[fleet.InstanceID]fleet.Placement{
					"i": {Pool: pool, Phase: fleet.Serving}, "j": {Pool: "q", Phase: fleet.Serving},
				}}
			}
			must.True(t, m.members[0].syncer.Publish(place(2, "p")))
			time.Sleep(20 * time.Millisecond)
			must.False(t, m.members[1].syncer.Publish(place(1, "old")))
			must.True(t, m.members[0].syncer.Publish(place(3, "q")))
			m.partition(7, true)
			time.Sleep(3 * time.Second)
			for _, d := range m.members[:7] {
				must.Eq(t, place(3, "q"), d.zones.Load("z"))
			}
			// A member confirms a version with the summary after the one at which it held it.
			time.Sleep(2 * time.Second)
			confirmed := m.members[0].syncer.Confirmed("z")
			must.Eq(t, 3, confirmed["m006"])
			must.LessEq(t, 2, confirmed["m007"])
			m.partition(7, false)
			time.Sleep(5 * time.Second)
			must.Eq(t, 3, m.members[0].syncer.Confirmed("z")["m007"])
		})
	})
}

// Guards against weights computed from the load of members that are cut off, and against the
// own load being counted as a peer's.
func TestLoadsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(8)
		m.run(t, func(context.Context) {
			s := m.members[0].syncer
			must.Eq(t, 7, len(s.Loads("p")))
			must.Eq(t, 2, s.Loads("p")[0].Teams["t"].Waiting)
			must.Eq(t, 7, len(s.Loads("other"))) // no load is news, too
			must.Eq(t, 0, s.Loads("other")[0].InFlight)
			must.Eq(t, map[fleet.ZoneID]int{"z": 8}, s.LiveByZone())
			must.Eq(t, 8, len(s.Dump().Loads))
			m.partition(5, true)
			time.Sleep(5 * time.Second)
			must.Eq(t, 4, len(s.Loads("p")))
			must.Eq(t, map[fleet.ZoneID]int{"z": 5}, s.LiveByZone())
		})
	})
}

// Guards against a note that skips a version being applied.
func TestNotesApplyInOrderOnly(t *testing.T) {
	m := newMesh(2)
	s := m.members[0].syncer
	s.Answer(peer.Message{From: "m001", Items: peer.Items{Notes: []fleet.ReleaseNote{{ID: "late", Base: 1}}}})
	must.Eq(t, 0, m.members[0].current.Load().Version)
	s.Answer(peer.Message{From: "m001", Items: peer.Items{Notes: []fleet.ReleaseNote{{ID: "a", Base: 0}, {ID: "c", Base: 2}}}})
	must.Eq(t, 1, m.members[0].current.Load().Version)
}

// Guards against a summary from an earlier life of this member, or a forged one, taking the
// place of its own.
func TestOwnSummaryIsNotTakenFromPeers(t *testing.T) {
	s := newMesh(2).members[0].syncer
	forged := peer.Summary{Member: "m000", Zone: "z", Stamp: peer.Stamp{Epoch: 9, Seq: 9}}
	s.Answer(peer.Message{From: "m001", Items: peer.Items{Loads: []peer.Summary{forged}}})
	must.Eq(t, 0, len(s.Dump().Loads))
}

// Guards against a restarted member counting as confirmed for what it held before.
func TestRestartTakesConfirmationBack(t *testing.T) {
	s := newMesh(2).members[0].syncer
	for _, tc := range []struct {
		stamp     peer.Stamp
		said, get fleet.Version
	}{
		{peer.Stamp{Epoch: 1, Seq: 1}, 5, 5},
		{peer.Stamp{Epoch: 1, Seq: 2}, 6, 6},
		{peer.Stamp{Epoch: 2, Seq: 1}, 4, 4},
		{peer.Stamp{Epoch: 1, Seq: 3}, 7, 4},
	} {
		s.Answer(peer.Message{From: "m001", Items: peer.Items{Loads: []peer.Summary{{Member: "m001", Zone: "z", Stamp: tc.stamp, Assignment: tc.said}}}})
		must.Eq(t, tc.get, s.Confirmed("z")["m001"])
	}
}

// Guards against the answer of another member at a reused address counting for the one asked.
func TestAnswerOfAnotherMemberIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(3)
		m.run(t, func(context.Context) {
			m.reuse("m002")
			m.setDown(true, m.all()...)
			time.Sleep(5 * time.Second)
			age, _ := m.members[0].follower.Age()
			must.Greater(t, 3000, age)
		})
	})
}
