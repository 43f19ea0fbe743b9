package fleet

import (
	"fmt"
	"maps"
)

// Merge returns the configuration that follows c when n is accepted. It reports every fault
// of n in one [NoteError] and leaves c as it is.
func (c *Config) Merge(n ReleaseNote) (*Config, error) {
	m := merge{next: &Config{
		Version:   c.Version + 1,
		Note:      n.ID,
		Pools:     cloned(c.Pools),
		Queues:    cloned(c.Queues),
		Teams:     cloned(c.Teams),
		Keys:      cloned(c.Keys),
		Instances: cloned(c.Instances),
	}}
	if n.ID == "" {
		m.fault("id", "", "1 to 128 characters")
	}
	m.withdraw(n.Withdrawn)
	m.put("added", n.Added, true)
	m.put("changed", n.Changed, false)
	m.check()
	if len(m.faults) > 0 {
		return nil, &NoteError{Note: n.ID, Faults: m.faults}
	}
	return m.next, nil
}

type merge struct {
	next   *Config
	faults []Fault
}

func (m *merge) fault(field, value, accepted string) {
	m.faults = append(m.faults, Fault{Field: field, Value: value, Accepted: accepted})
}

func (m *merge) withdraw(r Refs) {
	remove(m, "pools", m.next.Pools, r.Pools)
	remove(m, "queues", m.next.Queues, r.Queues)
	remove(m, "teams", m.next.Teams, r.Teams)
	remove(m, "keys", m.next.Keys, r.Keys)
	remove(m, "instances", m.next.Instances, r.Instances)
}

func (m *merge) put(section string, it Items, added bool) {
	insert(m, section+".pools", m.next.Pools, it.Pools, added, func(p Pool) PoolID { return p.ID })
	insert(m, section+".queues", m.next.Queues, it.Queues, added, func(q Queue) QueueID { return q.ID })
	insert(m, section+".teams", m.next.Teams, it.Teams, added, func(t Team) TeamID { return t.ID })
	insert(m, section+".keys", m.next.Keys, it.Keys, added, func(k Key) KeyHash { return k.Hash })
	insert(m, section+".instances", m.next.Instances, it.Instances, added, func(in Instance) InstanceID { return in.ID })
}

// check looks at the merged whole, so that a fault is found whichever side of a reference
// the note touches.
func (m *merge) check() {
	var sum Share
	for _, t := range m.next.Teams {
		at := "teams." + string(t.ID)
		sum += t.Share
		if t.Share < 0 || t.Share > FullShare {
			m.fault(at+".share", fmt.Sprint(t.Share), fmt.Sprintf("0 to %d", FullShare))
		}
		if t.Limit < 0 {
			m.fault(at+".limit", fmt.Sprint(t.Limit), "0 or more")
		}
	}
	if sum > FullShare {
		m.fault("teams.share", fmt.Sprint(sum), fmt.Sprintf("shares of all teams that add up to at most %d", FullShare))
	}
	for _, q := range m.next.Queues {
		if _, ok := m.next.Pools[q.Pool]; !ok {
			m.fault("queues."+string(q.ID)+".pool", string(q.Pool), "the id of a pool")
		}
	}
	for h, k := range m.next.Keys {
		if _, ok := m.next.Teams[k.Team]; !ok {
			m.fault("keys."+string(h)+".team", string(k.Team), "the id of a team")
		}
	}
	for _, in := range m.next.Instances {
		if _, ok := m.next.Pools[in.Pool]; !ok {
			m.fault("instances."+string(in.ID)+".pool", string(in.Pool), "the id of a pool")
		}
	}
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

func remove[K ~string, V any](m *merge, kind string, from map[K]V, ids []K) {
	for i, id := range ids {
		if _, ok := from[id]; !ok {
			m.fault(fmt.Sprintf("withdrawn.%s[%d]", kind, i), string(id), "an id that exists")
		}
		delete(from, id)
	}
}

func insert[K ~string, V any](m *merge, section string, into map[K]V, items []V, added bool, id func(V) K) {
	for i, item := range items {
		key := id(item)
		_, exists := into[key]
		at := fmt.Sprintf("%s[%d].id", section, i)
		switch {
		case key == "":
			m.fault(at, "", "a non-empty id")
		case added && exists:
			m.fault(at, string(key), "an id that does not exist yet")
		case !added && !exists:
			m.fault(at, string(key), "an id that exists")
		}
		into[key] = item
	}
}
