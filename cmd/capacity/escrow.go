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

// escrow measures the rebalancing of team limits: all members run in this process and use one
// in-process table with a delay. Arrivals are Poisson and run for 1 s on average; the demand
// of each team alternates between five times its mean and a twentieth of it.
type escrow struct {
	Seed    uint64        `long:"seed" default:"1" description:"seed of the demand"`
	Time    time.Duration `long:"time" default:"20s" description:"time of one run after 6 s to settle"`
	Delay   time.Duration `long:"delay" default:"5ms" description:"delay of the table service"`
	Load    float64       `long:"load" default:"0.85" description:"mean demand as a part of all slots"`
	Steady  bool          `long:"steady" description:"the demand of each team stays at its mean"`
	Members []int         `long:"members" description:"numbers of members; default 8, 40 and 150"`
}

// Execute implements flags.Commander.
func (e *escrow) Execute([]string) error {
	if len(e.Members) == 0 {
		e.Members = []int{8, 40, 150}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	fmt.Println("| teams | members | writes/s | rows a write | refused/s | reads/s | starts/s | denied | KB/s a member |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	var first error
	for _, s := range sizes {
		for _, m := range e.Members {
			wg.Go(func() {
				row, err := e.run(s, m)
				mu.Lock()
				defer mu.Unlock()
				if err != nil && first == nil {
					first = err
				}
				fmt.Println(row)
			})
		}
		wg.Wait()
	}
	return first
}

// demandEvery is the step of the arrivals.
const demandEvery = 50 * time.Millisecond

// field is all members of one run.
type field struct {
	settings *escrow
	size     size
	config   *fleet.Config
	table    *rowstore.Table
	members  int
	phase    []float64 // of each team's demand
	starts   atomic.Int64
	denied   atomic.Int64
	bytes    atomic.Int64 // of rows read, checked and written
}

func (e *escrow) run(s size, members int) (string, error) {
	config, err := s.config()
	if err != nil {
		return "", err
	}
	p := &standin.Platform{}
	f := &field{settings: e, size: s, config: config, members: members}
	f.table = counted(delayed(p.Table(), e.Delay), &f.bytes)
	r := rand.New(rand.NewPCG(e.Seed, uint64(members)))
	for range s.Teams {
		f.phase = append(f.phase, 12*r.Float64())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range members {
		rnd := rand.New(rand.NewPCG(e.Seed, uint64(1000+i)))
		wg.Go(func() { f.member(ctx, i, rnd) })
	}
	time.Sleep(6 * time.Second)
	c, starts, denied, moved := p.Counters(), f.starts.Load(), f.denied.Load(), f.bytes.Load()
	time.Sleep(e.Time)
	d := p.Counters()
	starts, denied, moved = f.starts.Load()-starts, f.denied.Load()-denied, f.bytes.Load()-moved
	cancel()
	wg.Wait()
	t, renewals := e.Time.Seconds(), float64(members)/3
	writes := float64(d.Writes-c.Writes)/t - renewals
	return fmt.Sprintf("| %d | %d | %.1f | %.1f | %.2f | %.1f | %.0f | %.1f%% | %.1f |", s.Teams, members, writes,
		(float64(d.Rows-c.Rows)/t-renewals)/max(writes, 0.01), float64(d.Refused-c.Refused)/t,
		float64(d.Reads-c.Reads)/t-renewals, float64(starts)/t, 100*float64(denied)/float64(max(1, denied+starts)), float64(moved)/t/float64(members)/1000), nil
}

// rowBytes is about what a row or a check takes as JSON beside its table, key and value.
const rowBytes = 45

// counted counts the bytes of limit rows as JSON, without HTTP headers.
func counted(t *rowstore.Table, bytes *atomic.Int64) *rowstore.Table {
	count := func(r rowstore.Ref, value []byte) {
		if r.Table == "limits" {
			bytes.Add(int64(rowBytes + len(r.Table) + len(r.Key) + len(value)))
		}
	}
	return &rowstore.Table{
		Transact: func(ctx context.Context, x rowstore.Transaction) ([]fleet.Version, error) {
			for _, c := range x.Checks {
				count(c.Ref, nil)
			}
			for _, w := range x.Writes {
				count(w.Ref, w.Value)
			}
			return t.Transact(ctx, x)
		},
		Read: func(ctx context.Context, q rowstore.Query) ([]rowstore.Row, error) {
			rows, err := t.Read(ctx, q)
			for _, r := range rows {
				count(r.Ref, r.Value)
			}
			return rows, err
		},
	}
}

// delayed adds a delay to each call of a table.
func delayed(t *rowstore.Table, d time.Duration) *rowstore.Table {
	return &rowstore.Table{
		Transact: func(ctx context.Context, x rowstore.Transaction) ([]fleet.Version, error) {
			time.Sleep(d)
			return t.Transact(ctx, x)
		},
		Read: func(ctx context.Context, q rowstore.Query) ([]rowstore.Row, error) {
			time.Sleep(d)
			return t.Read(ctx, q)
		},
	}
}

// member registers, renews, rebalances as package entry does, and makes demand.
func (f *field) member(ctx context.Context, i int, r *rand.Rand) {
	m := &rowstore.Members{Table: f.table, Self: rowstore.Member{ID: memberID(i), Zone: zoneID(i)}}
	time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
	for ctx.Err() == nil && m.Register(ctx) != nil {
		time.Sleep(time.Duration(r.Int64N(int64(500 * time.Millisecond)))) // registrations conflict
	}
	e := &rowstore.Escrow{Table: f.table, Members: m, Zone: zoneID(i), Config: func() *fleet.Config { return f.config }}
	denied := make(chan struct{}, 1)
	var wg sync.WaitGroup
	wg.Go(func() { m.Run(ctx) })
	wg.Go(func() { rebalance(ctx, e, denied) })
	f.demand(ctx, e, denied, r)
	wg.Wait()
}

// rebalance follows the gaps of package entry: 250 ms after a denial at first, up to 2 s.
func rebalance(ctx context.Context, e *rowstore.Escrow, denied chan struct{}) {
	const firstGap, lastGap = 250 * time.Millisecond, 2 * time.Second
	regular := time.NewTicker(rowstore.EscrowEvery.Duration())
	defer regular.Stop()
	gap := firstGap
	for {
		select {
		case <-ctx.Done():
			return
		case <-regular.C:
			gap = firstGap
		case <-denied:
			gap = min(2*gap, lastGap)
		}
		_ = e.Rebalance(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
	}
}

// demand starts and ends requests until ctx ends. A denied request is given up.
func (f *field) demand(ctx context.Context, e *rowstore.Escrow, denied chan struct{}, r *rand.Rand) {
	running := make([]int, f.size.Teams)
	mean := f.settings.Load * slotsEach * float64(f.size.Workers) / float64(f.size.Teams) / float64(f.members)
	step := demandEvery.Seconds()
	ticker := time.NewTicker(demandEvery)
	defer ticker.Stop()
	for start := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		at := time.Since(start).Seconds()
		for t := range running {
			id := teamID(t)
			for range running[t] {
				if r.Float64() < step { // runs of 1 s on average
					e.Finish(id)
					running[t]--
				}
			}
			for range poisson(r, mean*f.wave(t, at)*step) {
				if e.TryStart(id) {
					running[t]++
					f.starts.Add(1)
					continue
				}
				f.denied.Add(1)
				select {
				case denied <- struct{}{}:
				default:
				}
			}
		}
	}
}

// wave is a team's demand over its mean: 5 for 2.3 of 12 s and 0.05 in between.
func (f *field) wave(team int, at float64) float64 {
	if f.settings.Steady {
		return 1
	}
	whole := at + f.phase[team]
	if whole-12*float64(int(whole/12)) < 2.3 {
		return 5
	}
	return 0.05
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for t := r.ExpFloat64(); t < mean; t += r.ExpFloat64() {
		n++
	}
	return n
}
