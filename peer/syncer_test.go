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

// memoryFleet is a set of members on an in-memory network that can be partitioned.
type memoryFleet struct {
	store   standin.Platform
	members []*node
	roster  []peer.Member

	calls atomic.Int64

	mu                  sync.Mutex
	unreachable         map[[2]fleet.MemberID]bool // calls that fail
	tableDown           map[fleet.MemberID]bool    // members that cannot reach the table service
	loseCommitResponses bool                       // responses to commits are lost
	reusedAddress       fleet.MemberID             // member at whose address another member responds
}

// node is one member with its follower and its syncer.
type node struct {
	id          fleet.MemberID
	current     fleet.Current
	assignments fleet.Assignments
	follower    *peer.Follower
	syncer      *peer.Syncer
}

var errPartitioned = errors.New("partitioned")

// now returns the time of a synctest bubble, which advances only while all goroutines are
// blocked.
func now() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }

func newMemoryFleet(n int) *memoryFleet {
	m := &memoryFleet{unreachable: map[[2]fleet.MemberID]bool{}, tableDown: map[fleet.MemberID]bool{}}
	for i := range n {
		id := fleet.MemberID(fmt.Sprintf("m%03d", i))
		m.roster = append(m.roster, peer.Member{ID: id, Zone: "z", Address: string(id)})
		m.members = append(m.members, m.newNode(id))
	}
	return m
}

func (m *memoryFleet) newNode(id fleet.MemberID) *node {
	c := clock.Clock{NowFunc: now, WallFunc: now}
	d := &node{id: id}
	log := slog.New(slog.DiscardHandler)
	d.follower = &peer.Follower{Clock: c, ConfigLog: &rowstore.ConfigLog{Table: m.table(id)}, Current: &d.current, Logger: log}
	d.syncer = &peer.Syncer{
		Self: id, Zone: "z", Epoch: 1, Clock: c, Logger: log, Follower: d.follower, Assignments: &d.assignments,
		Members: func() peer.Roster { return peer.Roster{Members: m.roster, ReadAt: c.Mark(), HasRead: true} },
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

// call delivers an encoded message, with a latency of 1 ms in each direction.
func (m *memoryFleet) call(ctx context.Context, from fleet.MemberID, to peer.Member, q peer.Message) (peer.Message, error) {
	m.mu.Lock()
	fail := m.unreachable[[2]fleet.MemberID{from, to.ID}]
	m.mu.Unlock()
	m.calls.Add(1)
	if fail {
		return peer.Message{}, errPartitioned
	}
	time.Sleep(time.Millisecond)
	if err := ctx.Err(); err != nil {
		return peer.Message{}, err
	}
	for _, d := range m.members {
		if d.id == to.ID {
			in, err := encodeAndDecode(q)
			if err != nil {
				return peer.Message{}, err
			}
			response, err := encodeAndDecode(d.syncer.Respond(in))
			if m.isAddressReused(to.ID) {
				response.From = "other"
			}
			time.Sleep(time.Millisecond)
			return response, err
		}
	}
	return peer.Message{}, errPartitioned
}

func encodeAndDecode(m peer.Message) (peer.Message, error) {
	text, err := peer.Encode(m)
	if err != nil {
		return m, err
	}
	return peer.Decode(text)
}

// table returns the table service as seen by one member.
func (m *memoryFleet) table(id fleet.MemberID) *rowstore.Table {
	down := func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.tableDown[id]
	}
	return &rowstore.Table{
		Read: func(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
			if down() {
				return nil, &rowstore.UnavailableError{Op: "read", Err: errPartitioned}
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
				return nil, &rowstore.UnavailableError{Op: "transaction", Err: errPartitioned}
			}
			w := rowstore.WireTransaction{}
			for _, c := range t.Checks {
				w.Checks = append(w.Checks, rowstore.WireCheck{Table: c.Table, Key: c.Key, Version: uint64(c.Version)})
			}
			for _, x := range t.Writes {
				w.Writes = append(w.Writes, rowstore.WireWrite{Table: x.Table, Key: x.Key, Value: x.Value})
			}
			out, status := m.store.Commit(w)
			if m.losesCommitResponses() {
				m.setTableDown(true, id)
				return nil, &rowstore.UnavailableError{Op: "transaction", OutcomeUnknown: true, Err: errPartitioned}
			}
			if status != 200 {
				return nil, &rowstore.ConflictError{}
			}
			return make([]fleet.Version, len(out.Versions)), nil
		},
	}
}

func (m *memoryFleet) losesCommitResponses() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loseCommitResponses
}

func (m *memoryFleet) isAddressReused(id fleet.MemberID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reusedAddress == id
}

func (m *memoryFleet) reuseAddress(id fleet.MemberID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reusedAddress = id
}

func (m *memoryFleet) setTableDown(down bool, ids ...fleet.MemberID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		m.tableDown[id] = down
	}
}

func (m *memoryFleet) memberIDs() (out []fleet.MemberID) {
	for _, p := range m.roster {
		out = append(out, p.ID)
	}
	return out
}

// setPartition starts or ends a partition between the members before index first and the others.
func (m *memoryFleet) setPartition(first int, active bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, a := range m.roster {
		for j, b := range m.roster {
			if i < first != (j < first) {
				m.unreachable[[2]fleet.MemberID{a.ID, b.ID}] = active
			}
		}
	}
}

// run runs all members in a synctest bubble, calls f after 3.1 s and then stops the members.
func (m *memoryFleet) run(t *testing.T, f func(ctx context.Context)) {
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

func (m *memoryFleet) accept(t *testing.T, index int) fleet.Version {
	t.Helper()
	base := m.members[index].current.Load().Version
	v, err := m.members[index].follower.Submit(context.Background(), fleet.ReleaseNote{ID: fleet.NoteID(fmt.Sprint("n", base)), Base: base})
	must.NoError(t, err)
	return v
}

func (m *memoryFleet) versionCounts() map[fleet.Version]int {
	out := map[fleet.Version]int{}
	for _, d := range m.members {
		out[d.current.Load().Version]++
	}
	return out
}

// Guards against a change that propagates only with the next read of the table service or the
// next period, and against one that is sent repeatedly.
func TestChangePropagatesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryFleet(8)
		m.run(t, func(context.Context) {
			time.Sleep(400 * time.Millisecond) // between two reads of the table service
			before := m.calls.Load()
			v := m.accept(t, 3)
			time.Sleep(20 * time.Millisecond)
			must.Eq(t, map[fleet.Version]int{v: 8}, m.versionCounts())
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
				m := newMemoryFleet(6)
				highest := make([]fleet.Version, 6)
				m.run(t, func(context.Context) {
					m.setPartition(4, true)
					m.setTableDown(true, "m004", "m005")
					for range 130 { // more notes than fit into one message
						m.accept(t, 0)
						for i, d := range m.members {
							v := d.current.Load().Version
							must.GreaterEq(t, highest[i], v)
							highest[i] = v
						}
					}
					time.Sleep(10 * time.Second)
					must.Eq(t, map[fleet.Version]int{130: 4, 0: 2}, m.versionCounts())
					age, _ := m.members[5].follower.Age()
					must.Greater(t, 3000, age)
					m.setPartition(4, false)
					m.setTableDown(!reachable, "m004", "m005")
					time.Sleep(3 * time.Second)
					must.Eq(t, map[fleet.Version]int{130: 6}, m.versionCounts())
					age, _ = m.members[5].follower.Age()
					must.LessEq(t, 3000, age)
				})
			})
		})
	}
}

// Guards against keys being rejected during an outage of the table service although all members
// agree, and against unanimity with a member that does not respond or has a submission with
// unknown outcome.
func TestUnanimityDuringOutage(t *testing.T) {
	countFresh := func(m *memoryFleet) (n int) {
		for _, d := range m.members {
			if age, ok := d.follower.Age(); ok && age <= 3000 {
				n++
			}
		}
		return n
	}
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryFleet(8)
		m.run(t, func(ctx context.Context) {
			m.setTableDown(true, m.memberIDs()...)
			for range 40 {
				time.Sleep(500 * time.Millisecond)
				must.Eq(t, 8, countFresh(m))
			}
			m.setPartition(7, true)
			time.Sleep(5 * time.Second)
			must.Eq(t, 0, countFresh(m), must.Sprint("one member does not respond"))
			m.setPartition(7, false)
			time.Sleep(3 * time.Second)
			must.Eq(t, 8, countFresh(m))

			m.setTableDown(false, "m002")
			time.Sleep(3 * time.Second)
			must.Eq(t, 8, countFresh(m), must.Sprint("one member reaches the table service"))
			m.mu.Lock()
			m.loseCommitResponses = true
			m.mu.Unlock()
			_, err := m.members[2].follower.Submit(ctx, fleet.ReleaseNote{ID: "n"})
			must.Error(t, err)
			time.Sleep(5 * time.Second)
			must.Eq(t, 0, countFresh(m), must.Sprint("a change may have been accepted"))
			m.setTableDown(false, "m006")
			time.Sleep(3 * time.Second)
			must.Eq(t, 8, countFresh(m))
			must.Eq(t, map[fleet.Version]int{1: 8}, m.versionCounts())
		})
	})
}

// Guards against an assignment that propagates late or is reverted, and against a handover that
// counts a member as confirmed although it has an older version.
func TestAssignmentsPropagateAndAreConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryFleet(8)
		m.run(t, func(context.Context) {
			assignment := func(v fleet.Version, pool fleet.PoolID) *fleet.Assignment {
				return &fleet.Assignment{Zone: "z", Version: v, Placements: map[fleet.InstanceID]fleet.Placement{
					"i": {Pool: pool, Phase: fleet.Serving}, "j": {Pool: "q", Phase: fleet.Serving},
				}}
			}
			must.True(t, m.members[0].syncer.Publish(assignment(2, "p")))
			time.Sleep(20 * time.Millisecond)
			must.False(t, m.members[1].syncer.Publish(assignment(1, "old")))
			must.True(t, m.members[0].syncer.Publish(assignment(3, "q")))
			m.setPartition(7, true)
			time.Sleep(3 * time.Second)
			for _, d := range m.members[:7] {
				must.Eq(t, assignment(3, "q"), d.assignments.Load("z"))
			}
			// A member confirms a version only in the second summary after it applied that version.
			time.Sleep(2 * time.Second)
			confirmed := m.members[0].syncer.ConfirmedVersions("z")
			must.Eq(t, 3, confirmed["m006"])
			must.LessEq(t, 2, confirmed["m007"])
			m.setPartition(7, false)
			time.Sleep(5 * time.Second)
			must.Eq(t, 3, m.members[0].syncer.ConfirmedVersions("z")["m007"])
		})
	})
}

// Guards against weights computed from the load of unreachable members, and against the load of
// this member being counted as that of a peer.
func TestLoadsExcludeSelfAndUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryFleet(8)
		m.run(t, func(context.Context) {
			s := m.members[0].syncer
			must.Eq(t, 7, len(s.Loads("p")))
			must.Eq(t, 2, s.Loads("p")[0].Teams["t"].Waiting)
			must.Eq(t, 7, len(s.Loads("other"))) // members without load on the pool are included
			must.Eq(t, 0, s.Loads("other")[0].InFlight)
			must.Eq(t, map[fleet.ZoneID]int{"z": 8}, s.LiveMembersByZone())
			must.Eq(t, 8, len(s.Dump().Loads))
			m.setPartition(5, true)
			time.Sleep(5 * time.Second)
			must.Eq(t, 4, len(s.Loads("p")))
			must.Eq(t, map[fleet.ZoneID]int{"z": 5}, s.LiveMembersByZone())
		})
	})
}

// Guards against a note being applied although a version before it is missing.
func TestNotesApplyOnlyInOrder(t *testing.T) {
	m := newMemoryFleet(2)
	s := m.members[0].syncer
	s.Respond(peer.Message{From: "m001", Items: peer.Items{Notes: []fleet.ReleaseNote{{ID: "late", Base: 1}}}})
	must.Eq(t, 0, m.members[0].current.Load().Version)
	s.Respond(peer.Message{From: "m001", Items: peer.Items{Notes: []fleet.ReleaseNote{{ID: "a", Base: 0}, {ID: "c", Base: 2}}}})
	must.Eq(t, 1, m.members[0].current.Load().Version)
}

// Guards against the summary of this member being replaced by a forged one or by one from before
// its restart.
func TestOwnSummaryIsNotAcceptedFromPeers(t *testing.T) {
	s := newMemoryFleet(2).members[0].syncer
	forged := peer.Summary{Member: "m000", Zone: "z", Stamp: peer.Stamp{Epoch: 9, Seq: 9}}
	s.Respond(peer.Message{From: "m001", Items: peer.Items{Loads: []peer.Summary{forged}}})
	must.Eq(t, 0, len(s.Dump().Loads))
}

// Guards against a restarted member counting as confirmed for a version that it had before the
// restart.
func TestRestartResetsConfirmedVersion(t *testing.T) {
	s := newMemoryFleet(2).members[0].syncer
	for _, tc := range []struct {
		stamp          peer.Stamp
		reported, want fleet.Version
	}{
		{peer.Stamp{Epoch: 1, Seq: 1}, 5, 5},
		{peer.Stamp{Epoch: 1, Seq: 2}, 6, 6},
		{peer.Stamp{Epoch: 2, Seq: 1}, 4, 4},
		{peer.Stamp{Epoch: 1, Seq: 3}, 7, 4},
	} {
		s.Respond(peer.Message{From: "m001", Items: peer.Items{Loads: []peer.Summary{{Member: "m001", Zone: "z", Stamp: tc.stamp, Assignment: tc.reported}}}})
		must.Eq(t, tc.want, s.ConfirmedVersions("z")["m001"])
	}
}

// Guards against the response of another member at a reused address being recorded for the
// intended member.
func TestResponseFromWrongMemberIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryFleet(3)
		m.run(t, func(context.Context) {
			m.reuseAddress("m002")
			m.setTableDown(true, m.memberIDs()...)
			time.Sleep(5 * time.Second)
			age, _ := m.members[0].follower.Age()
			must.Greater(t, 3000, age)
		})
	})
}
