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

// The demand of the experiment rotates among groups of five queues. In turn, each queue of a
// group receives five times its mean rate; in between it receives a twentieth of the mean.
const (
	experimentSeed     = 20261204
	warmUpSeconds      = 1800
	measuredSeconds    = 3600
	peakSeconds        = 8    // of one queue, in each rotation
	deadlineSeconds    = 30.0 // from arrival to the end of the run
	runSeconds         = 2.0
	utilization        = 0.45 // mean demand, as a fraction of the fleet's slots
	slots              = 8
	maintenanceSeconds = 95 // of one instance, with the simulated platform
	rackFailureStart   = warmUpSeconds + 1800
	rackFailureEnd     = rackFailureStart + 600
	tolerance          = 1e-3 // largest difference in the fraction of met demand that counts as the same goodput
)

// arrivals returns the number of requests that arrive at each pool in each second. The mean
// rates lie between a third of and three times the rate for which the equal pools are declared.
func arrivals(pools int, fleetSlots float64) [][]float64 {
	r := rand.New(rand.NewPCG(experimentSeed, uint64(pools)))
	means, sum := make([]float64, pools), 0.0
	for p := range means {
		means[p] = math.Pow(3, 2*r.Float64()-1)
		sum += means[p]
	}
	out := make([][]float64, pools)
	for p := range out {
		mean := means[p] / sum * utilization * fleetSlots / runSeconds
		out[p] = make([]float64, warmUpSeconds+measuredSeconds)
		for t := range out[p] {
			rate := mean / 20
			if t/peakSeconds%5 == p%5 {
				rate = mean * 5
			}
			out[p][t] = max(0, rate+math.Sqrt(rate)*r.NormFloat64())
		}
	}
	return out
}

// fifoQueue models one first-in-first-out queue in steps of one second.
type fifoQueue struct {
	batches                         []float64 // waiting requests, by second of arrival
	oldest                          int
	running, waiting, done, refused float64 // in the last second
	met, offered, idle              float64 // summed over the measured time
}

// step advances the queue to second t, in which requests arrive and capacity slots serve them.
func (q *fifoQueue) step(t int, arrived, capacity float64) {
	q.batches = append(q.batches, arrived)
	q.done, q.refused = 0, 0
	for left := capacity / runSeconds; q.oldest <= t; q.oldest++ {
		if float64(t-q.oldest) > deadlineSeconds-runSeconds {
			q.refused += q.batches[q.oldest]
			continue
		}
		n := min(left, q.batches[q.oldest])
		q.done, left = q.done+n, left-n
		if q.batches[q.oldest] -= n; q.batches[q.oldest] > 1e-9 {
			break
		}
	}
	q.waiting = 0
	for _, n := range q.batches[min(q.oldest, len(q.batches)):] {
		q.waiting += n
	}
	q.running = q.done * runSeconds
	if t >= warmUpSeconds {
		q.met += q.done
		q.offered += arrived
		q.idle += capacity - q.running
	}
}

// runStatic serves one pool's demand with n instances. From the start of the measurement, one
// instance after the other is maintained; lost instances are down while the rack fails.
func runStatic(in []float64, n, lost int) *fifoQueue {
	l := &fifoQueue{}
	for t, a := range in {
		up := n
		if t >= warmUpSeconds && t < warmUpSeconds+n*maintenanceSeconds {
			up--
		}
		if t >= rackFailureStart && t < rackFailureEnd {
			up -= lost
		}
		l.step(t, a, float64(max(0, up)*slots))
	}
	return l
}

// outcome is one line of the table that BenchmarkPlacement prints.
type outcome struct {
	name                               string
	instances                          int
	idle, met, perSecond, movesPerHour float64
	maintained                         int
}

func (o outcome) String() string {
	return fmt.Sprintf("%-34s %9d %8.4f %9.5f %10.1f %8.4f %6d", o.name, o.instances, o.idle, o.met, o.perSecond, o.movesPerHour, o.maintained)
}

// total sums the results of all queues.
func total(name string, queues []*fifoQueue, instances, fleetSize int) outcome {
	o := outcome{name: name, instances: instances}
	met, offered := 0.0, 0.0
	for _, l := range queues {
		met, offered, o.idle = met+l.met, offered+l.offered, o.idle+l.idle
	}
	o.idle /= float64(fleetSize * slots * measuredSeconds)
	o.met, o.perSecond = met/offered, met/measuredSeconds
	return o
}

// runControllers serves the same demand with pools that the controllers of all zones manage.
func runControllers(name string, c *fleet.Config, zones, pools int, weights pool.Weights, in [][]float64, fail func(string, ...any)) ([]*fifoQueue, outcome) {
	sim := newSimulation(c, zones, zones, pool.Policy{}, fail)
	for _, h := range sim.controllers {
		h.Weights = weights
	}
	for range 5 { // rows are created
		sim.now += second
		sim.round(zones)
	}
	// The maintenance of every instance falls due when the measurement begins.
	plans := maps.Clone(c.Pools)
	for id, p := range c.Pools {
		p.Maintenance.Every = 0
		c.Pools[id] = p
	}
	sim.now += 13 * day
	start := map[fleet.InstanceID]clock.Millis{}
	queues, reports := make([]*fifoQueue, pools), make([]map[fleet.PoolID]pool.Load, 0)
	for p := range queues {
		queues[p] = &fifoQueue{}
	}
	for t := range warmUpSeconds + measuredSeconds {
		sim.now += second
		if t == warmUpSeconds {
			maps.Copy(start, sim.maintainedAt)
			maps.Copy(c.Pools, plans)
		}
		for _, i := range slices.Sorted(maps.Keys(c.Instances)) {
			if c.Instances[i].Rack == "r0" {
				sim.down[i] = t >= rackFailureStart && t < rackFailureEnd
			}
		}
		up := map[string]float64{}
		for id, r := range sim.rows {
			if r.Phase == "serving" && !sim.unlisted(id) {
				up[r.Pool] += slots
			}
		}
		report := map[fleet.PoolID]pool.Load{}
		for p, l := range queues {
			id := fmt.Sprintf("p%02d", p)
			l.step(t, in[p][t], up[id])
			report[fleet.PoolID(id)] = pool.Load{At: sim.now, Running: l.running, Waiting: l.waiting, Finished: l.done, Refused: l.refused}
		}
		reports = append(reports, report)
		sim.load = reports[max(0, t-3)] // reports lag by 3 s
		sim.round(zones)
	}
	o := total(name, queues, len(c.Instances), len(c.Instances))
	o.movesPerHour = float64(sim.moves) / float64(len(c.Instances)) * 3600 / (warmUpSeconds + measuredSeconds)
	for id, at := range sim.maintainedAt {
		if at > start[id] {
			o.maintained++
		}
	}
	return queues, o
}

// BenchmarkPlacement prints the table of docs/design/placement.md. Run it with -benchtime 1x.
func BenchmarkPlacement(b *testing.B) {
	fmt.Printf("\n%-34s %9s %8s %9s %10s %8s %6s\n", "", "instances", "buffer", "met", "on time/s", "moves/h", "maint.")
	for _, s := range []struct {
		name                          string
		pools, perPool, spares, zones int
		weights                       pool.Weights
	}{
		{"association", 5, 9, 5, 4, pool.AssociationWeights()},
		{"agency", 5, 9, 5, 3, pool.AgencyWeights()},
		{"association_target", 81, 11, 19, 7, pool.AssociationWeights()},
		{"agency_target", 81, 11, 19, 7, pool.AgencyWeights()},
	} {
		b.Run(s.name, func(b *testing.B) {
			for range b.N {
				c := testFleet(s.pools, s.perPool, s.spares, s.zones, 1)
				n := len(c.Instances)
				in := arrivals(s.pools, float64(n*slots))
				queues, plan := runControllers(s.name+": planned", c, s.zones, s.pools, s.weights, in, b.Fatalf)
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
					out := make([]*fifoQueue, s.pools)
					for p := range out {
						out[p] = runStatic(in[p], size, lost(p, size))
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
				exact, sum := make([]*fifoQueue, s.pools), 0
				for p := range exact {
					k := 1
					for exact[p] = runStatic(in[p], k, 0); k < 4*n/s.pools && exact[p].met < min(queues[p].met, queues[p].offered)*(1-tolerance); k++ {
						exact[p] = runStatic(in[p], k+1, 0)
					}
					sum += k
				}
				fmt.Println(total(s.name+": static, known means", exact, sum, n))
				fmt.Printf("%s: buffer is %.2f of that of equal static pools with the same goodput\n", s.name, plan.idle/same.idle)
			}
		})
	}
}
