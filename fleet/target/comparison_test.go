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
	simFailing = 7 // index of the target that fails all requests after 1 ms
	simSeed    = 20261204
)

// simulatedTime is short by default, because the race detector makes the simulation slow.
var simulatedTime = flag.Duration("simulated", 6*time.Second, "virtual time of each run of TestSelectionComparison")

// selection is one way to select a target for a member. choose returns the index of the target,
// or -1 to let the request wait.
type selection struct {
	name         string
	ignoreHealth bool // no penalty, no ejection
	choose       func(s *sim, m *simMember, load func(int) target.Load) int
}

type simMember struct {
	inFlight   [simTargets]int
	peers      [simTargets]int
	health     [simTargets]target.Health
	budget     target.RetryBudget
	maxRunning int // limit of the member's admission on requests running at once
	waiting    []clock.Millis
	running    int
	subset     []int // targets of the member if each target is used by only one member
}

type simEvent struct {
	at  clock.Millis
	run func()
	seq int
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim simulates members and targets in virtual time.
type sim struct {
	random    *rand.Rand
	now       clock.Millis
	events    simEvents
	lastSeq   int
	members   [simMembers]*simMember
	running   [simTargets]int
	selection selection

	requests, refusals, unretried, toFailing int
	queueTimes                               []float64
}

func (s *sim) schedule(delay clock.Millis, run func()) {
	s.lastSeq++
	heap.Push(&s.events, simEvent{at: s.now + delay, run: run, seq: s.lastSeq})
}

// runTime returns a heavy-tailed run time: Pareto with exponent 1.5 and mean 60 ms, limited to 5 s,
// which lowers the mean to 58 ms.
func (s *sim) runTime() clock.Millis {
	return clock.Millis(min(5000, 20/math.Pow(1-s.random.Float64(), 1/1.5)))
}

func (s *sim) load(m *simMember) func(int) target.Load {
	return func(i int) target.Load {
		load := target.Load{InFlight: m.inFlight[i], PeerInFlight: m.peers[i], Slots: simSlots, OwnSlots: simSlots / simMembers, Limit: simSlots}
		if !s.selection.ignoreHealth {
			h := &m.health[i]
			load.Limit, load.Penalty, load.Ejected = h.Limit(s.now, simSlots), h.Penalty(s.now), h.Ejected(s.now)
		}
		return load
	}
}

// dispatch starts waiting requests while the member's admission and the selection allow it.
func (s *sim) dispatch(m *simMember) {
	for len(m.waiting) > 0 && m.running < m.maxRunning {
		arrived := m.waiting[0]
		index := s.selection.choose(s, m, s.load(m))
		if index < 0 {
			return
		}
		m.waiting = m.waiting[1:]
		m.running++
		s.queueTimes = append(s.queueTimes, float64(s.now-arrived))
		s.startAttempt(m, index, 1)
	}
}

func (s *sim) startAttempt(m *simMember, index, attempt int) {
	m.inFlight[index]++
	duration, refused := s.runTime(), s.running[index] >= simSlots
	switch {
	case index == simFailing:
		duration = 1
		s.toFailing++
	case refused:
		duration = 1
		s.refusals++
	default:
		s.running[index]++
	}
	s.schedule(duration, func() { s.endAttempt(m, index, attempt, refused) })
}

func (s *sim) endAttempt(m *simMember, index, attempt int, refused bool) {
	m.inFlight[index]--
	health := &m.health[index]
	switch {
	case index == simFailing:
		health.RecordFailure(s.now)
		if health.Outlier(0) {
			health.Eject(s.now)
		}
	case refused:
		health.RecordRefusal(s.now)
		if attempt < 3 && m.budget.TakeRetry(s.now, false) {
			if next := s.selection.choose(s, m, s.load(m)); next >= 0 && next != index {
				s.startAttempt(m, next, attempt+1)
				return
			}
		}
		s.unretried++
	default:
		s.running[index]--
		health.RecordSuccess(s.now)
	}
	m.running--
	s.dispatch(m)
}

func (s *sim) scheduleArrival(m *simMember, meanGap float64) {
	s.schedule(clock.Millis(max(0, math.Round(s.random.ExpFloat64()*meanGap))), func() {
		s.requests++
		m.budget.CountRequest(s.now)
		m.waiting = append(m.waiting, s.now)
		s.dispatch(m)
		s.scheduleArrival(m, meanGap)
	})
}

// updatePeers gives each member the in-flight counts of the others, once a second as the members
// do with their summaries.
func (s *sim) updatePeers() {
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
	s.schedule(1000, s.updatePeers)
}

// simulate runs one selection at the given utilization of the pool, from 0 to 1. Member 0
// receives skew times the requests of each other member.
func simulate(sel selection, utilization, skew float64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(simSeed, 1)), selection: sel}
	for k := range s.members {
		s.members[k] = &simMember{maxRunning: simTargets * simSlots / simMembers}
	}
	if skew > 1 { // as admission does while the other members use less than their portions
		s.members[0].maxRunning *= 2
	}
	for i := range simTargets {
		m := s.members[rendezvousMember(i)]
		m.subset = append(m.subset, i)
	}
	s.schedule(0, s.updatePeers)
	meanGap := 58.0 / (utilization * simTargets * simSlots) // 58 ms is the mean run time with the limit of 5 s
	for k, m := range s.members {
		fraction := 1 / (skew + simMembers - 1)
		if k == 0 {
			fraction *= skew
		}
		s.scheduleArrival(m, meanGap/fraction)
	}
	for s.now < clock.MillisOf(*simulatedTime) {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
	return s
}

// rendezvousMember returns the member to which rendezvous hashing assigns a target.
func rendezvousMember(targetIndex int) int {
	best, owner := uint64(0), 0
	for k := range simMembers {
		var key [16]byte
		binary.LittleEndian.PutUint64(key[:8], uint64(targetIndex))
		binary.LittleEndian.PutUint64(key[8:], uint64(k))
		if hash := xxhash.Sum64(key[:]); hash >= best {
			best, owner = hash, k
		}
	}
	return owner
}

func (s *sim) p99() float64 {
	slices.Sort(s.queueTimes)
	return s.queueTimes[len(s.queueTimes)*99/100]
}

// twoChoices selects by target.Choose after adjust has changed the loads.
func twoChoices(adjust func(*target.Load)) func(*sim, *simMember, func(int) target.Load) int {
	return func(s *sim, _ *simMember, load func(int) target.Load) int {
		return target.Choose(simTargets, func(i int) target.Load {
			l := load(i)
			adjust(&l)
			return l
		}, s.random.IntN)
	}
}

// allowBorrowing lets a member use slots beyond its own while less than fraction of the target's
// slots are in use. If notAfterRefusal is set, the penalty must also be below 1.
func allowBorrowing(fraction float64, notAfterRefusal bool) func(*target.Load) {
	return func(l *target.Load) {
		if float64(l.InFlight+l.PeerInFlight) >= fraction*float64(l.Slots) || notAfterRefusal && l.Penalty >= 1 {
			l.Limit = min(l.Limit, l.OwnSlots)
		}
		l.AnySlot = true
	}
}

// chosenSelection is the selection that the package implements.
const chosenSelection = "own slots, borrowing up to 62%, not after a refusal"

var selections = []selection{
	{name: "random, no health", ignoreHealth: true, choose: func(s *sim, _ *simMember, _ func(int) target.Load) int {
		return s.random.IntN(simTargets)
	}},
	{name: "random", choose: func(s *sim, _ *simMember, load func(int) target.Load) int {
		for range simTargets {
			i := s.random.IntN(simTargets)
			if l := load(i); !l.Ejected && l.InFlight < l.Limit {
				return i
			}
		}
		return -1
	}},
	{name: "two choices, own count", choose: twoChoices(func(l *target.Load) { l.PeerInFlight, l.OwnSlots = 0, l.Slots })},
	{name: "two choices, own count and peers", choose: twoChoices(func(l *target.Load) { l.OwnSlots, l.AnySlot = 0, true })},
	{name: "two choices, own slots first", choose: twoChoices(func(l *target.Load) { l.AnySlot = true })},
	{name: "own slots, borrowing up to 75%", choose: twoChoices(allowBorrowing(0.75, false))},
	{name: "own slots, borrowing up to 75%, not after a refusal", choose: twoChoices(allowBorrowing(0.75, true))},
	{name: "own slots, borrowing up to 62%", choose: twoChoices(allowBorrowing(0.62, false))},
	{name: chosenSelection, choose: twoChoices(func(*target.Load) {})},
	{name: "own slots, borrowing up to 50%", choose: twoChoices(allowBorrowing(0.5, false))},
	{name: "own slots, borrowing up to 50%, not after a refusal", choose: twoChoices(allowBorrowing(0.5, true))},
	{name: "own slots, borrowing up to 25%, not after a refusal", choose: twoChoices(allowBorrowing(0.25, true))},
	{name: "own slots only", choose: twoChoices(allowBorrowing(0, false))},
	{name: "disjoint subsets", choose: func(s *sim, m *simMember, load func(int) target.Load) int {
		k := target.Choose(len(m.subset), func(k int) target.Load {
			l := load(m.subset[k])
			l.PeerInFlight, l.OwnSlots = 0, l.Slots
			return l
		}, s.random.IntN)
		if k < 0 {
			return -1
		}
		return m.subset[k]
	}},
}

// TestSelectionComparison makes the comparison in docs/design/target-selection.md; -v prints the
// tables. It guards against a selection that causes many refusals by guards, or that continues
// to use a failing target.
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
				float64(s.refusals)/n, float64(s.unretried)/n, float64(s.toFailing)/n, s.p99())
		}
		test.Less(t, results["random"].refusals/8, results[chosenSelection].refusals)
		test.Less(t, results[chosenSelection].requests/500, results[chosenSelection].toFailing)
	}
}
