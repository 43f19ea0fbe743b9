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

// TestMain fixes the seed of the property tests and limits them to a few seconds, unless flags
// on the command line set other values.
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

// testFleet returns a configuration with equal pools of perPool instances and a spare pool. A
// rack holds 4 instances, and the racks are spread over the zones.
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

// simulatedMember is a member that routes by its own copy of each zone's assignment.
type simulatedMember struct {
	id           fleet.MemberID
	zone         fleet.ZoneID
	assignments  map[fleet.ZoneID]*fleet.Assignment
	confirmedAt  map[fleet.ZoneID]clock.Millis // time of the last confirmation
	unresponsive bool                          // receives and confirms no assignments
}

// zoneController is a controller with the state of its lease.
type zoneController struct {
	*pool.Controller
	lease      rowstore.Check
	holdsLease bool
}

// simulation is a simulated fleet with virtual time. Each zone has two controllers.
type simulation struct {
	platform         standin.Platform
	config           *fleet.Config
	now              clock.Millis
	simMembers       []*simulatedMember
	controllers      []*zoneController
	down             map[fleet.InstanceID]bool
	load             map[fleet.PoolID]pool.Load
	rebootEnds       map[fleet.InstanceID]clock.Millis // end of the last reboot
	loseCommit       func() (before, after bool)       // whether the next commit is lost before or after it takes effect
	lostCommits      []rowstore.Transaction            // lost before they took effect; may still arrive
	beforeCommit     func()                            // called once before the next commit
	fail             func(format string, args ...any)
	maintainedAt     map[fleet.InstanceID]clock.Millis // end of the last maintenance
	maxUnmaintained  clock.Millis                      // longest observed time between two maintenances of an instance
	rows             map[fleet.InstanceID]row          // committed rows, decoded without the package's codec
	budgets          map[string]budget
	moves            int
	rebootsInService int // number of reboots of instances in service
}

func newSimulation(c *fleet.Config, zones, members int, policy pool.Policy, fail func(string, ...any)) *simulation {
	s := &simulation{
		config: c, now: 30 * day, down: map[fleet.InstanceID]bool{}, load: map[fleet.PoolID]pool.Load{},
		rebootEnds: map[fleet.InstanceID]clock.Millis{}, loseCommit: func() (bool, bool) { return false, false }, fail: fail,
		rows: map[fleet.InstanceID]row{}, budgets: map[string]budget{}, maintainedAt: map[fleet.InstanceID]clock.Millis{},
	}
	for i := range members {
		s.simMembers = append(s.simMembers, &simulatedMember{
			id: fleet.MemberID(fmt.Sprint("m", i)), zone: fleet.ZoneID(fmt.Sprint("z", i%zones)),
			assignments: map[fleet.ZoneID]*fleet.Assignment{}, confirmedAt: map[fleet.ZoneID]clock.Millis{},
		})
	}
	for z := range zones {
		for range 2 {
			controller := &zoneController{Controller: &pool.Controller{
				Zone: fleet.ZoneID(fmt.Sprint("z", z)), Config: func() *fleet.Config { return s.config },
				Clock:       clock.Clock{NowFunc: func() clock.Millis { return s.now }, WallFunc: func() clock.Millis { return s.now }},
				Assignments: &rowstore.Assignments{Table: s.lossyTable()}, Instances: s.list, Reboot: s.reboot, Policy: policy,
				Weights: pool.AssociationWeights(), Load: func() map[fleet.PoolID]pool.Load { return s.load }, Log: quiet,
			}}
			controller.Members = func(context.Context) ([]pool.Member, error) { return s.members(controller.Zone), nil }
			controller.Lease = func() (rowstore.Check, clock.Millis, bool) {
				return controller.lease, 6 * second, controller.holdsLease
			}
			s.controllers = append(s.controllers, controller)
		}
		s.grantLease(2 * z)
	}
	for id := range c.Instances {
		s.maintainedAt[id] = s.now
	}
	return s
}

// grantLease gives the lease of its zone to controller i. The previous holder is not notified
// and continues to act on its stale lease.
func (s *simulation) grantLease(i int) {
	h := s.controllers[i]
	ref := rowstore.WireRef{Table: "leases", Key: "zone/" + string(h.Zone)}
	out, _ := s.platform.Commit(rowstore.WireTransaction{Writes: []rowstore.WireWrite{{Table: ref.Table, Key: ref.Key, Value: json.RawMessage(`{}`)}}})
	h.lease = rowstore.Check{Ref: rowstore.Ref{Table: ref.Table, Key: ref.Key}, Version: fleet.Version(out.Versions[0])}
	h.holdsLease = true
}

// unlisted reports whether the platform's list does not show an instance.
func (s *simulation) unlisted(id fleet.InstanceID) bool {
	return s.down[id] || s.rebootEnds[id] > s.now
}

func (s *simulation) list(context.Context) ([]rowstore.Listed, error) {
	var out []rowstore.Listed
	for id, in := range s.config.Instances {
		if !s.unlisted(id) {
			out = append(out, rowstore.Listed{ID: id, Zone: in.Zone, State: rowstore.StateLive})
		}
	}
	return out, nil
}

func (s *simulation) reboot(_ context.Context, id fleet.InstanceID) error {
	for _, n := range s.simMembers {
		if s.routable(n, id) != "" {
			s.rebootsInService++
		}
	}
	s.rebootEnds[id] = s.now + minute
	return nil
}

func (s *simulation) members(z fleet.ZoneID) []pool.Member {
	var out []pool.Member
	for _, n := range s.simMembers {
		m := pool.Member{ID: n.id, Zone: n.zone, SinceObserved: s.now - n.confirmedAt[z]}
		if a := n.assignments[z]; a != nil {
			m.Confirmed = a.Version
		}
		out = append(out, m)
	}
	return out
}

// deliverAssignment gives a member the newest assignment of a zone, which the member confirms.
func (s *simulation) deliverAssignment(n *simulatedMember, z fleet.ZoneID) {
	if n.unresponsive {
		return
	}
	rows, err := (&rowstore.Assignments{Table: s.reliableTable()}).Read(context.Background(), z, nil)
	if err != nil {
		s.fail("read: %v", err)
		return
	}
	n.assignments[z], n.confirmedAt[z] = rows.Assignment(), s.now
}

// routable returns the pool for which a member sends requests to an instance, or "" for none. A
// member stops routing by an assignment when its term for it has expired.
func (s *simulation) routable(n *simulatedMember, id fleet.InstanceID) fleet.PoolID {
	in := s.config.Instances[id]
	term := 10 * second
	if n.zone == in.Zone {
		term = hour
	}
	if a := n.assignments[in.Zone]; a != nil && s.now-n.confirmedAt[in.Zone] < term && a.Of(in).Phase == fleet.Serving {
		return a.Of(in).Pool
	}
	return ""
}

// checkOnePool fails if members route requests of different pools to the same instance.
func (s *simulation) checkOnePool() {
	for id := range s.config.Instances {
		pools := map[fleet.PoolID]bool{}
		for _, n := range s.simMembers {
			if p := s.routable(n, id); p != "" {
				pools[p] = true
			}
		}
		if len(pools) > 1 {
			s.fail("%s is routable in %v", id, pools)
		}
	}
}

// reliableTable returns a table that reads and commits without faults.
func (s *simulation) reliableTable() *rowstore.Table {
	return &rowstore.Table{Transact: s.commit, Read: func(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
		var in rowstore.WireQuery
		for _, g := range q.Gets {
			in.Gets = append(in.Gets, rowstore.WireRef{Table: g.Table, Key: g.Key})
		}
		for _, s := range q.Scans {
			in.Scans = append(in.Scans, rowstore.WireScan{Table: s.Table, Prefix: s.Prefix})
		}
		var out []rowstore.Row
		for _, r := range s.platform.Query(in).Rows {
			out = append(out, rowstore.Row{Ref: rowstore.Ref{Table: r.Table, Key: r.Key}, Version: fleet.Version(r.Version), Value: r.Value})
		}
		return out, nil
	}}
}

// lossyTable returns a table that loses commits before or after they take effect, as loseCommit
// decides.
func (s *simulation) lossyTable() *rowstore.Table {
	t := s.reliableTable()
	t.Transact = func(ctx context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
		lost := &rowstore.UnavailableError{Op: "transaction", OutcomeUnknown: true, Err: eris.New("lost")}
		before, after := s.loseCommit()
		if before {
			s.lostCommits = append(s.lostCommits, t)
			return nil, lost
		}
		if pause := s.beforeCommit; pause != nil {
			s.beforeCommit = nil
			pause()
		}
		v, err := s.commit(ctx, t)
		if after && err == nil {
			return nil, lost
		}
		return v, err
	}
	return t
}

func (s *simulation) commit(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
	var in rowstore.WireTransaction
	for _, c := range t.Checks {
		in.Checks = append(in.Checks, rowstore.WireCheck{Table: c.Table, Key: c.Key, Version: uint64(c.Version)})
	}
	for _, x := range t.Writes {
		in.Writes = append(in.Writes, rowstore.WireWrite{Table: x.Table, Key: x.Key, Value: x.Value, Delete: x.Delete})
	}
	out, status := s.platform.Commit(in)
	if status != 200 {
		e := &rowstore.ConflictError{}
		for _, r := range out.Conflicts {
			e.Rows = append(e.Rows, rowstore.Ref{Table: r.Table, Key: r.Key})
		}
		return nil, e
	}
	s.checkCommit(t)
	v := make([]fleet.Version, len(out.Versions))
	for i := range out.Versions {
		v[i] = fleet.Version(out.Versions[i])
	}
	return v, nil
}

// row is the part of an instance row that the checks use.
type row struct {
	Pool, Phase string
	Maintained  int64 `json:"maintained_ms"`
	Moved       int64 `json:"moved_ms"`
}

// budget is the part of a budget row that the checks use.
type budget struct {
	Absent map[fleet.InstanceID]struct{}
}

// absent returns the number of instances of a pool that are out of service according to their
// rows, or that the budget row counts as absent.
func (s *simulation) absent(p string) int {
	n := 0
	for _, r := range s.rows {
		if r.Pool == p && outOfService(r) {
			n++
		}
	}
	for id := range s.budgets[p].Absent {
		if !outOfService(s.rows[id]) {
			n++
		}
	}
	return n
}

// outOfService reports whether an instance is out of service according to its row. An instance
// that leaves the spare pool is not, because no queue uses that pool.
func outOfService(r row) bool {
	return r.Phase != "" && r.Phase != "serving" && (r.Phase != "leaving_pool" || r.Pool != "spare")
}

// checkCommit compares the rows before and after a commit. It fails if the commit exceeds a
// budget by taking an instance out of service, or moves an instance twice within the minimum
// stay.
func (s *simulation) checkCommit(t rowstore.Transaction) {
	before, counted := map[fleet.InstanceID]row{}, map[fleet.InstanceID]bool{}
	for _, b := range s.budgets {
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
			before[fleet.InstanceID(id)] = s.rows[fleet.InstanceID(id)]
			s.rows[fleet.InstanceID(id)] = r
		case "budgets":
			var b budget
			_ = json.Unmarshal(x.Value, &b)
			s.budgets[x.Key] = b
		}
	}
	for id, old := range before {
		s.checkRow(id, old, s.rows[id], counted[id])
	}
}

func (s *simulation) checkRow(id fleet.InstanceID, old, r row, counted bool) {
	if !outOfService(old) && outOfService(r) {
		if n, limit := s.absent(r.Pool), s.config.Pools[fleet.PoolID(r.Pool)].MaxAbsent; n > limit && !counted && !s.unlisted(id) {
			s.fail("%d of %d instances of pool %s absent when %s became %s", n, limit, r.Pool, id, r.Phase)
		}
	}
	if old.Pool != "" && old.Pool != r.Pool {
		// The check uses the times of the decisions, because a late commit takes effect
		// after its decision.
		if old.Moved != 0 && r.Moved-old.Moved < int64(hour) {
			s.fail("%s moved twice in %d ms", id, r.Moved-old.Moved)
		}
		s.moves++
	}
	if old.Maintained != 0 && r.Maintained > old.Maintained {
		s.maintainedAt[id] = s.now
		s.maxUnmaintained = max(s.maxUnmaintained, clock.Millis(r.Maintained-old.Maintained))
	}
}

func (s *simulation) tick(i int) error {
	return s.controllers[i].Tick(context.Background(), s.controllers[i].Clock.Mark())
}
