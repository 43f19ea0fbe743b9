package fleet

import (
	"fmt"
	"maps"
)

// Merge returns the configuration that follows c when n is accepted. It reports every fault
// of n in one [NoteError], in the order of the note's sections, and leaves c as it is.
//
// c must itself come from Merge (or be empty): only objects that n names, and references to
// them, are checked. Maps that n does not touch are shared with c.
func (c *Config) Merge(n ReleaseNote) (*Config, error) {
	next := *c
	next.Version, next.Note = c.Version+1, n.ID
	m := &merge{next: &next}
	if !ValidID(string(n.ID)) {
		m.fault("id", string(n.ID), AcceptedID)
	}
	pools := apply(m, "pools", &next.Pools, n.Added.Pools, n.Changed.Pools, n.Withdrawn.Pools, func(p Pool) PoolID { return p.ID })
	queues := apply(m, "queues", &next.Queues, n.Added.Queues, n.Changed.Queues, n.Withdrawn.Queues, func(q Queue) QueueID { return q.ID })
	teams := apply(m, "teams", &next.Teams, n.Added.Teams, n.Changed.Teams, n.Withdrawn.Teams, func(t Team) TeamID { return t.ID })
	keys := apply(m, "keys", &next.Keys, n.Added.Keys, n.Changed.Keys, n.Withdrawn.Keys, func(k Key) KeyHash { return k.Hash })
	instances := apply(m, "instances", &next.Instances, n.Added.Instances, n.Changed.Instances, n.Withdrawn.Instances,
		func(in Instance) InstanceID { return in.ID })
	m.checkPools(pools)
	m.checkQueues(queues)
	m.checkTeams(teams)
	m.checkKeys(keys)
	m.checkInstances(instances)
	m.checkReferences(pools, queues, teams, keys, instances)
	if len(m.faults) > 0 {
		return nil, &NoteError{Note: n.ID, Faults: m.sorted()}
	}
	return &next, nil
}

type merge struct {
	next   *Config
	faults []Fault
}

func (m *merge) fault(field, value, accepted string) {
	m.faults = append(m.faults, Fault{Field: field, Value: value, Accepted: accepted})
}

// touched holds what a note says of the objects of one kind.
type touched[K ~string, V any] struct {
	put       []placed[V]
	withdrawn []K
	paths     map[K]string // path of each object that is added or changed
	kind      string
}

// placed is an object of a note with its path.
type placed[V any] struct {
	at   string
	item V
}

// apply merges the objects of one kind into a copy of *all, and reports ids that the note
// uses wrongly. Without objects of this kind, *all stays shared with the older version.
func apply[K ~string, V any](m *merge, kind string, all *map[K]V, added, changed []V, withdrawn []K, id func(V) K) touched[K, V] {
	t := touched[K, V]{kind: kind, withdrawn: withdrawn}
	if len(added)+len(changed)+len(withdrawn) == 0 {
		return t
	}
	old := *all
	next := make(map[K]V, len(old)+len(added))
	maps.Copy(next, old)
	t.paths = make(map[K]string, len(added)+len(changed))
	t.apply(m, "added", added, id, old, next)
	t.apply(m, "changed", changed, id, old, next)
	seen := make(map[K]bool, len(withdrawn))
	for i, key := range withdrawn {
		at := t.withdrawnAt(i)
		_, exists := old[key]
		switch path, put := t.paths[key]; {
		case put:
			m.fault(at, string(key), "an id that the note does not add or change; "+path+" does")
			continue
		case seen[key]:
			m.fault(at, string(key), "an id that the note withdraws once")
		case !exists:
			m.fault(at, string(key), "an id that exists")
		}
		seen[key] = true
		delete(next, key)
	}
	*all = next
	return t
}

func (t *touched[K, V]) apply(m *merge, section string, items []V, id func(V) K, old, next map[K]V) {
	for i, item := range items {
		key := id(item)
		at := fmt.Sprintf("%s.%s[%d]", section, t.kind, i)
		_, exists := old[key]
		first, repeated := t.paths[key]
		switch {
		case repeated:
			m.faultRepeated(at, first, any(item), any(next[key]), string(key), idField(item))
			continue
		case section == "added" && exists:
			m.fault(at+idField(item), string(key), "an id that does not exist yet")
		case section == "changed" && !exists:
			m.fault(at+idField(item), string(key), "an id that exists")
		}
		t.paths[key] = at
		t.put = append(t.put, placed[V]{at: at, item: item})
		next[key] = item
	}
}

// faultRepeated reports an id that the note gives twice. It is the place that keeps a note
// from putting an instance into two pools; across notes the map by id does.
func (m *merge) faultRepeated(at, first string, item, earlier any, key, idField string) {
	a, isInstance := item.(Instance)
	if b, ok := earlier.(Instance); isInstance && ok && a.Pool != b.Pool {
		m.fault(at+".pool", string(a.Pool), fmt.Sprintf("one pool for each instance; %s puts %s into %s", first, key, b.Pool))
		return
	}
	m.fault(at+idField, key, "an id that the note names once; "+first+" names it too")
}

func idField(item any) string {
	if _, ok := item.(Key); ok {
		return ".hash"
	}
	return ".id"
}

func (t *touched[K, V]) withdrawnAt(i int) string {
	return fmt.Sprintf("withdrawn.%s[%d]", t.kind, i)
}
