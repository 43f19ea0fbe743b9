package entry

import (
	"sync"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/pool"
)

// demand turns the counters in load summaries into rates for the controller.
type demand struct {
	mu    sync.Mutex
	last  map[counterKey]counters
	taken clock.Millis
}

type counterKey struct {
	member fleet.MemberID
	pool   fleet.PoolID
}

type counters struct {
	finished uint64
	refused  uint64
}

// since returns what was counted after old. A restarted member counts from 0 again.
func (c counters) since(old counters) counters {
	if c.finished < old.finished || c.refused < old.refused {
		return c
	}
	return counters{finished: c.finished - old.finished, refused: c.refused - old.refused}
}

// poolLoads returns the load of each pool over all members, with rates since the call before.
func (p *Process) poolLoads() map[fleet.PoolID]pool.Load {
	d := &p.demand
	d.mu.Lock()
	defer d.mu.Unlock()
	now := p.clock.Now()
	first := d.last == nil
	if first {
		d.last = map[counterKey]counters{}
	}
	out := map[fleet.PoolID]pool.Load{}
	for id := range p.current.Load().Pools {
		out[id] = pool.Load{At: now}
	}
	seconds := max(0.001, float64(now-d.taken)/1000)
	for _, s := range p.syncer.Summaries() {
		for id, l := range s.Pools {
			key, c := counterKey{s.Member, id}, counters{l.Finished, l.Refused}
			n := c.since(d.last[key])
			d.last[key] = c
			x, ok := out[id]
			if !ok {
				continue
			}
			x.Running += float64(l.InFlight)
			for _, t := range l.Teams {
				x.Waiting += float64(t.Waiting)
			}
			if !first {
				x.Finished += float64(n.finished) / seconds
				x.Refused += float64(n.refused) / seconds
			}
			out[id] = x
		}
	}
	d.taken = now
	return out
}

// weights are the objectives that the setting --weights names. Without one, instances move by
// configuration only.
var weights = map[string]pool.Weights{
	"": {}, "none": {}, "association": pool.Association(), "agency": pool.Agency(),
}
