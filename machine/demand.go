package machine

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// Bounds of a pool's hot times, as parts of an even share of all machines, in percent, and
// the least time of one: a single wide job is none.
const (
	hotPercent               = 40
	coolPercent              = 20
	hotLeast    clock.Millis = 2000
)

// rateSpan is the time over which arrivals are averaged: long enough for some jobs, short
// against the turns of demand.
const rateSpan clock.Millis = 800

// demand follows how much work arrives in a pool, and when it is hot.
type demand struct {
	samples []sample
	rate    int64 // thousandths of cores that the recent arrivals keep busy
	hot     bool
	began   clock.Millis // of the last hot time
	ended   clock.Millis
	ever    bool // was hot for long enough
}

type sample struct {
	at      clock.Millis
	arrived int64
}

// observe takes in a report of a pool; share is an even share of all machines.
func (d *demand) observe(l *PoolLoad, share int64, now clock.Millis) {
	if n := len(d.samples); n > 0 && l.Arrived < d.samples[n-1].arrived {
		d.samples = d.samples[:0] // another owner counts from 0
	}
	d.samples = append(d.samples, sample{at: now, arrived: l.Arrived})
	for len(d.samples) > 2 && now-d.samples[1].at >= rateSpan {
		d.samples = d.samples[1:]
	}
	first := d.samples[0]
	d.rate = 0
	if span := now - first.at; span > 0 {
		d.rate = (l.Arrived - first.arrived) / int64(max(span, rateSpan/2))
	}
	d.turn(max(l.Active, d.rate), share, now)
}

// turn notes when hot times begin and end.
func (d *demand) turn(need, share int64, now clock.Millis) {
	switch {
	case !d.hot && need*100 >= share*hotPercent:
		d.hot, d.began = true, now
	case d.hot && need*100 < share*coolPercent:
		d.hot = false
		if now-d.began >= hotLeast {
			d.ever, d.ended = true, now
		}
	}
}

// recently reports whether a hot time has ended not long ago.
func (d *demand) recently(now clock.Millis) bool {
	return d.ever && !d.hot && now-d.ended < recent
}

// need returns the thousandths of cores that a pool can use now.
func (v *poolView) need() int64 {
	return v.load.Lasting + max(v.load.Active, v.demand.rate)
}

// capacity returns the thousandths of cores of a pool's machines that are to stay there,
// including those on the way to it.
func (p *Planner) capacity(pool fleet.PoolID) int64 {
	if p.staying != nil {
		return p.staying[pool]
	}
	var sum int64
	for _, m := range p.machines {
		if m.heads() == pool && m.State != Down {
			sum += m.Capacity.CPU
		}
	}
	return sum
}

// heads returns the pool that a machine is in or on its way to; a machine that is being emptied
// for a move counts for where it goes.
func (v *view) heads() fleet.PoolID {
	if v.intent != nil && v.intent.Pool != "" {
		return v.intent.Pool
	}
	return v.Pool
}
