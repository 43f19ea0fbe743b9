package experiment

import (
	"cmp"
	"math"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// settleTime is the time after a pool became full in which shares are not measured yet.
	settleTime clock.Millis = 5_000
	// maxNotFull is the time that a pool may be not full within a full period, so that single slots
	// that are free for a moment don't end the period.
	maxNotFull clock.Millis = 200
	// fullFraction is the fraction of the slots in use from which a pool counts as full.
	fullFraction float64 = 0.95
	// minWindow is the minimum time of a full period after settleTime for which figures are recorded.
	minWindow clock.Millis = 2_000
	// minExcessFactor is the minimum ratio of a team's demand to its share for which the team is
	// measured. A team with less demand gets what it demands, and the limits of the window cut its
	// requests at random times, so its figure would be random, too.
	minExcessFactor float64 = 1.1
)

// shareMeter measures how far the use of one pool by teams is from their shares while the pool is
// full. The window of a full period is the period without its first settleTime. Slot time is the
// number of slots times milliseconds.
type shareMeter struct {
	shares         []fleet.Share
	fullSince      clock.Millis // start of the full period; negative outside one
	lastFull       clock.Millis // last millisecond in which the pool was full
	usedSlotTime   []float64    // slot time in the window, by team
	demandSlotTime []float64    // run times of requests that waited at its start or arrived in it, by team
	shareErrors    []float64    // see ShareErrors; for each window and team
	usedFractions  []float64    // fraction of the slot time that was used, for each window
	slotTime       float64      // slot time of all workers that were up in the window

	grantedSlotTime  float64   // slot time that members were allowed to use in the window
	grantedFractions []float64 // grantedSlotTime over slotTime, for each window
}

func newShareMeter(shares []fleet.Share) *shareMeter {
	return &shareMeter{shares: shares, fullSince: -1, usedSlotTime: make([]float64, len(shares)), demandSlotTime: make([]float64, len(shares))}
}

// addDemand adds the run time of a request to its team's demand.
func (m *shareMeter) addDemand(j *simulatedRequest) { m.demandSlotTime[j.team] += float64(j.runTime) }

// addMillisecond adds one millisecond. A pool is full if the requests that run or wait would fill
// its slots, or if nearly all slots are in use. The function waiting returns the sum of the waiting
// requests' run times, by team.
func (m *shareMeter) addMillisecond(now clock.Millis, running []int, slots, queued int, waiting func() []float64) {
	busy := 0
	for _, n := range running {
		busy += n
	}
	if busy+queued >= slots || float64(busy) >= fullFraction*float64(slots) {
		m.lastFull = now
		if m.fullSince < 0 {
			m.fullSince = now
		}
	}
	if m.fullSince < 0 {
		return
	}
	if now-m.lastFull > maxNotFull {
		m.endPeriod()
		return
	}
	if now == m.fullSince+settleTime {
		clear(m.usedSlotTime)
		m.slotTime, m.grantedSlotTime = 0, 0
		m.demandSlotTime = waiting()
	}
	m.slotTime += float64(slots)
	for team, n := range running {
		m.usedSlotTime[team] += float64(n)
	}
}

// addGranted adds the slots that the members may use for one millisecond.
func (m *shareMeter) addGranted(now clock.Millis, slots int) {
	if m.fullSince >= 0 && now > m.fullSince+settleTime {
		m.grantedSlotTime += float64(slots)
	}
}

// endPeriod ends a full period and records its figures if it was long enough.
func (m *shareMeter) endPeriod() {
	if m.fullSince >= 0 && m.lastFull-m.fullSince >= settleTime+minWindow {
		m.shareErrors = append(m.shareErrors, ShareErrors(m.usedSlotTime, m.demandSlotTime, m.shares)...)
		used := 0.0
		for _, n := range m.usedSlotTime {
			used += n
		}
		m.usedFractions = append(m.usedFractions, used/m.slotTime)
		m.grantedFractions = append(m.grantedFractions, m.grantedSlotTime/m.slotTime)
	}
	m.fullSince = -1
}

// ShareErrors returns for each team that demanded more slot time than its share the relative
// difference between the slot time that it used and its share, for example 0.1 for 10% more or
// less. The slot time that teams with less demand leave is divided among the others by share. The
// order of the result is that of the demand over the share.
func ShareErrors(used, demand []float64, shares []fleet.Share) []float64 {
	remaining, weights := 0.0, 0.0
	order := make([]int, len(used))
	for team := range used {
		order[team] = team
		remaining += used[team]
		weights += float64(shares[team])
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demand[a]/float64(shares[a]), demand[b]/float64(shares[b]))
	})
	var shareErrors []float64
	for _, team := range order {
		fairSlotTime := remaining * float64(shares[team]) / weights
		if demand[team] >= minExcessFactor*fairSlotTime {
			shareErrors = append(shareErrors, math.Abs(used[team]/fairSlotTime-1))
		}
		remaining -= min(demand[team], fairSlotTime)
		weights -= float64(shares[team])
	}
	return shareErrors
}
