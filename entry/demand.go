package entry

import (
	"sync"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/pool"
)

// demandCounters holds the counters of the newest load summaries, from which poolLoads computes
// rates.
type demandCounters struct {
	mu     sync.Mutex
	last   map[counterKey]counters // nil before the first call of poolLoads
	readAt clock.Millis
}

type counterKey struct {
	member fleet.MemberID
	pool   fleet.PoolID
}

// counters holds the numbers of requests to a pool that a member has finished and refused since
// it started.
type counters struct {
	finished uint64
	refused  uint64
}

// since returns the difference between c and old. If c is lower, the member has restarted and
// counted from 0, so since returns c.
func (c counters) since(old counters) counters {
	if c.finished < old.finished || c.refused < old.refused {
		return c
	}
	return counters{finished: c.finished - old.finished, refused: c.refused - old.refused}
}

// poolLoads returns the load of each pool, summed over all members. Its rates cover the time
// since the previous call.
func (p *Process) poolLoads() map[fleet.PoolID]pool.Load {
	d := &p.demand
	d.mu.Lock()
	defer d.mu.Unlock()
	now := p.clock.Now()
	first := d.last == nil
	if first {
		d.last = map[counterKey]counters{}
	}
	loads := map[fleet.PoolID]pool.Load{}
	for id := range p.current.Load().Pools {
		loads[id] = pool.Load{At: now}
	}
	seconds := max(0.001, float64(now-d.readAt)/1000)
	for _, summary := range p.syncer.Summaries() {
		for id, load := range summary.Pools {
			key, current := counterKey{summary.Member, id}, counters{load.Finished, load.Refused}
			delta := current.since(d.last[key])
			d.last[key] = current
			total, ok := loads[id]
			if !ok {
				continue
			}
			total.Running += float64(load.InFlight)
			for _, team := range load.Teams {
				total.Waiting += float64(team.Waiting)
			}
			if !first {
				total.Finished += float64(delta.finished) / seconds
				total.Refused += float64(delta.refused) / seconds
			}
			loads[id] = total
		}
	}
	d.readAt = now
	return loads
}

// weights maps the values of the setting --weights to the objectives of the pool controller.
// Without an objective, instances move between pools only when the configuration changes.
var weights = map[string]pool.Weights{
	"": {}, "none": {}, "association": pool.AssociationWeights(), "agency": pool.AgencyWeights(),
}
