package machine

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// Limits of a peak of demand in a pool. The percentages are of an even share of all machines.
const (
	peakStartPercent              = 40   // demand at which a peak begins
	peakEndPercent                = 20   // demand below which a peak ends
	minPeakDuration  clock.Millis = 2000 // a shorter peak does not count: it may be a single wide job
)

// rateWindow is the time over which arrivals are averaged. It is long enough to contain
// several jobs and short compared to the cycle of demand.
const rateWindow clock.Millis = 800

// reportLag is what the reports of a pool and the first poll of a new worker add to the time of a move.
const reportLag clock.Millis = 500

// maxExtrapolated is the multiple of the current rate below which the extrapolation stays. A rate that rises
// from next to nothing says little of where it will end.
const maxExtrapolated = 2

// minGrowthPercent is the part of the current rate, in percent, by which the rate must have risen to be
// extrapolated. Jobs arrive one by one, so that a steady rate varies, too.
const minGrowthPercent = 25

// demand measures the rate of arriving work in a pool and detects peaks of demand.
type demand struct {
	samples   []sample
	rate      int64 // millicores that the recent arrivals keep busy
	growth    int64 // millicores by which rate has risen within the latest rateWindow; negative if it has fallen
	inPeak    bool
	peakStart clock.Millis // of the latest peak
	peakEnd   clock.Millis // of the latest peak that lasted at least minPeakDuration
	hadPeak   bool         // a peak has lasted at least minPeakDuration
}

// sample is the total of arrived work at a time; see schedule.Load.Arrived.
type sample struct {
	at      clock.Millis
	arrived int64
}

// observe processes a pool's report. share is an even share of all machines, in millicores.
func (d *demand) observe(load *PoolLoad, share int64, now clock.Millis) {
	if n := len(d.samples); n > 0 && load.Arrived < d.samples[n-1].arrived {
		d.samples = d.samples[:0] // another owner counts from 0
	}
	d.samples = append(d.samples, sample{at: now, arrived: load.Arrived})
	for len(d.samples) > 2 && now-d.samples[1].at >= 2*rateWindow {
		d.samples = d.samples[1:]
	}
	middle := d.sampleBefore(now - rateWindow)
	d.rate, d.growth = middle.rateUntil(d.samples[len(d.samples)-1]), 0
	if now-d.samples[0].at >= 2*rateWindow { // after a change of owner, what callers sent meanwhile arrives at once
		d.growth = d.rate - d.samples[0].rateUntil(middle)
	}
	d.updatePeak(max(load.Active, d.rate), share, now)
}

// sampleBefore returns the newest sample that is not younger than at, or the oldest one.
func (d *demand) sampleBefore(at clock.Millis) sample {
	for i := len(d.samples) - 1; i > 0; i-- {
		if d.samples[i].at <= at {
			return d.samples[i]
		}
	}
	return d.samples[0]
}

// rateUntil returns the rate at which work arrived between two samples, in millicores. A span that is
// much shorter than rateWindow counts as half of it, so that a single job makes no peak.
func (s sample) rateUntil(later sample) int64 {
	span := later.at - s.at
	if span <= 0 {
		return 0
	}
	return (later.arrived - s.arrived) / int64(max(span, rateWindow/2))
}

// rateIn returns the rate to expect after a time, in millicores: a rate that rises goes on rising.
func (d *demand) rateIn(lead clock.Millis) int64 {
	if d.growth*100 <= d.rate*minGrowthPercent || lead <= 0 {
		return d.rate
	}
	return min(d.rate+d.growth*int64(lead)/int64(rateWindow), maxExtrapolated*d.rate)
}

// updatePeak records the beginning and the end of a peak. need and share are in millicores.
func (d *demand) updatePeak(need, share int64, now clock.Millis) {
	switch {
	case !d.inPeak && need*100 >= share*peakStartPercent:
		d.inPeak, d.peakStart = true, now
	case d.inPeak && need*100 < share*peakEndPercent:
		d.inPeak = false
		if now-d.peakStart >= minPeakDuration {
			d.hadPeak, d.peakEnd = true, now
		}
	}
}

// peakEndedRecently reports whether the pool is not in a peak and its latest peak ended less than
// recentPeak ago.
func (d *demand) peakEndedRecently(now clock.Millis) bool {
	return d.hadPeak && !d.inPeak && now-d.peakEnd < recentPeak
}

// need returns the capacity that a pool can use when machines that are ordered now arrive, in millicores.
func (p *Planner) need(t *trackedPool) int64 {
	lead := clock.Millis(0)
	if p.MoveTime > 0 {
		lead = p.MoveTime + reportLag
	}
	return t.load.LongRunning + max(t.load.Active, t.demand.rateIn(lead))
}

// capacity returns the capacity of the machines that are to stay in a pool or are on the way
// to it, in millicores.
func (p *Planner) capacity(pool fleet.PoolID) int64 {
	if p.plannedCapacity != nil {
		return p.plannedCapacity[pool]
	}
	var sum int64
	for _, m := range p.machines {
		if m.destination() == pool && p.counts(m) {
			sum += m.Capacity.CPU
		}
	}
	return sum
}

// destination returns the pool that a machine is in or is to move to. A machine that is
// drained for a move counts for the pool it is to move to.
func (m *trackedMachine) destination() fleet.PoolID {
	if m.intent != nil && m.intent.Pool != "" {
		return m.intent.Pool
	}
	return m.Pool
}
