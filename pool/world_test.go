package pool_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/pool"
	"citronknot/rowstore"
	"citronknot/standin"
)

// TestMain fixes the seed of the property tests and bounds them to a few seconds, unless the
// command line says otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "20", "rapid.nofailfile": "true", "rapid.shrinktime": "2s",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	second clock.Millis = 1000
	minute              = 60 * second
	hour                = 60 * minute
	day                 = 24 * hour
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// testFleet has equal pools of perPool instances, 4 to a rack, the racks spread over the zones,
// and a spare pool.
func testFleet(pools, perPool, spares, zones, maxAbsent int) *fleet.Config {
	c := &fleet.Config{
		Version: 1, Pools: map[fleet.PoolID]fleet.Pool{}, Queues: map[fleet.QueueID]fleet.Queue{}, Instances: map[fleet.InstanceID]fleet.Instance{},
	}
	add := func(id fleet.PoolID, n int) {
		for range n {
			k := len(c.Instances)
			rack := k % max(zones, (pools*perPool+spares)/4)
			in := fleet.InstanceID(fmt.Sprintf("i%04d", k))
			c.Instances[in] = fleet.Instance{
				ID: in, Zone: fleet.ZoneID(fmt.Sprint("z", rack%zones)), Rack: fleet.RackID(fmt.Sprint("r", rack)), Slots: 8, Pool: id,
			}
		}
	}
	for i := range pools {
		id := fleet.PoolID(fmt.Sprintf("p%02d", i))
		c.Pools[id] = fleet.Pool{ID: id, MaxAbsent: maxAbsent, Maintenance: fleet.Maintenance{Every: 14 * day, DrainBound: 10 * minute}}
		c.Queues[fleet.QueueID(id)] = fleet.Queue{ID: fleet.QueueID(id), Pool: id, DefaultDeadline: 30 * second, MaxDeadline: minute}
		add(id, perPool)
	}
	c.Pools["spare"] = fleet.Pool{ID: "spare", Spare: true, MaxAbsent: maxAbsent, Maintenance: fleet.Maintenance{Every: 14 * day}}
	add("spare", spares)
	return c
}

// node is a member: it routes by its own copy of each zone's assignment.
type node struct {
	id     fleet.MemberID
	zone   fleet.ZoneID
	routes map[fleet.ZoneID]*fleet.Assignment
	heard  map[fleet.ZoneID]clock.Millis // time of its last confirmation
	mute   bool                          // confirms nothing and learns nothing
}

type holder struct {
	*pool.Controller
	lease rowstore.Check
	holds bool
}

// world is a fleet under virtual time.
type world struct {
	platform standin.Platform
	config   *fleet.Config
	now      clock.Millis
	nodes    []*node
	holders  []*holder
	down     map[fleet.InstanceID]bool
	load     map[fleet.PoolID]pool.Load
	booting  map[fleet.InstanceID]clock.Millis // time at which the reboot ends
	lose     func() (before, after bool)       // whether the next commit is lost before or after it takes effect
	late     []rowstore.Transaction            // lost on the way; may still arrive
	pause    func()                            // runs between the next read and its commit
	fail     func(format string, args ...any)
	served   map[fleet.InstanceID]clock.Millis // end of the last maintenance
	worst    clock.Millis                      // longest time without maintenance
	rows     map[fleet.InstanceID]row          // by the commits, read without the package's codec
	budgets  map[string]budget
	moves    int
	bounces  int // reboots of an instance in service
}

func newWorld(c *fleet.Config, zones, members int, policy pool.Policy, fail func(string, ...any)) *world {
	w := &world{
		config: c, now: 30 * day, down: map[fleet.InstanceID]bool{}, load: map[fleet.PoolID]pool.Load{},
		booting: map[fleet.InstanceID]clock.Millis{}, lose: func() (bool, bool) { return false, false }, fail: fail,
		rows: map[fleet.InstanceID]row{}, budgets: map[string]budget{}, served: map[fleet.InstanceID]clock.Millis{},
	}
	for i := range members {
		w.nodes = append(w.nodes, &node{
			id: fleet.MemberID(fmt.Sprint("m", i)), zone: fleet.ZoneID(fmt.Sprint("z", i%zones)),
			routes: map[fleet.ZoneID]*fleet.Assignment{}, heard: map[fleet.ZoneID]clock.Millis{},
		})
	}
	for z := range zones {
		for range 2 {
			h := &holder{Controller: &pool.Controller{
				Zone: fleet.ZoneID(fmt.Sprint("z", z)), Config: func() *fleet.Config { return w.config },
				Clock:       clock.Clock{NowFunc: func() clock.Millis { return w.now }, WallFunc: func() clock.Millis { return w.now }},
				Assignments: &rowstore.Assignments{Table: w.table()}, Instances: w.list, Reboot: w.reboot, Policy: policy,
				Weights: pool.Association(), Load: func() map[fleet.PoolID]pool.Load { return w.load }, Log: quiet,
			}}
			h.Members = func(context.Context) ([]pool.Member, error) { return w.members(h.Zone), nil }
			h.Lease = func() (rowstore.Check, clock.Millis, bool) { return h.lease, 6 * second, h.holds }
			w.holders = append(w.holders, h)
		}
		w.grant(2 * z)
	}
	for id := range c.Instances {
		w.served[id] = w.now
	}
	return w
}

// grant gives the lease of a zone to a controller. A controller that held it before is not
// told and continues to believe that it holds it.
func (w *world) grant(i int) {
	h := w.holders[i]
	ref := rowstore.WireRef{Table: "leases", Key: "zone/" + string(h.Zone)}
	out, _ := w.platform.Commit(rowstore.WireTransaction{Writes: []rowstore.WireWrite{{Table: ref.Table, Key: ref.Key, Value: json.RawMessage(`{}`)}}})
	h.lease = rowstore.Check{Ref: rowstore.Ref{Table: ref.Table, Key: ref.Key}, Version: fleet.Version(out.Versions[0])}
	h.holds = true
}

// gone reports whether the list shows an instance no more.
func (w *world) gone(id fleet.InstanceID) bool { return w.down[id] || w.booting[id] > w.now }

func (w *world) list(context.Context) ([]rowstore.Listed, error) {
	var out []rowstore.Listed
	for id, in := range w.config.Instances {
		if !w.gone(id) {
			out = append(out, rowstore.Listed{ID: id, Zone: in.Zone, State: rowstore.StateLive})
		}
	}
	return out, nil
}

func (w *world) reboot(_ context.Context, id fleet.InstanceID) error {
	for _, n := range w.nodes {
		if w.routable(n, id) != "" {
			w.bounces++
		}
	}
	w.booting[id] = w.now + minute
	return nil
}

func (w *world) members(z fleet.ZoneID) []pool.Member {
	var out []pool.Member
	for _, n := range w.nodes {
		m := pool.Member{ID: n.id, Zone: n.zone, Silent: w.now - n.heard[z]}
		if a := n.routes[z]; a != nil {
			m.Confirmed = a.Version
		}
		out = append(out, m)
	}
	return out
}

// learn gives a member the newest assignment of a zone, which it confirms.
func (w *world) learn(n *node, z fleet.ZoneID) {
	if n.mute {
		return
	}
	rows, err := (&rowstore.Assignments{Table: w.direct()}).Read(context.Background(), z, nil)
	if err != nil {
		w.fail("read: %v", err)
		return
	}
	n.routes[z], n.heard[z] = rows.Assignment(), w.now
}

// routable returns the pool for which a member sends work to an instance. It stops when its
// own term has ended.
func (w *world) routable(n *node, id fleet.InstanceID) fleet.PoolID {
	in := w.config.Instances[id]
	term := 10 * second
	if n.zone == in.Zone {
		term = hour
	}
	if a := n.routes[in.Zone]; a != nil && w.now-n.heard[in.Zone] < term && a.Of(in).Phase == fleet.Serving {
		return a.Of(in).Pool
	}
	return ""
}

func (w *world) checkOnePool() {
	for id := range w.config.Instances {
		pools := map[fleet.PoolID]bool{}
		for _, n := range w.nodes {
			if p := w.routable(n, id); p != "" {
				pools[p] = true
			}
		}
		if len(pools) > 1 {
			w.fail("%s is routable in %v", id, pools)
		}
	}
}

func (w *world) direct() *rowstore.Table {
	return &rowstore.Table{Transact: w.commit, Read: func(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
		var in rowstore.WireQuery
		for _, g := range q.Gets {
			in.Gets = append(in.Gets, rowstore.WireRef{Table: g.Table, Key: g.Key})
		}
		for _, s := range q.Scans {
			in.Scans = append(in.Scans, rowstore.WireScan{Table: s.Table, Prefix: s.Prefix})
		}
		var out []rowstore.Row
		for _, r := range w.platform.Query(in).Rows {
			out = append(out, rowstore.Row{Ref: rowstore.Ref{Table: r.Table, Key: r.Key}, Version: fleet.Version(r.Version), Value: r.Value})
		}
		return out, nil
	}}
}

// table loses commits before or after they take effect.
func (w *world) table() *rowstore.Table {
	t := w.direct()
	t.Transact = func(ctx context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
		lost := &rowstore.UnavailableError{Op: "transaction", Maybe: true, Err: eris.New("lost")}
		before, after := w.lose()
		if before {
			w.late = append(w.late, t)
			return nil, lost
		}
		if pause := w.pause; pause != nil {
			w.pause = nil
			pause()
		}
		v, err := w.commit(ctx, t)
		if after && err == nil {
			return nil, lost
		}
		return v, err
	}
	return t
}

func (w *world) commit(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
	var in rowstore.WireTransaction
	for _, c := range t.Checks {
		in.Checks = append(in.Checks, rowstore.WireCheck{Table: c.Table, Key: c.Key, Version: uint64(c.Version)})
	}
	for _, x := range t.Writes {
		in.Writes = append(in.Writes, rowstore.WireWrite{Table: x.Table, Key: x.Key, Value: x.Value, Delete: x.Delete})
	}
	out, status := w.platform.Commit(in)
	if status != 200 {
		e := &rowstore.ConflictError{}
		for _, r := range out.Conflicts {
			e.Rows = append(e.Rows, rowstore.Ref{Table: r.Table, Key: r.Key})
		}
		return nil, e
	}
	w.check(t)
	v := make([]fleet.Version, len(out.Versions))
	for i := range out.Versions {
		v[i] = fleet.Version(out.Versions[i])
	}
	return v, nil
}

type row struct {
	Pool, Phase string
	Maintained  int64 `json:"maintained_ms"`
	Moved       int64 `json:"moved_ms"`
}

type budget struct {
	Absent map[fleet.InstanceID]struct{}
}

// absent counts the instances of a pool that are out of service by their rows, or were down
// when the controllers last looked.
func (w *world) absent(p string) int {
	n := 0
	for _, r := range w.rows {
		if r.Pool == p && out(r) {
			n++
		}
	}
	for id := range w.budgets[p].Absent {
		if !out(w.rows[id]) {
			n++
		}
	}
	return n
}

func out(r row) bool {
	return r.Phase != "" && r.Phase != "serving" && (r.Phase != "leaving_pool" || r.Pool != "spare")
}

// check compares the rows before and after a commit: a budget is never exceeded by taking an
// instance out of service, and no instance moves twice within the minimum stay.
func (w *world) check(t rowstore.Transaction) {
	before, counted := map[fleet.InstanceID]row{}, map[fleet.InstanceID]bool{}
	for _, b := range w.budgets {
		for id := range b.Absent {
			counted[id] = true
		}
	}
	for _, x := range t.Writes {
		switch x.Table {
		case "instances":
			_, id, _ := strings.Cut(x.Key, "/")
			var r row
			_ = json.Unmarshal(x.Value, &r)
			before[fleet.InstanceID(id)] = w.rows[fleet.InstanceID(id)]
			w.rows[fleet.InstanceID(id)] = r
		case "budgets":
			var b budget
			_ = json.Unmarshal(x.Value, &b)
			w.budgets[x.Key] = b
		}
	}
	for id, old := range before {
		w.checkRow(id, old, w.rows[id], counted[id])
	}
}

func (w *world) checkRow(id fleet.InstanceID, old, r row, counted bool) {
	if !out(old) && out(r) {
		if n, limit := w.absent(r.Pool), w.config.Pools[fleet.PoolID(r.Pool)].MaxAbsent; n > limit && !counted && !w.gone(id) {
			w.fail("%d of %d instances of pool %s absent when %s became %s", n, limit, r.Pool, id, r.Phase)
		}
	}
	if old.Pool != "" && old.Pool != r.Pool {
		// By the times of the decisions: a late commit takes effect after its decision.
		if old.Moved != 0 && r.Moved-old.Moved < int64(hour) {
			w.fail("%s moved twice in %d ms", id, r.Moved-old.Moved)
		}
		w.moves++
	}
	if old.Maintained != 0 && r.Maintained > old.Maintained {
		w.served[id] = w.now
		w.worst = max(w.worst, clock.Millis(r.Maintained-old.Maintained))
	}
}

func (w *world) tick(i int) error {
	return w.holders[i].Tick(context.Background(), w.holders[i].Clock.Mark())
}
