package fleet

import (
	"fmt"
	"maps"
)

// Merge returns the configuration that results from applying n to c. If n is not valid, it
// returns a [NoteError] with all faults, in the order of the note's sections. It does not
// modify c.
//
// c must be empty or a result of Merge, because only the objects that n names, and references
// to them, are checked. Maps that n does not change are shared with c.
func (c *Config) Merge(n ReleaseNote) (*Config, error) {
	next := *c
	next.Version, next.Note = c.Version+1, n.ID
	m := &merger{next: &next}
	if !ValidID(string(n.ID)) {
		m.fault("id", string(n.ID), AcceptedID)
	}
	pools := applyKind(m, "pools", &next.Pools, n.Added.Pools, n.Changed.Pools, n.Withdrawn.Pools, func(p Pool) PoolID { return p.ID })
	queues := applyKind(m, "queues", &next.Queues, n.Added.Queues, n.Changed.Queues, n.Withdrawn.Queues, func(q Queue) QueueID { return q.ID })
	teams := applyKind(m, "teams", &next.Teams, n.Added.Teams, n.Changed.Teams, n.Withdrawn.Teams, func(t Team) TeamID { return t.ID })
	keys := applyKind(m, "keys", &next.Keys, n.Added.Keys, n.Changed.Keys, n.Withdrawn.Keys, func(k Key) KeyHash { return k.Hash })
	instances := applyKind(m, "instances", &next.Instances, n.Added.Instances, n.Changed.Instances, n.Withdrawn.Instances,
		func(in Instance) InstanceID { return in.ID })
	m.checkPools(pools)
	m.checkQueues(queues)
	m.checkTeams(teams)
	m.checkKeys(keys)
	m.checkInstances(instances)
	m.checkReferences(pools, queues, teams, keys, instances)
	if len(m.faults) > 0 {
		return nil, &NoteError{Note: n.ID, Faults: m.sortedFaults()}
	}
	return &next, nil
}

// merger collects the next configuration and the faults found on the way to it.
type merger struct {
	next   *Config
	faults []Fault
}

func (m *merger) fault(field, value, accepted string) {
	m.faults = append(m.faults, Fault{Field: field, Value: value, Accepted: accepted})
}

// kindChanges holds the changes of a release note to the objects of one kind, such as queues.
type kindChanges[K ~string, V any] struct {
	items     []itemAt[V]
	withdrawn []K
	paths     map[K]string // path in the note of each object that is added or changed
	kind      string       // name of the note's field, such as queues
}

// itemAt is an object of a note with its path, such as added.queues[0].
type itemAt[V any] struct {
	path string
	item V
}

// applyKind applies the note's changes to the objects of one kind to a copy of *all, and adds a
// fault for each id that the note uses wrongly. If the note has no objects of this kind, *all
// stays shared with the previous version.
func applyKind[K ~string, V any](m *merger, kind string, all *map[K]V, added, changed []V, withdrawn []K, id func(V) K) kindChanges[K, V] {
	t := kindChanges[K, V]{kind: kind, withdrawn: withdrawn}
	if len(added)+len(changed)+len(withdrawn) == 0 {
		return t
	}
	old := *all
	next := make(map[K]V, len(old)+len(added))
	maps.Copy(next, old)
	t.paths = make(map[K]string, len(added)+len(changed))
	t.applyItems(m, "added", added, id, old, next)
	t.applyItems(m, "changed", changed, id, old, next)
	seen := make(map[K]bool, len(withdrawn))
	for i, key := range withdrawn {
		path := t.withdrawnPath(i)
		_, exists := old[key]
		switch itemPath, inItems := t.paths[key]; {
		case inItems:
			m.fault(path, string(key), "an id that the note does not add or change; "+itemPath+" does")
			continue
		case seen[key]:
			m.fault(path, string(key), "an id that the note withdraws once")
		case !exists:
			m.fault(path, string(key), "an id that exists")
		}
		seen[key] = true
		delete(next, key)
	}
	*all = next
	return t
}

func (t *kindChanges[K, V]) applyItems(m *merger, section string, items []V, id func(V) K, old, next map[K]V) {
	for i, item := range items {
		key := id(item)
		path := fmt.Sprintf("%s.%s[%d]", section, t.kind, i)
		_, exists := old[key]
		first, repeated := t.paths[key]
		switch {
		case repeated:
			m.faultRepeated(path, first, any(item), any(next[key]), string(key), idField(item))
			continue
		case section == "added" && exists:
			m.fault(path+idField(item), string(key), "an id that does not exist yet")
		case section == "changed" && !exists:
			m.fault(path+idField(item), string(key), "an id that exists")
		}
		t.paths[key] = path
		t.items = append(t.items, itemAt[V]{path: path, item: item})
		next[key] = item
	}
}

// faultRepeated adds a fault for an id that the note names twice. This check keeps a single
// note from placing an instance in two pools. Two notes cannot do so, because the
// configuration holds one entry for each instance id.
func (m *merger) faultRepeated(path, first string, item, earlier any, key, idField string) {
	a, isInstance := item.(Instance)
	if b, ok := earlier.(Instance); isInstance && ok && a.Pool != b.Pool {
		m.fault(path+".pool", string(a.Pool), fmt.Sprintf("one pool for each instance; %s puts %s into %s", first, key, b.Pool))
		return
	}
	m.fault(path+idField, key, "an id that the note names once; "+first+" names it too")
}

func idField(item any) string {
	if _, ok := item.(Key); ok {
		return ".hash"
	}
	return ".id"
}

func (t *kindChanges[K, V]) withdrawnPath(i int) string {
	return fmt.Sprintf("withdrawn.%s[%d]", t.kind, i)
}
