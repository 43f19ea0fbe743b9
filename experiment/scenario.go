package experiment

import (
	"fmt"
	"math/rand/v2"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
)

// Scenario is a fleet and the demand on it. Each queue feeds a pool of its own and in turn
// demands five times its mean for the time Peak, and a twentieth of its mean in between.
type Scenario struct {
	Name     string
	Seed     uint64
	Zones    int
	Pools    int
	Workers  int // of each pool
	Slots    int // of each worker
	Members  int
	Shares   []fleet.Share // of the teams
	Demand   []float64     // part of the demand that comes from each team; the sum is 1
	Mean     float64       // mean demand of a queue over the slots of its pool
	Urgent   float64       // part of the requests that is urgent
	Peak     clock.Millis
	Length   clock.Millis // time in which requests arrive
	Outage   Outage
	MaxDelay clock.Millis // longest time that a load summary is under way
}

// Outage takes the workers of one rack away. The zero value takes none.
type Outage struct {
	From, Until clock.Millis
}

const (
	rackSize = 4
	// listLag is the time after which members see in the instance list that a worker is gone or
	// back.
	listLag clock.Millis = 1_000
	// maxWaiting is the bound of a team's queue at one member.
	maxWaiting = 200
)

// Association returns the size of the Association today.
func Association(seed uint64) Scenario {
	return Scenario{
		Name: "Association", Seed: seed, Zones: 4, Pools: 5, Workers: 10, Slots: 8, Members: 9,
		Shares: []fleet.Share{2500, 2500, 1500, 1500, 1000, 1000}, Demand: []float64{0.30, 0.22, 0.18, 0.12, 0.10, 0.08},
		Mean: 0.4, Urgent: 0.05, Peak: 15_000, Length: 150_000, MaxDelay: 1_000,
	}
}

// Agency returns the size of the Agency today. Its peaks are taken to be shorter.
func Agency(seed uint64) Scenario {
	s := Association(seed)
	s.Name, s.Zones, s.Peak = "Agency", 3, 10_000
	s.Shares = []fleet.Share{4000, 2000, 1500, 1000, 1000, 500}
	return s
}

// WithOutage returns the scenario with one rack away during the second round of peaks.
func (s Scenario) WithOutage() Scenario {
	round := s.Peak * clock.Millis(s.Pools)
	s.Name += ", rack away"
	s.Outage = Outage{From: s.Peak / 2, Until: s.Peak/2 + round}
	return s
}

// job is one request with its run time, which only the workers know.
type job struct {
	request  caller.Request
	pool     int
	member   int
	team     int
	number   int // in the order of arrival
	run      clock.Millis
	worker   int
	attempts int          // since it was last admitted
	placed   clock.Millis // when it started on a worker
	gaveUp   clock.Millis // when the search for a worker ends
	active   bool         // runs on a worker
	failures int          // attempts that no guard refused, since it was last admitted
	pause    clock.Millis // until the next attempt after refusals by guards
	resume   clock.Millis // when the next attempt may be made
}

// generator makes the arrivals of a scenario. The same seed makes the same arrivals for each
// policy.
type generator struct {
	s      Scenario
	random *rand.Rand
	number int
	queues [][2]fleet.Queue // normal and urgent queue of each pool
	teams  []fleet.TeamID
}

func newGenerator(s Scenario) *generator {
	g := &generator{s: s, random: rand.New(rand.NewPCG(s.Seed, 1))}
	for p := range s.Pools {
		q := fleet.Queue{ID: fleet.QueueID(fmt.Sprint("q", p)), Pool: poolID(p), Idempotent: true, MaxWaiting: maxWaiting}
		u := q
		u.ID, u.Urgent = q.ID+"-urgent", true
		g.queues = append(g.queues, [2]fleet.Queue{q, u})
	}
	for t := range s.Shares {
		g.teams = append(g.teams, teamID(t))
	}
	return g
}

func poolID(p int) fleet.PoolID { return fleet.PoolID(fmt.Sprint("p", p)) }

func teamID(t int) fleet.TeamID { return fleet.TeamID(fmt.Sprint("team-", t)) }

// meanRun is the mean run time of a pool's requests before long runs are cut off.
func meanRun(pool int) float64 { return 150 + 100*float64(pool%5) }

// rate returns the arrivals of a pool in a millisecond.
func (g *generator) rate(pool int, now float64) float64 {
	factor := 0.05
	if int(now)/int(g.s.Peak)%g.s.Pools == pool {
		factor = 5
	}
	return factor * g.s.Mean * float64(g.s.Workers*g.s.Slots) / meanRun(pool)
}

// arrivals returns the requests that arrive in the millisecond before now.
func (g *generator) arrivals(now clock.Millis) []*job {
	var out []*job
	for p := range g.s.Pools {
		// The gap is drawn anew each millisecond, which an exponential gap allows, so that a rise
		// of the rate takes effect at once.
		at := float64(now - 1)
		for at += g.random.ExpFloat64() / g.rate(p, float64(now-1)); at < float64(now); at += g.random.ExpFloat64() / g.rate(p, float64(now-1)) {
			out = append(out, g.job(p, now))
		}
	}
	return out
}

func (g *generator) job(pool int, now clock.Millis) *job {
	g.number++
	j := &job{pool: pool, member: g.random.IntN(g.s.Members), number: g.number}
	for x := g.random.Float64(); j.team < len(g.s.Demand)-1 && x >= g.s.Demand[j.team]; j.team++ {
		x -= g.s.Demand[j.team]
	}
	mean := meanRun(pool)
	j.run = clock.Millis(max(20, min(g.random.ExpFloat64(), 4)*mean))
	q, wait := g.queues[pool][0], clock.Millis(1_500+g.random.IntN(4_500))
	if g.random.Float64() < g.s.Urgent {
		q, wait = g.queues[pool][1], 5_000
	}
	j.request = caller.Request{Queue: q, Team: g.teams[j.team], Arrived: now, Deadline: now + wait}
	return j
}
