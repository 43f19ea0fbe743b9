package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// checkReferences adds a fault for each withdrawn object, and for each pool made spare, to which
// objects outside the note still refer. Wrong references from objects of the note are reported
// at those objects.
func (m *merger) checkReferences(
	pools kindChanges[PoolID, Pool], queues kindChanges[QueueID, Queue], teams kindChanges[TeamID, Team],
	keys kindChanges[KeyHash, Key], instances kindChanges[InstanceID, Instance],
) {
	if len(pools.withdrawn)+len(pools.items) > 0 {
		byQueue := firstReferrers(m.next.Queues, queues.paths, func(q Queue) PoolID { return q.Pool })
		byInstance := firstReferrers(m.next.Instances, instances.paths, func(in Instance) PoolID { return in.Pool })
		for _, p := range pools.items {
			if q, ok := byQueue[p.item.ID]; ok && p.item.Spare {
				m.fault(p.path+".spare", "true", fmt.Sprintf("false: queue %s feeds the pool", q))
			}
		}
		for i, id := range pools.withdrawn {
			if _, put := pools.paths[id]; put {
				continue
			}
			if q, ok := byQueue[id]; ok {
				m.fault(pools.withdrawnPath(i), string(id), fmt.Sprintf("a pool that no queue refers to; queue %s does", q))
			}
			if in, ok := byInstance[id]; ok {
				m.fault(pools.withdrawnPath(i), string(id), fmt.Sprintf("a pool that no instance refers to; instance %s does", in))
			}
		}
	}
	if len(teams.withdrawn) > 0 {
		byKey := firstReferrers(m.next.Keys, keys.paths, func(k Key) TeamID { return k.Team })
		for i, id := range teams.withdrawn {
			if _, put := teams.paths[id]; put {
				continue
			}
			if k, ok := byKey[id]; ok {
				m.fault(teams.withdrawnPath(i), string(id), fmt.Sprintf("a team that no key refers to; key %.12s does", k))
			}
		}
	}
}

// firstReferrers maps each referenced id to the smallest id of an object that refers to it. The
// smallest id makes fault texts independent of the iteration order of maps. Objects in skip are
// left out.
func firstReferrers[K ~string, V any, R ~string](all map[K]V, skip map[K]string, to func(V) R) map[R]K {
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

// sortedFaults returns the faults in the order of the note: its id, then by section, kind and
// index.
func (m *merger) sortedFaults() []Fault {
	slices.SortStableFunc(m.faults, func(a, b Fault) int {
		x, y := fieldPosition(a.Field), fieldPosition(b.Field)
		return cmp.Or(cmp.Compare(x.section, y.section), cmp.Compare(x.kind, y.kind), cmp.Compare(x.index, y.index))
	})
	return m.faults
}

// position is the place of a field in a release note, as sort keys.
type position struct{ section, kind, index int }

func fieldPosition(field string) position {
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
