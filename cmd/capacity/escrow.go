package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"citronknot/fleet"
	"citronknot/rowstore"
	"citronknot/standin"
)

// escrowCommand measures the rebalancing of team limits. All members run in this process and use
// one in-process table with a delay. Arrivals are a Poisson process and requests run for 1 s on
// average. The demand of each team alternates between five times its mean and a twentieth of it.
type escrowCommand struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of the demand"`
	Duration time.Duration `long:"time" default:"20s" description:"measured duration of one run, after a warm-up of 6 s"`
	Delay    time.Duration `long:"delay" default:"5ms" description:"delay of each call to the table service"`
	Load     float64       `long:"load" default:"0.85" description:"mean demand as a fraction of all slots"`
	Steady   bool          `long:"steady" description:"keep the demand of each team at its mean"`
	Members  []int         `long:"members" description:"number of members; repeat for several numbers; default 8, 40 and 150"`
}

// Execute implements flags.Commander.
func (e *escrowCommand) Execute([]string) error {
	if len(e.Members) == 0 {
		e.Members = []int{8, 40, 150}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	fmt.Println("| teams | members | writes/s | rows a write | refused/s | reads/s | starts/s | denied | KB/s a member |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	var firstErr error
	for _, size := range sizes {
		for _, members := range e.Members {
			wg.Go(func() {
				row, err := e.run(size, members)
				mu.Lock()
				defer mu.Unlock()
				if err != nil && firstErr == nil {
					firstErr = err
				}
				fmt.Println(row)
			})
		}
		wg.Wait()
	}
	return firstErr
}

// demandInterval is the time between two steps in which a member starts and ends requests.
const demandInterval = 50 * time.Millisecond

// simulation is one run with all its members.
type simulation struct {
	settings     *escrowCommand
	size         fleetSize
	config       *fleet.Config
	table        *rowstore.Table
	members      int
	phaseSeconds []float64 // start of each team's demand cycle
	starts       atomic.Int64
	denied       atomic.Int64
	limitBytes   atomic.Int64 // of limit rows that were read, checked or written
}

// run simulates one number of members and returns a row of the table. The member registrations,
// which each member renews every 3 s, are subtracted from the writes, rows and reads.
func (e *escrowCommand) run(size fleetSize, members int) (string, error) {
	config, err := size.config()
	if err != nil {
		return "", err
	}
	platform := &standin.Platform{}
	sim := &simulation{settings: e, size: size, config: config, members: members}
	sim.table = withByteCount(withDelay(platform.Table(), e.Delay), &sim.limitBytes)
	random := rand.New(rand.NewPCG(e.Seed, uint64(members)))
	for range size.Teams {
		sim.phaseSeconds = append(sim.phaseSeconds, 12*random.Float64())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range members {
		memberRandom := rand.New(rand.NewPCG(e.Seed, uint64(1000+i)))
		wg.Go(func() { sim.runMember(ctx, i, memberRandom) })
	}
	time.Sleep(6 * time.Second)
	before, starts, denied, movedBytes := platform.Counters(), sim.starts.Load(), sim.denied.Load(), sim.limitBytes.Load()
	time.Sleep(e.Duration)
	after := platform.Counters()
	starts, denied, movedBytes = sim.starts.Load()-starts, sim.denied.Load()-denied, sim.limitBytes.Load()-movedBytes
	cancel()
	wg.Wait()
	seconds, renewals := e.Duration.Seconds(), float64(members)/3
	writes := float64(after.Writes-before.Writes)/seconds - renewals
	return fmt.Sprintf("| %d | %d | %.1f | %.1f | %.2f | %.1f | %.0f | %.1f%% | %.1f |", size.Teams, members, writes,
		(float64(after.Rows-before.Rows)/seconds-renewals)/max(writes, 0.01), float64(after.Refused-before.Refused)/seconds,
		float64(after.Reads-before.Reads)/seconds-renewals, float64(starts)/seconds, 100*float64(denied)/float64(max(1, denied+starts)), float64(movedBytes)/seconds/float64(members)/1000), nil
}

// rowOverheadBytes is the approximate JSON size of a row or a check without its table, key and
// value.
const rowOverheadBytes = 45

// withByteCount returns a table that counts the bytes of limit rows as JSON, without HTTP headers.
func withByteCount(table *rowstore.Table, bytes *atomic.Int64) *rowstore.Table {
	count := func(r rowstore.Ref, value []byte) {
		if r.Table == "limits" {
			bytes.Add(int64(rowOverheadBytes + len(r.Table) + len(r.Key) + len(value)))
		}
	}
	return &rowstore.Table{
		Transact: func(ctx context.Context, transaction rowstore.Transaction) ([]fleet.Version, error) {
			for _, check := range transaction.Checks {
				count(check.Ref, nil)
			}
			for _, write := range transaction.Writes {
				count(write.Ref, write.Value)
			}
			return table.Transact(ctx, transaction)
		},
		Read: func(ctx context.Context, query rowstore.Query) ([]rowstore.Row, error) {
			rows, err := table.Read(ctx, query)
			for _, row := range rows {
				count(row.Ref, row.Value)
			}
			return rows, err
		},
	}
}

// withDelay returns a table that delays each call.
func withDelay(table *rowstore.Table, delay time.Duration) *rowstore.Table {
	return &rowstore.Table{
		Transact: func(ctx context.Context, x rowstore.Transaction) ([]fleet.Version, error) {
			time.Sleep(delay)
			return table.Transact(ctx, x)
		},
		Read: func(ctx context.Context, q rowstore.Query) ([]rowstore.Row, error) {
			time.Sleep(delay)
			return table.Read(ctx, q)
		},
	}
}

// runMember registers a member, renews its registration, rebalances the limits as package entry
// does, and generates its demand.
func (sim *simulation) runMember(ctx context.Context, i int, random *rand.Rand) {
	members := &rowstore.Members{Table: sim.table, Self: rowstore.Member{ID: memberID(i), Zone: zoneID(i)}}
	time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	for ctx.Err() == nil && members.Register(ctx) != nil {
		time.Sleep(time.Duration(random.Int64N(int64(500 * time.Millisecond)))) // simultaneous registrations conflict
	}
	escrow := &rowstore.Escrow{Table: sim.table, Members: members, Zone: zoneID(i), Config: func() *fleet.Config { return sim.config }}
	denied := make(chan struct{}, 1)
	var wg sync.WaitGroup
	wg.Go(func() { members.Run(ctx) })
	wg.Go(func() { rebalance(ctx, escrow, denied) })
	sim.generateDemand(ctx, escrow, denied, random)
	wg.Wait()
}

// rebalance rebalances the limits at regular intervals and after denials. As in package entry, a
// pause follows each rebalancing. Here it is 250 ms after a regular one and doubles with each
// denial, up to 2 s.
func rebalance(ctx context.Context, escrow *rowstore.Escrow, denied chan struct{}) {
	const minPause, maxPause = 250 * time.Millisecond, 2 * time.Second
	ticker := time.NewTicker(rowstore.EscrowEvery.Duration())
	defer ticker.Stop()
	pause := minPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			pause = minPause
		case <-denied:
			pause = min(2*pause, maxPause)
		}
		_ = escrow.Rebalance(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// generateDemand starts and ends requests until ctx ends. A denied request is not retried.
func (sim *simulation) generateDemand(ctx context.Context, escrow *rowstore.Escrow, denied chan struct{}, random *rand.Rand) {
	running := make([]int, sim.size.Teams)
	meanDemand := sim.settings.Load * slotsPerWorker * float64(sim.size.Workers) / float64(sim.size.Teams) / float64(sim.members)
	intervalSeconds := demandInterval.Seconds()
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for start := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		elapsed := time.Since(start).Seconds()
		for team := range running {
			id := teamID(team)
			for range running[team] {
				if random.Float64() < intervalSeconds { // runs of 1 s on average
					escrow.Finish(id)
					running[team]--
				}
			}
			for range poisson(random, meanDemand*sim.demandFactor(team, elapsed)*intervalSeconds) {
				if escrow.TryStart(id) {
					running[team]++
					sim.starts.Add(1)
					continue
				}
				sim.denied.Add(1)
				select {
				case denied <- struct{}{}:
				default:
				}
			}
		}
	}
}

// demandFactor returns a team's demand divided by its mean: 5 for 2.3 s of every 12 s, and 0.05
// for the rest.
func (sim *simulation) demandFactor(team int, elapsed float64) float64 {
	if sim.settings.Steady {
		return 1
	}
	shifted := elapsed + sim.phaseSeconds[team]
	if shifted-12*float64(int(shifted/12)) < 2.3 {
		return 5
	}
	return 0.05
}

// poisson returns a random number with a Poisson distribution.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for arrival := random.ExpFloat64(); arrival < mean; arrival += random.ExpFloat64() {
		count++
	}
	return count
}
