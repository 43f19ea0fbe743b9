package fleet_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
)

func hash(n int) fleet.KeyHash { return fleet.HashKey(fmt.Sprint("key-", n)) }

func pool(id fleet.PoolID) fleet.Pool { return fleet.Pool{ID: id, MaxAbsent: 1} }

func queue(id fleet.QueueID, p fleet.PoolID) fleet.Queue {
	return fleet.Queue{ID: id, Pool: p, DefaultDeadline: 1000, MaxDeadline: 2000, MaxWaiting: 10}
}

func instance(id fleet.InstanceID, p fleet.PoolID, n int) fleet.Instance {
	return fleet.Instance{
		ID: id, Zone: "z", Rack: "r", Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Slots: 8, Connections: 64, Pool: p,
	}
}

// baseConfig returns a configuration with pools a and b and a spare pool, queue q and instance
// i in pool a, team t with a key, and team u.
func baseConfig(t testing.TB) *fleet.Config {
	t.Helper()
	c, err := (&fleet.Config{}).Merge(fleet.ReleaseNote{ID: "base", Added: fleet.Items{
		Pools:     []fleet.Pool{pool("a"), pool("b"), {ID: "spare", Spare: true}},
		Queues:    []fleet.Queue{queue("q", "a")},
		Teams:     []fleet.Team{{ID: "t", Share: 6000, Limit: 10}, {ID: "u", Share: 3000}},
		Keys:      []fleet.Key{{Hash: hash(1), Team: "t"}},
		Instances: []fleet.Instance{instance("i", "a", 1)},
	}})
	must.NoError(t, err)
	return c
}

type faultCase struct {
	name            string
	note            fleet.ReleaseNote
	field, accepted string
}

func added(it fleet.Items) fleet.ReleaseNote   { return fleet.ReleaseNote{ID: "n", Added: it} }
func changed(it fleet.Items) fleet.ReleaseNote { return fleet.ReleaseNote{ID: "n", Changed: it} }
func withdrawn(r fleet.Refs) fleet.ReleaseNote { return fleet.ReleaseNote{ID: "n", Withdrawn: r} }

func addedPool(f func(*fleet.Pool)) fleet.ReleaseNote {
	p := pool("new")
	f(&p)
	return added(fleet.Items{Pools: []fleet.Pool{p}})
}

func addedQueue(f func(*fleet.Queue)) fleet.ReleaseNote {
	q := queue("new", "a")
	f(&q)
	return added(fleet.Items{Queues: []fleet.Queue{q}})
}

func addedInstance(f func(*fleet.Instance)) fleet.ReleaseNote {
	in := instance("new", "a", 2)
	f(&in)
	return added(fleet.Items{Instances: []fleet.Instance{in}})
}

func addedTeam(x fleet.Team) fleet.ReleaseNote { return added(fleet.Items{Teams: []fleet.Team{x}}) }

func faultCases() []faultCase {
	const id = "1 to 64 characters"
	year := clock.Millis(365 * 24 * 3600 * 1000)
	return []faultCase{
		{"no id", fleet.ReleaseNote{}, "id", id},
		{"id with a space", fleet.ReleaseNote{ID: "a b"}, "id", id},
		{"id too long", fleet.ReleaseNote{ID: fleet.NoteID(strings.Repeat("x", 65))}, "id", id},
		{"pool id", addedPool(func(p *fleet.Pool) { p.ID = "A" }), "added.pools[0].id", id},
		{"max absent", addedPool(func(p *fleet.Pool) { p.MaxAbsent = 10_001 }), "added.pools[0].max_absent", "0 to 10000"},
		{"period short", addedPool(func(p *fleet.Pool) { p.Maintenance.Every = 3_599_999 }), "added.pools[0].maintenance_every_ms", "0, or 3600000 to 31536000000 ms"},
		{"period long", addedPool(func(p *fleet.Pool) { p.Maintenance.Every = year + 1 }), "added.pools[0].maintenance_every_ms", "0, or"},
		{"drain short", addedPool(func(p *fleet.Pool) { p.Maintenance.DrainBound = 999 }), "added.pools[0].drain_bound_ms", "0, or 1000 to 86400000 ms"},
		{"queue id", addedQueue(func(q *fleet.Queue) { q.ID = "" }), "added.queues[0].id", id},
		{"queue without pool", addedQueue(func(q *fleet.Queue) { q.Pool = "none" }), "added.queues[0].pool", "the id of a pool"},
		{"queue feeds a spare pool", addedQueue(func(q *fleet.Queue) { q.Pool = "spare" }), "added.queues[0].pool", "not spare"},
		{"deadline 0", addedQueue(func(q *fleet.Queue) { q.DefaultDeadline = 0 }), "added.queues[0].default_deadline_ms", "1 to 2000 ms"},
		{"default above max", addedQueue(func(q *fleet.Queue) { q.DefaultDeadline = 2001 }), "added.queues[0].default_deadline_ms", "1 to 2000 ms"},
		{"max deadline", addedQueue(func(q *fleet.Queue) { q.MaxDeadline = 3_600_001 }), "added.queues[0].max_deadline_ms", "1 to 3600000 ms"},
		{"max waiting 0", addedQueue(func(q *fleet.Queue) { q.MaxWaiting = 0 }), "added.queues[0].max_waiting", "1 to 100000"},
		{"team id", addedTeam(fleet.Team{ID: "é"}), "added.teams[0].id", id},
		{"share below 0", addedTeam(fleet.Team{ID: "n", Share: -1}), "added.teams[0].share", "0 to 10000"},
		{"shares above the whole", addedTeam(fleet.Team{ID: "n", Share: 1001}), "added.teams[0].share", "0 to 1000"},
		{"changed share above the whole", changed(fleet.Items{Teams: []fleet.Team{{ID: "u", Share: 4001}}}), "changed.teams[0].share", "0 to 4000"},
		{"limit below 0", addedTeam(fleet.Team{ID: "n", Limit: -1}), "added.teams[0].limit", "0 to 1000000"},
		{"limit above", addedTeam(fleet.Team{ID: "n", Limit: 1_000_001}), "added.teams[0].limit", "0 to 1000000"},
		{"staleness", addedTeam(fleet.Team{ID: "n", MaxStaleness: 3_600_001}), "added.teams[0].max_staleness_ms", "0 to 3600000 ms"},
		{"key hash", added(fleet.Items{Keys: []fleet.Key{{Hash: fleet.KeyHash(strings.ToUpper(string(hash(2)))), Team: "t"}}}), "added.keys[0].hash", "64 lowercase"},
		{"key of no team", added(fleet.Items{Keys: []fleet.Key{{Hash: hash(2), Team: "x"}}}), "added.keys[0].team", "the id of a team"},
		{"instance zone", addedInstance(func(in *fleet.Instance) { in.Zone = "" }), "added.instances[0].zone", id},
		{"rack", addedInstance(func(in *fleet.Instance) { in.Rack = "R" }), "added.instances[0].rack", "empty, or 1 to 64"},
		{"host name", addedInstance(func(in *fleet.Instance) { in.Address = "localhost:80" }), "added.instances[0].address", "an IP number"},
		{"port 0", addedInstance(func(in *fleet.Instance) { in.Address = "10.0.0.9:0" }), "added.instances[0].address", "an IP number"},
		{"address not canonical", addedInstance(func(in *fleet.Instance) { in.Address = "[0:0::1]:80" }), "added.instances[0].address", "an IP number"},
		{"address of another", addedInstance(func(in *fleet.Instance) { in.Address = "10.0.0.1:80" }), "added.instances[0].address", "i has it"},
		{"address twice in the note", added(fleet.Items{Instances: []fleet.Instance{instance("x", "a", 2), instance("y", "a", 2)}}), "added.instances[1].address", "x has it"},
		{"slots 0", addedInstance(func(in *fleet.Instance) { in.Slots = 0 }), "added.instances[0].slots", "1 to 10000"},
		{"connections", addedInstance(func(in *fleet.Instance) { in.Connections = 100_001 }), "added.instances[0].connections", "1 to 100000"},
		{"instance without pool", addedInstance(func(in *fleet.Instance) { in.Pool = "none" }), "added.instances[0].pool", "the id of a pool"},
		{"added but exists", added(fleet.Items{Pools: []fleet.Pool{pool("a")}}), "added.pools[0].id", "does not exist yet"},
		{"changed but absent", changed(fleet.Items{Pools: []fleet.Pool{pool("x")}}), "changed.pools[0].id", "an id that exists"},
		{"withdrawn but absent", withdrawn(fleet.Refs{Queues: []fleet.QueueID{"x"}}), "withdrawn.queues[0]", "an id that exists"},
		{"withdrawn twice", withdrawn(fleet.Refs{Queues: []fleet.QueueID{"q", "q"}}), "withdrawn.queues[1]", "withdraws once"},
		{"named twice", added(fleet.Items{Pools: []fleet.Pool{pool("x"), pool("x")}}), "added.pools[1].id", "added.pools[0] names it too"},
		{"changed and withdrawn", fleet.ReleaseNote{
			ID: "n", Changed: fleet.Items{Queues: []fleet.Queue{queue("q", "b")}}, Withdrawn: fleet.Refs{Queues: []fleet.QueueID{"q"}},
		}, "withdrawn.queues[0]", "changed.queues[0] does"},
		{"instance in two pools", added(fleet.Items{Instances: []fleet.Instance{instance("x", "a", 2), instance("x", "b", 3)}}), "added.instances[1].pool", "one pool"},
		{"pool of a queue withdrawn", fleet.ReleaseNote{
			ID: "n", Changed: fleet.Items{Instances: []fleet.Instance{instance("i", "b", 1)}}, Withdrawn: fleet.Refs{Pools: []fleet.PoolID{"a"}},
		}, "withdrawn.pools[0]", "queue q does"},
		{"pool of an instance withdrawn", fleet.ReleaseNote{
			ID: "n", Withdrawn: fleet.Refs{Pools: []fleet.PoolID{"a"}, Queues: []fleet.QueueID{"q"}},
		}, "withdrawn.pools[0]", "instance i does"},
		{"team of a key withdrawn", withdrawn(fleet.Refs{Teams: []fleet.TeamID{"t"}}), "withdrawn.teams[0]", "no key refers to"},
		{"fed pool made spare", changed(fleet.Items{Pools: []fleet.Pool{{ID: "a", Spare: true}}}), "changed.pools[0].spare", "queue q feeds"},
	}
}

// TestMergeNamesTheFault guards against a note with a fault being merged, and against a fault
// that names the wrong field or comes with further faults that only follow from it.
func TestMergeNamesTheFault(t *testing.T) {
	for _, tc := range faultCases() {
		t.Run(tc.name, func(t *testing.T) {
			c := baseConfig(t)
			_, err := c.Merge(tc.note)
			var ne *fleet.NoteError
			must.True(t, errors.As(err, &ne))
			must.Len(t, 1, ne.Faults, must.Sprint(err))
			must.Eq(t, tc.field, ne.Faults[0].Field)
			must.StrContains(t, ne.Faults[0].Accepted, tc.accepted)
			must.Eq(t, baseConfig(t), c)
		})
	}
}

// TestMergeListsAllFaultsInOrder guards against faults being dropped when there are several,
// and against an order that depends on the iteration order of maps.
func TestMergeListsAllFaultsInOrder(t *testing.T) {
	n := fleet.ReleaseNote{
		Added: fleet.Items{
			Pools:     []fleet.Pool{{ID: "P"}, {ID: "Q", MaxAbsent: -1}},
			Instances: []fleet.Instance{{ID: "x", Zone: "z", Address: "a", Pool: "a"}},
		},
		Changed:   fleet.Items{Teams: []fleet.Team{{ID: "t", Share: 7001}}},
		Withdrawn: fleet.Refs{Pools: []fleet.PoolID{"a"}, Keys: []fleet.KeyHash{"x"}},
	}
	want := []string{
		"id", "added.pools[0].id", "added.pools[1].id", "added.pools[1].max_absent",
		"added.instances[0].address", "added.instances[0].slots", "added.instances[0].connections", "added.instances[0].pool",
		"changed.teams[0].share", "withdrawn.pools[0]", "withdrawn.pools[0]", "withdrawn.keys[0]",
	}
	c, err := baseConfig(t).Merge(added(fleet.Items{Queues: []fleet.Queue{queue("r", "a"), queue("s", "a")}}))
	must.NoError(t, err)
	for range 20 {
		_, err := c.Merge(n)
		var ne *fleet.NoteError
		must.True(t, errors.As(err, &ne))
		fields := make([]string, len(ne.Faults))
		for i, f := range ne.Faults {
			fields[i] = f.Field
		}
		must.Eq(t, want, fields)
		must.StrContains(t, ne.Faults[9].Accepted, "queue q does")
	}
}

// TestMergeAccepts guards against a valid note being rejected: values at both ends of their
// ranges, an address that passes from one instance to another in one note, and a pool withdrawn
// together with the objects that refer to it.
func TestMergeAccepts(t *testing.T) {
	c := baseConfig(t)
	next, err := c.Merge(fleet.ReleaseNote{ID: "n", Added: fleet.Items{
		Pools: []fleet.Pool{{ID: "max", MaxAbsent: 10_000, Maintenance: fleet.Maintenance{Every: 3_600_000, DrainBound: 1000}}},
		Teams: []fleet.Team{{ID: "all", Share: 1000, Limit: 1_000_000, MaxStaleness: 3_600_000}},
		Instances: []fleet.Instance{{
			ID: "v6", Zone: "z", Address: "[::1]:65535", Slots: 10_000, Connections: 100_000, Pool: "max",
		}},
	}})
	must.NoError(t, err)
	must.Eq(t, c.Version+1, next.Version)
	next, err = next.Merge(fleet.ReleaseNote{
		ID:        "m",
		Changed:   fleet.Items{Instances: []fleet.Instance{instance("i", "b", 7), {ID: "v6", Zone: "z", Address: "10.0.0.1:80", Slots: 1, Connections: 1, Pool: "b"}}},
		Withdrawn: fleet.Refs{Pools: []fleet.PoolID{"a", "max"}, Queues: []fleet.QueueID{"q"}, Teams: []fleet.TeamID{"t"}, Keys: []fleet.KeyHash{hash(1)}},
	})
	must.NoError(t, err)
	must.MapLen(t, 2, next.Pools)
	must.MapEmpty(t, next.Keys)
}

// TestCurrentNeverReverts guards against an older configuration replacing a newer one.
func TestCurrentNeverReverts(t *testing.T) {
	var c fleet.Current
	must.Eq(t, fleet.Version(0), c.Load().Version)
	must.True(t, c.Advance(&fleet.Config{Version: 2}))
	must.False(t, c.Advance(&fleet.Config{Version: 1}))
	must.False(t, c.Advance(&fleet.Config{Version: 2}))
	must.Eq(t, fleet.Version(2), c.Load().Version)
}

// targetSizeConfig returns a configuration of the size for which the program is designed: 910
// instances, 82 pools, 150 teams and 1000 keys.
func targetSizeConfig(b testing.TB) *fleet.Config {
	b.Helper()
	var it fleet.Items
	for i := range 82 {
		id := fmt.Sprint("p", i)
		it.Pools = append(it.Pools, pool(fleet.PoolID(id)))
		it.Queues = append(it.Queues, queue(fleet.QueueID(id), fleet.PoolID(id)))
	}
	for i := range 150 {
		it.Teams = append(it.Teams, fleet.Team{ID: fleet.TeamID(fmt.Sprint("t", i)), Share: 60, Limit: 50})
	}
	for i := range 1000 {
		it.Keys = append(it.Keys, fleet.Key{Hash: hash(i), Team: it.Teams[i%150].ID})
	}
	for i := range 910 {
		it.Instances = append(it.Instances, instance(fleet.InstanceID(fmt.Sprint("i", i)), it.Pools[i%82].ID, i))
	}
	c, err := (&fleet.Config{}).Merge(fleet.ReleaseNote{ID: "base", Added: it})
	must.NoError(b, err)
	return c
}

func BenchmarkMerge(b *testing.B) {
	c := targetSizeConfig(b)
	notes := []fleet.ReleaseNote{
		{ID: "team", Changed: fleet.Items{Teams: []fleet.Team{{ID: "t1", Share: 50, Limit: 9}}}},
		{ID: "key", Withdrawn: fleet.Refs{Keys: []fleet.KeyHash{hash(5)}}},
		{ID: "instance", Changed: fleet.Items{Instances: []fleet.Instance{instance("i5", "p7", 5)}}},
		{ID: "pool", Changed: fleet.Items{Pools: []fleet.Pool{pool("p5")}}},
	}
	for _, n := range notes {
		b.Run(string(n.ID), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Merge(n); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
