package experiment

import (
	"cmp"
	"math"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// settle is the time after a pool became full in which shares are not measured.
	settle clock.Millis = 5_000
	// notFullFor ends a full period. Single slots that are free for a moment do not.
	notFullFor clock.Millis = 200
	fullPart   float64      = 0.95
	// leastWindow is the shortest full period after settle that gives a figure.
	leastWindow clock.Millis = 2_000
	// aboveLevel is by how much a team's demand has to exceed its share to be measured: a team
	// near or below its share gets its demand, whose edges a window cuts at random.
	aboveLevel float64 = 1.1
)

// shareMeter measures how far teams are from their shares of one pool while it is full.
type shareMeter struct {
	shares []fleet.Share
	since  clock.Millis // the pool became full; negative while it is not
	last   clock.Millis // the pool was last seen full
	used   []float64    // slot time in the window
	demand []float64    // slot time that waited at its start or arrived in it
	errors []float64    // one figure for each team and window
	inUse  []float64    // part of the slots that was in use, one figure for each window
	slots  float64      // slot time that there was in the window

	granting float64   // slot time that members were granted in the window
	granted  []float64 // over the slot time that there was, one figure for each window
}

func newShareMeter(shares []fleet.Share) *shareMeter {
	return &shareMeter{shares: shares, since: -1, used: make([]float64, len(shares)), demand: make([]float64, len(shares))}
}

// arrive counts the demand of a request.
func (m *shareMeter) arrive(j *job) { m.demand[j.team] += float64(j.run) }

// step counts one millisecond. A pool is full if the requests that run and wait would fill its
// slots, or if nearly all slots are in use. waiting returns the run times that wait, by team.
func (m *shareMeter) step(now clock.Millis, running []int, slots, queued int, waiting func() []float64) {
	busy := 0
	for _, n := range running {
		busy += n
	}
	if busy+queued >= slots || float64(busy) >= fullPart*float64(slots) {
		m.last = now
		if m.since < 0 {
			m.since = now
		}
	}
	if m.since < 0 {
		return
	}
	if now-m.last > notFullFor {
		m.finish()
		return
	}
	if now == m.since+settle {
		clear(m.used)
		m.slots, m.granting = 0, 0
		m.demand = waiting()
	}
	m.slots += float64(slots)
	for t, n := range running {
		m.used[t] += float64(n)
	}
}

// grant counts the slots that the members may fill for one millisecond.
func (m *shareMeter) grant(now clock.Millis, slots int) {
	if m.since >= 0 && now > m.since+settle {
		m.granting += float64(slots)
	}
}

// finish ends a full period and notes its figures.
func (m *shareMeter) finish() {
	if m.since >= 0 && m.last-m.since >= settle+leastWindow {
		m.errors = append(m.errors, ShareErrors(m.used, m.demand, m.shares)...)
		used := 0.0
		for _, n := range m.used {
			used += n
		}
		m.inUse = append(m.inUse, used/m.slots)
		m.granted = append(m.granted, m.granting/m.slots)
	}
	m.since = -1
}

// ShareErrors returns the distance from its share of each team that demanded more. What teams
// with less demand leave is divided among the others by share.
func ShareErrors(used, demand []float64, shares []fleet.Share) []float64 {
	left, weights := 0.0, 0.0
	order := make([]int, len(used))
	for t := range used {
		order[t] = t
		left += used[t]
		weights += float64(shares[t])
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demand[a]/float64(shares[a]), demand[b]/float64(shares[b]))
	})
	var out []float64
	for _, t := range order {
		level := left * float64(shares[t]) / weights
		if demand[t] >= aboveLevel*level {
			out = append(out, math.Abs(used[t]/level-1))
		}
		left -= min(demand[t], level)
		weights -= float64(shares[t])
	}
	return out
}
