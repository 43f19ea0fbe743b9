package pool_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/pool"
)

// The demand of the experiment: queues rotate in groups of five. Each in turn asks five times
// its mean, and a twentieth in between.
const (
	experimentSeed = 20261204
	warmUp         = 1800 // seconds
	measured       = 3600
	hotSeconds     = 8
	deadline       = 30.0 // seconds from arrival to the end of the run
	runTime        = 2.0  // seconds
	usedPart       = 0.45 // mean demand, as a part of the fleet's slots
	slots          = 8
	outTime        = 95 // seconds that the maintenance of one instance takes with the stand-in
	rackFails      = warmUp + 1800
	rackReturns    = rackFails + 600
	tolerance      = 1e-3 // of the share of demand that counts as the same goodput
)

// arrivals returns the requests that arrive at each pool in each second. The means are up to
// three times as much as, or as little as a third of, the equal sizes that were declared.
func arrivals(pools int, fleetSlots float64) [][]float64 {
	r := rand.New(rand.NewPCG(experimentSeed, uint64(pools)))
	means, sum := make([]float64, pools), 0.0
	for p := range means {
		means[p] = math.Pow(3, 2*r.Float64()-1)
		sum += means[p]
	}
	out := make([][]float64, pools)
	for p := range out {
		mean := means[p] / sum * usedPart * fleetSlots / runTime
		out[p] = make([]float64, warmUp+measured)
		for t := range out[p] {
			rate := mean / 20
			if t/hotSeconds%5 == p%5 {
				rate = mean * 5
			}
			out[p][t] = max(0, rate+math.Sqrt(rate)*r.NormFloat64())
		}
	}
	return out
}

// line is one queue, first in first out, in steps of one second.
type line struct {
	batches                         []float64 // waiting, by second of arrival
	first                           int
	running, waiting, done, refused float64 // of the last second
	met, offered, idle              float64 // over the measured time
}

func (l *line) step(t int, arrived, capacity float64) {
	l.batches = append(l.batches, arrived)
	l.done, l.refused = 0, 0
	for room := capacity / runTime; l.first <= t; l.first++ {
		if float64(t-l.first) > deadline-runTime {
			l.refused += l.batches[l.first]
			continue
		}
		n := min(room, l.batches[l.first])
		l.done, room = l.done+n, room-n
		if l.batches[l.first] -= n; l.batches[l.first] > 1e-9 {
			break
		}
	}
	l.waiting = 0
	for _, n := range l.batches[min(l.first, len(l.batches)):] {
		l.waiting += n
	}
	l.running = l.done * runTime
	if t >= warmUp {
		l.met += l.done
		l.offered += arrived
		l.idle += capacity - l.running
	}
}

// static serves one pool with n instances. One is maintained after the other from the start,
// and those whose index is lost fail with the rack.
func static(in []float64, n, lost int) *line {
	l := &line{}
	for t, a := range in {
		up := n
		if t >= warmUp && t < warmUp+n*outTime {
			up--
		}
		if t >= rackFails && t < rackReturns {
			up -= lost
		}
		l.step(t, a, float64(max(0, up)*slots))
	}
	return l
}

type outcome struct {
	name                      string
	instances                 int
	idle, met, perSecond, mph float64
	maintained                int
}

func (o outcome) String() string {
	return fmt.Sprintf("%-34s %9d %8.4f %9.5f %10.1f %8.4f %6d", o.name, o.instances, o.idle, o.met, o.perSecond, o.mph, o.maintained)
}

func total(name string, lines []*line, instances, fleetSize int) outcome {
	o := outcome{name: name, instances: instances}
	met, offered := 0.0, 0.0
	for _, l := range lines {
		met, offered, o.idle = met+l.met, offered+l.offered, o.idle+l.idle
	}
	o.idle /= float64(fleetSize * slots * measured)
	o.met, o.perSecond = met/offered, met/measured
	return o
}

// dynamic runs the controllers of all zones against the same demand.
func dynamic(name string, c *fleet.Config, zones, pools int, weights pool.Weights, in [][]float64, fail func(string, ...any)) ([]*line, outcome) {
	w := newWorld(c, zones, zones, pool.Policy{}, fail)
	for _, h := range w.holders {
		h.Weights = weights
	}
	for range 5 { // rows are created
		w.now += second
		w.round(zones)
	}
	// The maintenance of every instance falls due when the measurement begins.
	plans := maps.Clone(c.Pools)
	for id, p := range c.Pools {
		p.Maintenance.Every = 0
		c.Pools[id] = p
	}
	w.now += 13 * day
	start := map[fleet.InstanceID]clock.Millis{}
	lines, reports := make([]*line, pools), make([]map[fleet.PoolID]pool.Load, 0)
	for p := range lines {
		lines[p] = &line{}
	}
	for t := range warmUp + measured {
		w.now += second
		if t == warmUp {
			maps.Copy(start, w.served)
			maps.Copy(c.Pools, plans)
		}
		for _, i := range slices.Sorted(maps.Keys(c.Instances)) {
			if c.Instances[i].Rack == "r0" {
				w.down[i] = t >= rackFails && t < rackReturns
			}
		}
		up := map[string]float64{}
		for id, r := range w.rows {
			if r.Phase == "serving" && !w.gone(id) {
				up[r.Pool] += slots
			}
		}
		report := map[fleet.PoolID]pool.Load{}
		for p, l := range lines {
			id := fmt.Sprintf("p%02d", p)
			l.step(t, in[p][t], up[id])
			report[fleet.PoolID(id)] = pool.Load{At: w.now, Running: l.running, Waiting: l.waiting, Finished: l.done, Refused: l.refused}
		}
		reports = append(reports, report)
		w.load = reports[max(0, t-3)] // reports lag by 3 s
		w.round(zones)
	}
	o := total(name, lines, len(c.Instances), len(c.Instances))
	o.mph = float64(w.moves) / float64(len(c.Instances)) * 3600 / (warmUp + measured)
	for id, at := range w.served {
		if at > start[id] {
			o.maintained++
		}
	}
	return lines, o
}

// BenchmarkPlacement prints the table of docs/design/placement.md. Run it with -benchtime 1x.
func BenchmarkPlacement(b *testing.B) {
	fmt.Printf("\n%-34s %9s %8s %9s %10s %8s %6s\n", "", "instances", "buffer", "met", "on time/s", "moves/h", "maint.")
	for _, s := range []struct {
		name                          string
		pools, perPool, spares, zones int
		weights                       pool.Weights
	}{
		{"association", 5, 9, 5, 4, pool.Association()},
		{"agency", 5, 9, 5, 3, pool.Agency()},
		{"association_target", 81, 11, 19, 7, pool.Association()},
		{"agency_target", 81, 11, 19, 7, pool.Agency()},
	} {
		b.Run(s.name, func(b *testing.B) {
			for range b.N {
				c := testFleet(s.pools, s.perPool, s.spares, s.zones, 1)
				n := len(c.Instances)
				in := arrivals(s.pools, float64(n*slots))
				lines, plan := dynamic(s.name+": planned", c, s.zones, s.pools, s.weights, in, b.Fatalf)
				fmt.Println(plan)
				lost := func(p, size int) (k int) {
					for i := p * size; i < (p+1)*size; i++ {
						if i%(n/4) == 0 {
							k++
						}
					}
					return k
				}
				equal := func(name string, size int) outcome {
					out := make([]*line, s.pools)
					for p := range out {
						out[p] = static(in[p], size, lost(p, size))
					}
					return total(name, out, size*s.pools, n)
				}
				fmt.Println(equal(s.name+": static, whole fleet", n/s.pools))
				size := 1
				for size < 4*n/s.pools && equal("", size).met < plan.met-tolerance {
					size++
				}
				same := equal(s.name+": static, same goodput", size)
				fmt.Println(same)
				exact, sum := make([]*line, s.pools), 0
				for p := range exact {
					k := 1
					for exact[p] = static(in[p], k, 0); k < 4*n/s.pools && exact[p].met < min(lines[p].met, lines[p].offered)*(1-tolerance); k++ {
						exact[p] = static(in[p], k+1, 0)
					}
					sum += k
				}
				fmt.Println(total(s.name+": static, known means", exact, sum, n))
				fmt.Printf("%s: buffer is %.2f of that of equal static pools with the same goodput\n", s.name, plan.idle/same.idle)
			}
		})
	}
}
