package target_test

import (
	"container/heap"
	"encoding/binary"
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test"

	"citronknot/clock"
	"citronknot/fleet/target"
)

const (
	simMembers = 8
	simTargets = 50
	simSlots   = 8
	simFailing = 7 // the target that fails everything at once
	simSeed    = 20261204
)

// simulated is short by default, because the race detector makes the simulation slow.
var simulated = flag.Duration("simulated", 6*time.Second, "virtual time of each run of TestSelectionComparison")

// selection is one way to select a target for a member; it returns -1 to let the request wait.
type selection struct {
	name  string
	blind bool // without penalty and ejection
	pick  func(s *sim, m *simMember, load func(int) target.Load) int
}

type simMember struct {
	inFlight [simTargets]int
	peers    [simTargets]int
	health   [simTargets]target.Health
	budget   target.RetryBudget
	most     int // requests that admission lets run at once
	waiting  []clock.Millis
	running  int
	subset   []int
}

type simEvent struct {
	at   clock.Millis
	do   func()
	rank int
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].rank < e[j].rank
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim runs members and targets under virtual time.
type sim struct {
	random    *rand.Rand
	now       clock.Millis
	events    simEvents
	rank      int
	members   [simMembers]*simMember
	running   [simTargets]int
	selection selection

	requests, refusals, lost, failing int
	queued                            []float64
}

func (s *sim) after(d clock.Millis, do func()) {
	s.rank++
	heap.Push(&s.events, simEvent{at: s.now + d, do: do, rank: s.rank})
}

// runTime is heavy-tailed: Pareto with exponent 1.5, mean 60 ms, at most 5 s.
func (s *sim) runTime() clock.Millis {
	return clock.Millis(min(5000, 20/math.Pow(1-s.random.Float64(), 1/1.5)))
}

func (s *sim) load(m *simMember) func(int) target.Load {
	return func(i int) target.Load {
		l := target.Load{InFlight: m.inFlight[i], Peers: m.peers[i], Slots: simSlots, Part: simSlots / simMembers, Limit: simSlots}
		if !s.selection.blind {
			h := &m.health[i]
			l.Limit, l.Penalty, l.Ejected = h.Limit(s.now, simSlots), h.Penalty(s.now), h.Ejected(s.now)
		}
		return l
	}
}

// dispatch starts waiting requests while the member's part of the pool's slots is not full.
func (s *sim) dispatch(m *simMember) {
	for len(m.waiting) > 0 && m.running < m.most {
		arrived := m.waiting[0]
		i := s.selection.pick(s, m, s.load(m))
		if i < 0 {
			return
		}
		m.waiting = m.waiting[1:]
		m.running++
		s.queued = append(s.queued, float64(s.now-arrived))
		s.try(m, i, 1)
	}
}

func (s *sim) try(m *simMember, i, attempt int) {
	m.inFlight[i]++
	took, refused := s.runTime(), s.running[i] >= simSlots
	switch {
	case i == simFailing:
		took = 1
		s.failing++
	case refused:
		took = 1
		s.refusals++
	default:
		s.running[i]++
	}
	s.after(took, func() { s.finish(m, i, attempt, refused) })
}

func (s *sim) finish(m *simMember, i, attempt int, refused bool) {
	m.inFlight[i]--
	h := &m.health[i]
	switch {
	case i == simFailing:
		h.Failed(s.now)
		if h.Outlier(0) {
			h.Eject(s.now)
		}
	case refused:
		h.Refused(s.now)
		if attempt < 3 && m.budget.Retry(s.now, false) {
			if k := s.selection.pick(s, m, s.load(m)); k >= 0 && k != i {
				s.try(m, k, attempt+1)
				return
			}
		}
		s.lost++
	default:
		s.running[i]--
		h.Succeeded(s.now)
	}
	m.running--
	s.dispatch(m)
}

func (s *sim) arrive(m *simMember, gap float64) {
	s.after(clock.Millis(max(0, math.Round(s.random.ExpFloat64()*gap))), func() {
		s.requests++
		m.budget.Request(s.now)
		m.waiting = append(m.waiting, s.now)
		s.dispatch(m)
		s.arrive(m, gap)
	})
}

// summaries delivers the in-flight counts of the other members, each second as in the vector
// exchange.
func (s *sim) summaries() {
	for _, m := range s.members {
		m.peers = [simTargets]int{}
		for _, o := range s.members {
			for i := range m.peers {
				if o != m {
					m.peers[i] += o.inFlight[i]
				}
			}
		}
	}
	s.after(1000, s.summaries)
}

// simulate runs one selection at a part of the pool's capacity. Member 0 gets skew times the
// requests of each other member.
func simulate(sel selection, utilization, skew float64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(simSeed, 1)), selection: sel}
	for k := range s.members {
		s.members[k] = &simMember{most: simTargets * simSlots / simMembers}
	}
	if skew > 1 { // admission that knows that the other members are less busy
		s.members[0].most *= 2
	}
	for i := range simTargets {
		m := s.members[rendezvous(i)]
		m.subset = append(m.subset, i)
	}
	s.after(0, s.summaries)
	gap := 58.0 / (utilization * simTargets * simSlots) // mean run time with the bound of 5 s
	for k, m := range s.members {
		part := 1 / (skew + simMembers - 1)
		if k == 0 {
			part *= skew
		}
		s.arrive(m, gap/part)
	}
	for s.now < clock.Of(*simulated) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

func rendezvous(i int) int {
	best, owner := uint64(0), 0
	for k := range simMembers {
		var b [16]byte
		binary.LittleEndian.PutUint64(b[:8], uint64(i))
		binary.LittleEndian.PutUint64(b[8:], uint64(k))
		if h := xxhash.Sum64(b[:]); h >= best {
			best, owner = h, k
		}
	}
	return owner
}

func (s *sim) p99() float64 {
	slices.Sort(s.queued)
	return s.queued[len(s.queued)*99/100]
}

// twoBy is two random choices with another view of the load.
func twoBy(change func(*target.Load)) func(*sim, *simMember, func(int) target.Load) int {
	return func(s *sim, _ *simMember, load func(int) target.Load) int {
		return target.Choose(simTargets, func(i int) target.Load {
			l := load(i)
			change(&l)
			return l
		}, s.random.IntN)
	}
}

// borrow lets a member use slots beyond its part while a part of the target is in use.
func borrow(part float64, notRefused bool) func(*target.Load) {
	return func(l *target.Load) {
		if float64(l.InFlight+l.Peers) >= part*float64(l.Slots) || notRefused && l.Penalty >= 1 {
			l.Limit = min(l.Limit, l.Part)
		}
		l.Shared = true
	}
}

const kept = "own part, borrowing up to 62%, not after a refusal"

var selections = []selection{
	{name: "random, no health", blind: true, pick: func(s *sim, _ *simMember, _ func(int) target.Load) int {
		return s.random.IntN(simTargets)
	}},
	{name: "random", pick: func(s *sim, _ *simMember, load func(int) target.Load) int {
		for range simTargets {
			i := s.random.IntN(simTargets)
			if l := load(i); !l.Ejected && l.InFlight < l.Limit {
				return i
			}
		}
		return -1
	}},
	{name: "two choices, own count", pick: twoBy(func(l *target.Load) { l.Peers, l.Part = 0, l.Slots })},
	{name: "two choices, own count and peers", pick: twoBy(func(l *target.Load) { l.Part, l.Shared = 0, true })},
	{name: "two choices, own part first", pick: twoBy(func(l *target.Load) { l.Shared = true })},
	{name: "own part, borrowing up to 75%", pick: twoBy(borrow(0.75, false))},
	{name: "own part, borrowing up to 75%, not after a refusal", pick: twoBy(borrow(0.75, true))},
	{name: "own part, borrowing up to 62%", pick: twoBy(borrow(0.62, false))},
	{name: kept, pick: twoBy(func(*target.Load) {})},
	{name: "own part, borrowing up to 50%", pick: twoBy(borrow(0.5, false))},
	{name: "own part, borrowing up to 50%, not after a refusal", pick: twoBy(borrow(0.5, true))},
	{name: "own part, borrowing up to 25%, not after a refusal", pick: twoBy(borrow(0.25, true))},
	{name: "own part only", pick: twoBy(borrow(0, false))},
	{name: "disjoint subsets", pick: func(s *sim, m *simMember, load func(int) target.Load) int {
		k := target.Choose(len(m.subset), func(k int) target.Load {
			l := load(m.subset[k])
			l.Peers, l.Part = 0, l.Slots
			return l
		}, s.random.IntN)
		if k < 0 {
			return -1
		}
		return m.subset[k]
	}},
}

// The comparison of docs/design/target-selection.md; run with -v to see the tables. It guards
// against a selection that brings back guard refusals, or that keeps using a target that fails.
func TestSelectionComparison(t *testing.T) {
	for _, c := range []struct {
		name              string
		utilization, skew float64
	}{
		{"even, 60%", 0.6, 1},
		{"even, 85%", 0.85, 1},
		{"skewed, 60%", 0.6, 2.5},
	} {
		t.Logf("| %s | refusals | lost | at the failing target | p99 of queueing, ms |", c.name)
		t.Log("|---|---|---|---|---|")
		results := map[string]*sim{}
		for _, sel := range selections {
			s := simulate(sel, c.utilization, c.skew)
			results[sel.name] = s
			n := float64(s.requests) / 100
			t.Logf("| %s | %.2f%% | %.3f%% | %.2f%% | %.0f |", sel.name,
				float64(s.refusals)/n, float64(s.lost)/n, float64(s.failing)/n, s.p99())
		}
		test.Less(t, results["random"].refusals/8, results[kept].refusals)
		test.Less(t, results[kept].requests/500, results[kept].failing)
	}
}
