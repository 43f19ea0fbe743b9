package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/caller"
	"citronknot/fleet"
	"citronknot/fleet/target"
)

// Decision compares the cost of admission and target selection, without HTTP, with that of a
// first-come queue with a random choice of the target.
type Decision struct {
	Seed        uint64
	Repetitions int
	Requests    int // requests of one repetition
	Teams       int
	Pools       int
	Workers     int
	Members     int // members that share the workers
}

// DecisionResult holds one figure for each repetition.
type DecisionResult struct {
	NanosPerRequest, AllocationsPerRequest Spread // time and allocations of one request, from arrival to release
	FirstComeNanos, FirstComeAllocations   Spread // the same of the baseline
	TimeRatio                              Spread // NanosPerRequest over FirstComeNanos
}

// Run measures citronknot and the baseline in alternating blocks on one goroutine. It returns an
// error if a request is refused or finds no target.
func (d Decision) Run(ctx context.Context) (DecisionResult, error) {
	var result DecisionResult
	random := rand.New(rand.NewPCG(d.Seed, 1))
	admission, dispatcher, requests := d.buildFleet(random)
	baseline := newFirstCome(d.Pools, d.Workers)
	for repetition := -1; repetition < d.Repetitions; repetition++ { // the first round builds up the state of all teams and is not counted
		var failure error
		nanos, allocations := measureCost(d.Requests, func(i int) {
			r := requests[i%len(requests)]
			release, err := admission.Acquire(ctx, r)
			if err != nil {
				failure = err
				return
			}
			id, releaseSlot := dispatcher.Acquire(r.Queue.Pool)
			if id == "" {
				failure = eris.New("experiment: no free target")
			} else {
				releaseSlot()
			}
			release(caller.Ran)
		})
		if failure != nil {
			return result, eris.Wrap(failure, "experiment: measure decision")
		}
		firstComeNanos, firstComeAllocations := measureCost(d.Requests, func(i int) { baseline.serve(i*7%d.Pools, random) })
		if repetition < 0 {
			continue
		}
		result.NanosPerRequest, result.AllocationsPerRequest = append(result.NanosPerRequest, nanos), append(result.AllocationsPerRequest, allocations)
		result.FirstComeNanos = append(result.FirstComeNanos, firstComeNanos)
		result.FirstComeAllocations = append(result.FirstComeAllocations, firstComeAllocations)
		result.TimeRatio = append(result.TimeRatio, nanos/firstComeNanos)
	}
	return result, nil
}

// measureCost calls f n times and returns the mean time in nanoseconds and the mean number of
// allocations of a call.
func measureCost(n int, f func(i int)) (nanos, allocations float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range n {
		f(i)
	}
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	return float64(elapsed) / float64(n), float64(after.Mallocs-before.Mallocs) / float64(n)
}

// buildFleet returns an admission and a dispatcher for the configured fleet, and requests of all
// teams for all pools in random order.
func (d Decision) buildFleet(random *rand.Rand) (*caller.Admission, *target.Dispatcher, []*caller.Request) {
	snapshots := map[fleet.PoolID]*target.Snapshot{}
	pools := make([]fleet.PoolID, d.Pools)
	for i := range pools {
		pools[i] = fleet.PoolID(fmt.Sprint("pool-", i))
		snapshots[pools[i]] = &target.Snapshot{MaxEjected: 1, Members: d.Members, Rank: d.Members / 2}
	}
	slots := map[fleet.PoolID]fleet.Slots{}
	for i := range d.Workers {
		id := pools[i%d.Pools]
		slots[id] += 8
		snapshots[id].Targets = append(snapshots[id].Targets, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprint("worker-", i)), Zone: fleet.ZoneID(fmt.Sprint(i / d.Pools % 7)), Slots: 8, Connections: 64,
		})
	}
	shares := map[fleet.TeamID]fleet.Share{}
	var requests []*caller.Request
	for i := range d.Teams {
		team := fleet.TeamID(fmt.Sprint("team-", i))
		shares[team] = fleet.Share(20 + random.IntN(80))
		for _, pool := range pools {
			requests = append(requests, &caller.Request{
				Queue: fleet.Queue{ID: fleet.QueueID(pool), Pool: pool, Idempotent: true, MaxWaiting: 100}, Team: team, Deadline: 1 << 40,
			})
		}
	}
	random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
	admission := &caller.Admission{
		Slots:    func(p fleet.PoolID) fleet.Slots { return slots[p] },
		Share:    func(t fleet.TeamID) fleet.Share { return shares[t] },
		TryStart: func(fleet.TeamID) bool { return true }, Finish: func(fleet.TeamID) {},
	}
	return admission, &target.Dispatcher{Zone: "3", Snapshot: func(p fleet.PoolID) *target.Snapshot { return snapshots[p] }}, requests
}

// firstCome is the baseline of Decision: a first-come queue for each pool under its own lock and
// a random choice among the workers with a free slot.
type firstCome struct {
	pools []firstComePool
}

type firstComePool struct {
	mu       sync.Mutex
	waiting  []int
	inFlight []int
}

func newFirstCome(pools, workers int) *firstCome {
	f := &firstCome{pools: make([]firstComePool, pools)}
	for i := range workers {
		p := &f.pools[i%pools]
		p.inFlight = append(p.inFlight, 0)
	}
	return f
}

// serve queues one request, assigns it to a random worker with a free slot, and ends it.
func (f *firstCome) serve(pool int, random *rand.Rand) {
	p := &f.pools[pool]
	p.mu.Lock()
	p.waiting = append(p.waiting, pool)
	p.waiting = p.waiting[:len(p.waiting)-1]
	worker := random.IntN(len(p.inFlight))
	for p.inFlight[worker] >= 8 {
		worker = random.IntN(len(p.inFlight))
	}
	p.inFlight[worker]++
	p.mu.Unlock()
	p.mu.Lock()
	p.inFlight[worker]--
	p.mu.Unlock()
}
