package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// checkReferences reports withdrawn objects, and pools made spare, that objects outside the
// note still refer to. References from objects of the note are reported at those objects.
func (m *merge) checkReferences(
	pools touched[PoolID, Pool], queues touched[QueueID, Queue], teams touched[TeamID, Team],
	keys touched[KeyHash, Key], instances touched[InstanceID, Instance],
) {
	if len(pools.withdrawn)+len(pools.put) > 0 {
		byQueue := referrers(m.next.Queues, queues.paths, func(q Queue) PoolID { return q.Pool })
		byInstance := referrers(m.next.Instances, instances.paths, func(in Instance) PoolID { return in.Pool })
		for _, p := range pools.put {
			if q, ok := byQueue[p.item.ID]; ok && p.item.Spare {
				m.fault(p.at+".spare", "true", fmt.Sprintf("false: queue %s feeds the pool", q))
			}
		}
		for i, id := range pools.withdrawn {
			if _, put := pools.paths[id]; put {
				continue
			}
			if q, ok := byQueue[id]; ok {
				m.fault(pools.withdrawnAt(i), string(id), fmt.Sprintf("a pool that no queue refers to; queue %s does", q))
			}
			if in, ok := byInstance[id]; ok {
				m.fault(pools.withdrawnAt(i), string(id), fmt.Sprintf("a pool that no instance refers to; instance %s does", in))
			}
		}
	}
	if len(teams.withdrawn) > 0 {
		byKey := referrers(m.next.Keys, keys.paths, func(k Key) TeamID { return k.Team })
		for i, id := range teams.withdrawn {
			if _, put := teams.paths[id]; put {
				continue
			}
			if k, ok := byKey[id]; ok {
				m.fault(teams.withdrawnAt(i), string(id), fmt.Sprintf("a team that no key refers to; key %.12s does", k))
			}
		}
	}
}

// referrers maps each id that is referred to to the least id that refers to it, so that
// reports do not depend on the order of maps. Objects in skip are left out.
func referrers[K ~string, V any, R ~string](all map[K]V, skip map[K]string, to func(V) R) map[R]K {
	out := map[R]K{}
	for id, v := range all {
		if _, skipped := skip[id]; skipped {
			continue
		}
		if least, ok := out[to(v)]; !ok || id < least {
			out[to(v)] = id
		}
	}
	return out
}

// sorted returns the faults in the order of the note: its id, then sections, kinds and
// indexes.
func (m *merge) sorted() []Fault {
	slices.SortStableFunc(m.faults, func(a, b Fault) int {
		x, y := rank(a.Field), rank(b.Field)
		return cmp.Or(cmp.Compare(x.section, y.section), cmp.Compare(x.kind, y.kind), cmp.Compare(x.index, y.index))
	})
	return m.faults
}

type position struct{ section, kind, index int }

func rank(field string) position {
	section, rest, _ := strings.Cut(field, ".")
	kind, rest, _ := strings.Cut(rest, "[")
	var index int
	_, _ = fmt.Sscanf(rest, "%d]", &index)
	return position{
		section: slices.Index([]string{"id", "added", "changed", "withdrawn"}, section),
		kind:    slices.Index([]string{"pools", "queues", "teams", "keys", "instances"}, kind),
		index:   index,
	}
}
