package rowstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

const longestDeadline clock.Millis = 600_000

// process is one entry instance of the escrow tests.
type process struct {
	clock       *skewedClock
	members     *rowstore.Members
	escrow      *rowstore.Escrow
	requestEnds []clock.Millis // latest ends of its running requests, in true time
}

type escrowSimulation struct {
	*simulation
	config      *fleet.Config
	gone        map[fleet.MemberID]bool
	processes   []*process
	crashedEnds []clock.Millis // latest ends of requests whose process crashed
}

func newEscrowSimulation(t *rapid.T) *escrowSimulation {
	w := &escrowSimulation{simulation: &simulation{t: t}, gone: map[fleet.MemberID]bool{}}
	w.setLimit(10)
	return w
}

func (w *escrowSimulation) setLimit(n fleet.Slots) {
	v := fleet.Version(1)
	if w.config != nil {
		v = w.config.Version + 1
	}
	w.config = &fleet.Config{
		Version: v, Teams: map[fleet.TeamID]fleet.Team{"a": {ID: "a", Limit: n}},
		Queues: map[fleet.QueueID]fleet.Queue{"q": {MaxDeadline: longestDeadline}},
	}
}

func (w *escrowSimulation) start(id fleet.MemberID, zone fleet.ZoneID) *process {
	c := &skewedClock{sim: w.simulation, nowOffset: clock.Millis(len(w.processes)) * 77_000, wallOffset: clock.Millis(len(w.processes)) * 5_000_000}
	p := &process{clock: c}
	p.members = &rowstore.Members{
		Table: w.table(), Clock: c.clock(), Self: rowstore.Member{ID: id, Zone: zone},
		Gone: func(m fleet.MemberID) bool { return w.gone[m] },
	}
	p.escrow = &rowstore.Escrow{
		Table: w.table(), Clock: c.clock(), Members: p.members, Zone: zone,
		Config: func() *fleet.Config { return w.config },
	}
	w.processes = append(w.processes, p)
	return p
}

// finishDue finishes the requests whose deadline has passed.
func (w *escrowSimulation) finishDue() {
	for _, p := range w.processes {
		for len(p.requestEnds) > 0 && p.requestEnds[0] <= w.now {
			p.requestEnds = p.requestEnds[1:]
			p.escrow.Finish("a")
		}
	}
	w.crashedEnds = slices.DeleteFunc(w.crashedEnds, func(end clock.Millis) bool { return end <= w.now })
}

func (w *escrowSimulation) running() int {
	n := len(w.crashedEnds)
	for _, p := range w.processes {
		n += len(p.requestEnds)
	}
	return n
}

type limitRow struct {
	Limit, Free int
	Portions    []struct {
		Member       string
		Epoch, Slots int
	}
}

// check asserts that the rows add up to the limit, that no member's portion exceeds its row, and
// that no more requests run than the rows allow.
func (w *escrowSimulation) check(t must.T) {
	t.Helper()
	limit, sum, deficit := 0, 0, 0
	slots := map[string]int{}
	for _, r := range w.rows(rowstore.Query{Scans: []rowstore.Scan{{Table: "limits"}}}) {
		var row limitRow
		must.NoError(t, json.Unmarshal(r.Value, &row))
		sum += row.Free
		if strings.HasSuffix(r.Key, "/") {
			limit, deficit = row.Limit, max(0, -row.Free)
		} else {
			must.GreaterEq(t, 0, row.Free)
		}
		for _, p := range row.Portions {
			must.GreaterEq(t, 0, p.Slots)
			sum += p.Slots
			slots[fmt.Sprint(p.Member, p.Epoch)] += p.Slots
		}
	}
	must.Eq(t, limit, sum)
	must.LessEq(t, limit+deficit, w.running())
	for _, p := range w.processes {
		if got := p.escrow.Portions()["a"]; got.Valid {
			must.LessEq(t, slots[fmt.Sprint(p.members.Self.ID, p.members.Renewal().Epoch)], int(got.Slots))
		}
	}
}

// Guards against a team that runs more than its limit under lost, delayed and conflicting
// transactions, crashes, pauses at every call, two processes with the same id, instances that
// are gone from the platform's list, and limits that change.
func TestEscrowKeepsLimit(t *testing.T) {
	checkProperty(t, 500, func(t *rapid.T) {
		ctx := context.Background()
		w := newEscrowSimulation(t)
		w.start("m0", "z0")
		w.start("m1", "z0")
		w.start("m2", "z1")
		pick := func() *process { return rapid.SampledFrom(w.processes).Draw(t, "process") }
		advance := func(*rapid.T) {
			w.now += rapid.SampledFrom([]clock.Millis{500, 3000, 3000, 3000, 300_000, longestDeadline, 3_600_000, 3_604_000}).Draw(t, "advance")
			w.finishDue()
		}
		renew := func(*rapid.T) {
			p := pick()
			if p.members.Renew(ctx) != nil && p.members.Renewal().Epoch == 0 {
				_ = p.members.Register(ctx)
			}
		}
		var busy *process
		rebalance := func(*rapid.T) {
			p := pick()
			if p == busy {
				return // a member runs one round at a time
			}
			if busy == nil {
				busy = p
				defer func() { busy = nil }()
			}
			_ = p.escrow.Rebalance(ctx)
		}
		begin := func(*rapid.T) {
			p := pick()
			for range rapid.IntRange(1, 8).Draw(t, "starts") {
				if p.escrow.TryStart("a") {
					p.requestEnds = append(p.requestEnds, w.now+longestDeadline)
				}
			}
		}
		w.concurrent = func() {
			rapid.SampledFrom([]func(*rapid.T){advance, rebalance, begin, renew}).Draw(t, "meanwhile")(t)
			w.applyDelayed()
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": advance, "renew": renew, "renew2": renew, "rebalance": rebalance, "rebalance2": rebalance,
			"rebalance3": rebalance, "begin": begin, "begin2": begin,
			"finish": func(*rapid.T) {
				if p := pick(); len(p.requestEnds) > 0 {
					p.requestEnds = p.requestEnds[1:]
					p.escrow.Finish("a")
				}
			},
			"apply": func(*rapid.T) { w.applyDelayed() },
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "crash") != 0 {
					return
				}
				i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "crashed")
				old := w.processes[i]
				w.crashedEnds = append(w.crashedEnds, old.requestEnds...)
				w.processes = slices.Delete(w.processes, i, i+1)
				id := old.members.Self.ID
				alone := !slices.ContainsFunc(w.processes, func(p *process) bool { return p.members.Self.ID == id })
				if alone && rapid.Bool().Draw(t, "gone") {
					w.gone[id] = true
					id += "'"
				}
				w.start(id, old.escrow.Zone)
			},
			"twin": func(t *rapid.T) {
				if p := pick(); len(w.processes) < 5 && rapid.IntRange(0, 9).Draw(t, "twin") == 0 {
					w.start(p.members.Self.ID, p.escrow.Zone)
				}
			},
			"limit": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
					w.setLimit(fleet.Slots(rapid.IntRange(0, 15).Draw(t, "limit")))
				}
			},
			"": func(t *rapid.T) { w.check(t) },
		})
	})
}
