package quota_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/quota"
)

// waitingPool is the owner of a pool in which tasks or gangs of one size wait. It starts one as soon as its
// allowance covers it.
type waitingPool struct {
	id        fleet.PoolID
	unit      int64 // millicores of one task or gang
	waiting   int   // tasks or gangs
	arriving  int   // tasks or gangs that wait from arriveAt on
	arriveAt  clock.Millis
	room      int64 // millicores of the workers
	earlier   bool  // the owner is of an earlier version, which does not report what has to start as a whole
	runTime   clock.Millis
	allowance int64
	ends      []clock.Millis // of what runs
	started   int
	longest   clock.Millis // the longest time without a start while one was possible
	lastStart clock.Millis
}

func (p *waitingPool) used() int64 { return int64(len(p.ends)) * p.unit }

// usage returns the report of the pool.
func (p *waitingPool) usage() quota.Usage {
	u := quota.Usage{Used: cores(p.used()), Demand: cores(p.used() + int64(p.waiting)*p.unit), Allowance: cores(p.allowance)}
	if p.waiting > 0 && !p.earlier {
		u.Smallest, u.Largest = cores(p.unit), cores(p.unit)
	}
	return u
}

func cores(millicores int64) job.Resources { return job.Resources{CPU: millicores} }

// advance ends what is over and starts what the allowance and the workers permit.
func (p *waitingPool) advance(now clock.Millis) {
	if p.arriving > 0 && now >= p.arriveAt {
		p.waiting, p.arriving = p.waiting+p.arriving, 0
	}
	for len(p.ends) > 0 && p.ends[0] <= now {
		p.ends = p.ends[1:]
	}
	for p.waiting > 0 && p.used()+p.unit <= min(p.allowance, p.room) {
		p.waiting--
		p.started++
		p.lastStart = now
		p.ends = append(p.ends, now+p.runTime)
	}
	if p.waiting == 0 {
		p.lastStart = now
	}
	p.longest = max(p.longest, now-p.lastStart)
}

// reportInterval is the time between two reports of a pool.
const reportInterval clock.Millis = 120

// simulate lets the pools report in turn until the given time.
func simulate(t *testing.T, limit int64, pools []*waitingPool, until clock.Millis) {
	t.Helper()
	l := quota.New(0)
	var ids []fleet.PoolID
	for _, p := range pools {
		ids = append(ids, p.id)
	}
	l.Configure(ids, map[fleet.TeamID]job.Resources{team: cores(limit)})
	for now := clock.Millis(0); now < until; now += reportInterval {
		for _, p := range pools {
			out := l.Report(p.id, 1, map[fleet.TeamID]quota.Usage{team: p.usage()}, now)
			p.allowance = out[team].CPU
			p.advance(now)
		}
		var sum int64
		for _, p := range pools {
			sum += p.used()
		}
		must.LessEq(t, limit, sum)
	}
}

// Guards against a task or gang that does not start while the limit has room, because its pool's share of the
// limit is below what it needs. The load: a long backlog of the team in other pools whose workers are full, so that
// they use little of what they are granted.
func TestWaitingUnitStartsWhileLimitHasRoom(t *testing.T) {
	const limit = 100_000
	for _, c := range []struct {
		name string
		unit int64
	}{{"task", 950}, {"gang", 6 * 950}, {"gang of over half of the limit", 60_000}} {
		for _, backlogPools := range []int{1, 4, 12} {
			t.Run(fmt.Sprintf("%s beside %d pools", c.name, backlogPools), func(t *testing.T) {
				small := &waitingPool{id: "small", unit: c.unit, waiting: 1, room: limit, runTime: 1000}
				pools := []*waitingPool{small}
				for i := range backlogPools {
					pools = append(pools, &waitingPool{
						id: fleet.PoolID(fmt.Sprintf("large-%d", i)), unit: 1000, waiting: 300, room: 20_000 / int64(backlogPools), runTime: 10_000,
					})
				}
				simulate(t, limit, pools, 2000)
				must.Eq(t, 1, small.started)
			})
		}
	}
}

// Guards against a gang that waits for good beside small tasks of its team, which keep waiting in the same pool: what is
// granted has to cover the gang as well, if the limit has room for it.
func TestGangIsCoveredBesideSmallTasks(t *testing.T) {
	const limit = 100_000
	ids := []fleet.PoolID{"a", "b", "c", "d"}
	l := quota.New(0)
	l.Configure(ids, map[fleet.TeamID]job.Resources{team: cores(limit)})
	have := map[fleet.PoolID]int64{}
	largest := int64(0)
	for now := clock.Millis(0); now < 2000; now += reportInterval {
		for _, id := range ids {
			u := quota.Usage{Used: cores(10_000), Demand: cores(300_000), Allowance: cores(have[id]), Smallest: cores(1000), Largest: cores(1000)}
			if id == "b" {
				u.Largest = cores(50_000)
			}
			have[id] = l.Report(id, 1, map[fleet.TeamID]quota.Usage{team: u}, now)[team].CPU
			largest = max(largest, have["b"])
		}
	}
	must.GreaterEq(t, 10_000+50_000, largest)
}

// Guards against a gang that waits for good behind a backlog that uses the whole limit: as tasks of the backlog end,
// others of it started again with what was to become the gang's share, which the gang has to have at once.
func TestGangWithinItsShareStartsBesideFullLimit(t *testing.T) {
	const limit, runTime = 20_000, 3000
	for _, spread := range []clock.Millis{0, 150} { // between the ends of the backlog's tasks
		backlog := &waitingPool{id: "backlog", unit: 1000, waiting: 500, room: limit, runTime: runTime}
		for i := range clock.Millis(20) {
			backlog.ends = append(backlog.ends, runTime+i*spread)
		}
		gang := &waitingPool{id: "gang", unit: 6000, arriving: 1, arriveAt: 2000, room: limit, runTime: 1000}
		simulate(t, limit, []*waitingPool{backlog, gang}, 2000+2*runTime)
		must.Eq(t, 1, gang.started, must.Sprintf("ends %d ms apart", spread))
	}
}

// Guards against a pool that starts nothing for long because the others' gangs take the whole limit: gangs of
// which only one fits into the limit at a time run in turn.
func TestGangsThatFillLimitRunInTurn(t *testing.T) {
	const pools, limit, runTime = 5, 100_000, 500
	var all []*waitingPool
	for i := range pools {
		all = append(all, &waitingPool{id: fleet.PoolID(fmt.Sprintf("p%d", i)), unit: 60_000, waiting: 1000, room: limit, runTime: runTime})
	}
	simulate(t, limit, all, 60_000)
	for _, p := range all {
		must.GreaterEq(t, 6, p.started, must.Sprint(p.id))
		must.LessEq(t, 3*pools*runTime, p.longest, must.Sprint(p.id))
	}
}

// Guards against a share that goes unused because a pool waits for room that its workers do not have: another one
// takes its turn.
func TestTurnPassesFromPoolWithoutRoom(t *testing.T) {
	const limit = 100_000
	full := &waitingPool{id: "full", unit: 60_000, waiting: 10, room: 1000, runTime: 500}
	free := &waitingPool{id: "unused", unit: 60_000, waiting: 10, room: limit, runTime: 500}
	simulate(t, limit, []*waitingPool{full, free}, 20_000)
	must.Eq(t, 10, free.started)
}

// Guards against small demands that are cut because a large one exceeds the limit, and against an uneven
// division among large ones.
func TestSmallDemandsAreCoveredFirst(t *testing.T) {
	l := quota.New(0)
	demands := map[fleet.PoolID]int64{"a": 950, "b": 300_000, "c": 90_000, "d": 5000}
	ids := []fleet.PoolID{"a", "b", "c", "d"}
	l.Configure(ids, map[fleet.TeamID]job.Resources{team: cores(100_000)})
	have := map[fleet.PoolID]int64{}
	var memory int64
	for round := range clock.Millis(5) {
		for _, id := range ids {
			out := l.Report(id, 1, map[fleet.TeamID]quota.Usage{team: {Demand: cores(demands[id]), Allowance: cores(have[id]), Smallest: cores(950), Largest: cores(950)}}, round)
			have[id] = out[team].CPU
			memory = out[team].Memory
		}
	}
	must.Eq(t, quota.Unlimited, memory)
	must.Eq(t, map[fleet.PoolID]int64{"a": 950, "b": 47_025, "c": 47_025, "d": 5000}, have)
}

// Guards against pools of owners of an earlier version that are starved, or starve others, while members are
// replaced one by one: with the guarantee or without it, a pool gets its fair share.
func TestOwnersOfEarlierVersionKeepTheirShare(t *testing.T) {
	const limit, runTime = 20_000, 500
	former := &waitingPool{id: "earlier", unit: 1000, waiting: 5000, room: limit, runTime: runTime, earlier: true}
	current := &waitingPool{id: "newer", unit: 6000, waiting: 5000, room: limit, runTime: runTime}
	simulate(t, limit, []*waitingPool{former, current}, 60_000)
	// Half of what the fair share of 10 cores runs: ten tasks, or one gang, at a time.
	must.GreaterEq(t, 10*60_000/runTime/2, former.started)
	must.GreaterEq(t, 60_000/runTime/2, current.started)
	must.LessEq(t, 3*runTime, former.longest)
	must.LessEq(t, 3*runTime, current.longest)
}

// Guards against a limit that is exceeded as it is added: pools already run tasks of the team, and the first one that
// reports got all of the limit, because nothing was known of the others.
func TestAddedLimitWaitsForAllPools(t *testing.T) {
	l := quota.New(0)
	ids := []fleet.PoolID{"a", "b"}
	l.Configure(ids, nil)
	for _, id := range ids {
		l.Report(id, 1, nil, 20_000)
	}
	l.Configure(ids, map[fleet.TeamID]job.Resources{team: cores(100)})
	report := func(id fleet.PoolID, used, demand int64) int64 {
		u := quota.Usage{Used: cores(used), Demand: cores(demand)}
		return l.Report(id, 1, map[fleet.TeamID]quota.Usage{team: u}, 20_100)[team].CPU
	}
	must.Eq(t, 0, report("a", 0, 100), must.Sprint("b may be using all of it"))
	report("b", 80, 80)
	must.Eq(t, 20, report("a", 0, 100), must.Sprint("what b leaves"))
}

// Guards against what a former owner may have used counting for longer than its tasks can last, and for a pool of
// which no report comes any more.
func TestFormerOwnerIsForgotten(t *testing.T) {
	l := quota.New(0)
	l.Configure([]fleet.PoolID{"a", "b"}, map[fleet.TeamID]job.Resources{team: cores(100)})
	report := func(id fleet.PoolID, fence uint64, used, demand int64, now clock.Millis) int64 {
		u := quota.Usage{Used: cores(used), Demand: cores(demand)}
		return l.Report(id, fence, map[fleet.TeamID]quota.Usage{team: u}, now)[team].CPU
	}
	report("a", 1, 0, 100, 0)
	report("b", 1, 0, 0, 0)
	must.Eq(t, 100, report("a", 1, 0, 100, 10))
	must.Eq(t, 50, report("a", 2, 0, 0, 20), must.Sprint("the new owner wants nothing, and nobody else does"))
	must.Eq(t, 0, report("b", 1, 0, 100, 30), must.Sprint("tasks of the former owner may still run"))
	must.Eq(t, 50, report("b", 1, 0, 100, 13_020))
}

// BenchmarkLedgerReport measures one report of a pool at the target size: 82 pools and 150 teams with a
// limit, some of which have waiting work in a few pools and some of which want more than their limit.
func BenchmarkLedgerReport(b *testing.B) {
	const pools, teams = 82, 150
	l := quota.New(0)
	var ids []fleet.PoolID
	for i := range pools {
		ids = append(ids, fleet.PoolID(fmt.Sprintf("p%d", i)))
	}
	limits := map[fleet.TeamID]job.Resources{}
	for i := range teams {
		limits[fleet.TeamID(fmt.Sprintf("t%d", i))] = cores(100_000)
	}
	l.Configure(ids, limits)
	reports := make([]map[fleet.TeamID]quota.Usage, pools)
	for p := range pools {
		reports[p] = map[fleet.TeamID]quota.Usage{}
		for k := range 12 {
			n := (p*7 + k*13) % teams
			reports[p][fleet.TeamID(fmt.Sprintf("t%d", n))] = quota.Usage{
				Used: cores(3000), Demand: cores(3000 + int64(n%10)*4000), Smallest: cores(500), Largest: cores(4000),
			}
		}
	}
	n := 0
	for b.Loop() {
		p := n % pools
		n++
		l.Report(ids[p], 1, reports[p], clock.Millis(20_000+n))
	}
}
