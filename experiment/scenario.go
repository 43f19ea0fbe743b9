package experiment

import (
	"fmt"
	"math/rand/v2"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
)

// Scenario is a fleet and the demand on it. Each pool has its own queues. The pools take turns in
// being at their peak, which lasts for PeakDuration: then the demand on the pool is five times its
// mean, and otherwise a twentieth of it.
type Scenario struct {
	Name            string
	Seed            uint64
	Zones           int
	Pools           int
	WorkersPerPool  int // workers of each pool
	SlotsPerWorker  int // slots of each worker
	Members         int
	Shares          []fleet.Share // shares of the teams
	DemandFractions []float64     // fraction of the demand that comes from each team; the sum is 1
	MeanDemand      float64       // mean demand on a pool over its slots
	UrgentFraction  float64       // fraction of the requests that is urgent
	PeakDuration    clock.Millis  // duration of one pool's peak
	ArrivalDuration clock.Millis  // time in which requests arrive
	Outage          Outage
	MaxSummaryDelay clock.Millis // maximum time from the publication of a load summary to its delivery
}

// Outage is the time in which the workers of one rack are down. The zero value means no outage.
type Outage struct {
	From, Until clock.Millis
}

const (
	rackSize = 4 // workers
	// listDelay is the time after which the members' instance list shows that a worker is down or up
	// again.
	listDelay clock.Millis = 1_000
	// maxTeamWaiting is the maximum number of waiting requests of a team in a queue of one member.
	maxTeamWaiting = 200
)

// Association returns a scenario of the present size of the Association, one of the users.
func Association(seed uint64) Scenario {
	return Scenario{
		Name: "Association", Seed: seed, Zones: 4, Pools: 5, WorkersPerPool: 10, SlotsPerWorker: 8, Members: 9,
		Shares: []fleet.Share{2500, 2500, 1500, 1500, 1000, 1000}, DemandFractions: []float64{0.30, 0.22, 0.18, 0.12, 0.10, 0.08},
		MeanDemand: 0.4, UrgentFraction: 0.05, PeakDuration: 15_000, ArrivalDuration: 150_000, MaxSummaryDelay: 1_000,
	}
}

// Agency returns a scenario of the present size of the Agency, one of the users. Its peaks are
// assumed to be shorter than those of the Association.
func Agency(seed uint64) Scenario {
	s := Association(seed)
	s.Name, s.Zones, s.PeakDuration = "Agency", 3, 10_000
	s.Shares = []fleet.Share{4000, 2000, 1500, 1000, 1000, 500}
	return s
}

// WithOutage returns the scenario with an outage of one rack, which starts in the middle of the
// first peak and lasts for the time in which each pool has one peak.
func (s Scenario) WithOutage() Scenario {
	round := s.PeakDuration * clock.Millis(s.Pools)
	s.Name += ", rack away"
	s.Outage = Outage{From: s.PeakDuration / 2, Until: s.PeakDuration/2 + round}
	return s
}

// simulatedRequest is one simulated request. Its run time is hidden from the members' scheduling decisions.
type simulatedRequest struct {
	request             caller.Request
	pool                int
	member              int
	team                int
	arrivalIndex        int // in the order of arrival
	runTime             clock.Millis
	worker              int
	attempts            int          // failed attempts since the last start
	startedAt           clock.Millis // time at which it started on a worker
	searchEnd           clock.Millis // time at which the search for a worker ends
	running             bool         // whether it runs on a worker
	unreachableAttempts int          // attempts at workers that were down, since the last start
	retryPause          clock.Millis // pause before the next attempt after a refusal by a guard
	nextAttempt         clock.Millis // time before which no attempt is made
}

// generator generates the requests of a scenario. The same seed gives the same requests under each
// policy.
type generator struct {
	scenario     Scenario
	random       *rand.Rand
	arrivalCount int
	queues       [][2]fleet.Queue // normal and urgent queue of each pool
	teams        []fleet.TeamID
}

func newGenerator(s Scenario) *generator {
	g := &generator{scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1))}
	for pool := range s.Pools {
		normal := fleet.Queue{ID: fleet.QueueID(fmt.Sprint("q", pool)), Pool: poolID(pool), Idempotent: true, MaxWaiting: maxTeamWaiting}
		urgent := normal
		urgent.ID, urgent.Urgent = normal.ID+"-urgent", true
		g.queues = append(g.queues, [2]fleet.Queue{normal, urgent})
	}
	for team := range s.Shares {
		g.teams = append(g.teams, teamID(team))
	}
	return g
}

func poolID(p int) fleet.PoolID { return fleet.PoolID(fmt.Sprint("p", p)) }

func teamID(t int) fleet.TeamID { return fleet.TeamID(fmt.Sprint("team-", t)) }

// meanRunTime returns the mean run time of a pool's requests in milliseconds, before the longest run
// times are limited.
func meanRunTime(pool int) float64 { return 150 + 100*float64(pool%5) }

// arrivalRate returns the mean number of arrivals in a pool in one millisecond.
func (g *generator) arrivalRate(pool int, now float64) float64 {
	factor := 0.05
	if int(now)/int(g.scenario.PeakDuration)%g.scenario.Pools == pool {
		factor = 5
	}
	return factor * g.scenario.MeanDemand * float64(g.scenario.WorkersPerPool*g.scenario.SlotsPerWorker) / meanRunTime(pool)
}

// arrivals returns the requests that arrive in the millisecond before now.
func (g *generator) arrivals(now clock.Millis) []*simulatedRequest {
	var arrived []*simulatedRequest
	for pool := range g.scenario.Pools {
		// The gap to the next arrival is drawn again each millisecond, so that an increase of the rate
		// takes effect at once. Exponential gaps have no memory, so this doesn't change their
		// distribution.
		arrival := float64(now - 1)
		for arrival += g.random.ExpFloat64() / g.arrivalRate(pool, float64(now-1)); arrival < float64(now); arrival += g.random.ExpFloat64() / g.arrivalRate(pool, float64(now-1)) {
			arrived = append(arrived, g.newRequest(pool, now))
		}
	}
	return arrived
}

// newRequest returns a request with a random member, team, run time and deadline.
func (g *generator) newRequest(pool int, now clock.Millis) *simulatedRequest {
	g.arrivalCount++
	j := &simulatedRequest{pool: pool, member: g.random.IntN(g.scenario.Members), arrivalIndex: g.arrivalCount}
	for draw := g.random.Float64(); j.team < len(g.scenario.DemandFractions)-1 && draw >= g.scenario.DemandFractions[j.team]; j.team++ {
		draw -= g.scenario.DemandFractions[j.team]
	}
	mean := meanRunTime(pool)
	j.runTime = clock.Millis(max(20, min(g.random.ExpFloat64(), 4)*mean))
	queue, timeToDeadline := g.queues[pool][0], clock.Millis(1_500+g.random.IntN(4_500))
	if g.random.Float64() < g.scenario.UrgentFraction {
		queue, timeToDeadline = g.queues[pool][1], 5_000
	}
	j.request = caller.Request{Queue: queue, Team: g.teams[j.team], Arrived: now, Deadline: now + timeToDeadline}
	return j
}
