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

// Decision measures admission and target selection without HTTP, next to a first-come queue with
// a random choice of the target.
type Decision struct {
	Seed        uint64
	Repetitions int
	Requests    int // of one repetition
	Teams       int
	Pools       int
	Workers     int
	Members     int // that share the workers
}

// DecisionResult holds one figure for each repetition.
type DecisionResult struct {
	Nanos, Allocations                   Spread // of one request, from arrival to release
	FirstComeNanos, FirstComeAllocations Spread
	Ratio                                Spread // of the times
}

// Run measures both in alternating blocks on one goroutine.
func (d Decision) Run(ctx context.Context) (DecisionResult, error) {
	var out DecisionResult
	random := rand.New(rand.NewPCG(d.Seed, 1))
	a, disp, requests := d.build(random)
	baseline := newFirstCome(d.Pools, d.Workers)
	for k := -1; k < d.Repetitions; k++ { // the first round fills the state and is dropped
		var failed error
		nanos, allocations := cost(d.Requests, func(i int) {
			r := requests[i%len(requests)]
			release, err := a.Acquire(ctx, r)
			if err != nil {
				failed = err
				return
			}
			id, free := disp.Acquire(r.Queue.Pool)
			if id == "" {
				failed = eris.New("experiment: no target")
			} else {
				free()
			}
			release(caller.Ran)
		})
		if failed != nil {
			return out, eris.Wrap(failed, "experiment: decision")
		}
		firstNanos, firstAllocations := cost(d.Requests, func(i int) { baseline.serve(i*7%d.Pools, random) })
		if k < 0 {
			continue
		}
		out.Nanos, out.Allocations = append(out.Nanos, nanos), append(out.Allocations, allocations)
		out.FirstComeNanos = append(out.FirstComeNanos, firstNanos)
		out.FirstComeAllocations = append(out.FirstComeAllocations, firstAllocations)
		out.Ratio = append(out.Ratio, nanos/firstNanos)
	}
	return out, nil
}

// cost returns the mean time in nanoseconds and the mean number of allocations of f.
func cost(n int, f func(i int)) (nanos, allocations float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin := time.Now()
	for i := range n {
		f(i)
	}
	took := time.Since(begin)
	runtime.ReadMemStats(&after)
	return float64(took) / float64(n), float64(after.Mallocs-before.Mallocs) / float64(n)
}

func (d Decision) build(random *rand.Rand) (*caller.Admission, *target.Dispatcher, []*caller.Request) {
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
		t := fleet.TeamID(fmt.Sprint("team-", i))
		shares[t] = fleet.Share(20 + random.IntN(80))
		for _, p := range pools {
			requests = append(requests, &caller.Request{
				Queue: fleet.Queue{ID: fleet.QueueID(p), Pool: p, Idempotent: true, MaxWaiting: 100}, Team: t, Deadline: 1 << 40,
			})
		}
	}
	random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
	a := &caller.Admission{
		Slots:    func(p fleet.PoolID) fleet.Slots { return slots[p] },
		Share:    func(t fleet.TeamID) fleet.Share { return shares[t] },
		TryStart: func(fleet.TeamID) bool { return true }, Finish: func(fleet.TeamID) {},
	}
	return a, &target.Dispatcher{Zone: "3", Serving: func(p fleet.PoolID) *target.Snapshot { return snapshots[p] }}, requests
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
