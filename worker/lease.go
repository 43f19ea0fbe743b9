package worker

import "citronknot/clock"

// DriftPercent bounds how much slower than true time a worker's clock may run.
const DriftPercent = 2

// lease tracks the lease of all that runs on one incarnation of a worker, on that worker's
// clock. The zero value has heard nothing yet.
type lease struct {
	heard  bool
	clock  clock.Millis // the worker's clock as last told
	at     clock.Millis // own time at which that answer arrived
	asked  clock.Millis // own time at which that call was sent
	until  clock.Millis // highest end of the lease ever sent
	sentAt clock.Millis // own time of the newest extension
}

// formerSlack is how much further than a lease's length from now a predecessor's extension can
// reach: it computed the worker's clock from an answer of a second before, on a clock that runs
// faster than the worker's.
const formerSlack clock.Millis = 200

// hear takes in the worker's clock from an answer to a call sent at asked. After the first
// answer what runs there may still hold a lease that a predecessor extended just before.
func (l *lease) hear(c, asked, now clock.Millis) {
	if c <= l.clock && l.heard {
		return
	}
	if !l.heard {
		l.until = c + LeaseLength + formerSlack
	}
	l.heard, l.clock, l.at, l.asked = true, c, now, asked
}

// extend returns the end of a lease of the given length from now. It never shortens.
func (l *lease) extend(length, now clock.Millis) clock.Millis {
	if !l.heard {
		return 0
	}
	l.until = max(l.until, l.clock+(now-l.at)+length)
	l.sentAt = now
	return l.until
}

// endsBy returns the own time by which the lease has certainly ended: the worker's clock had
// reached what it told when the answer arrived, and runs slow by at most the drift.
func (l *lease) endsBy() clock.Millis {
	if !l.heard || l.until == 0 {
		return 0
	}
	return l.at + Stretch(l.until-l.clock)
}

// Stretch returns the longest true time in which a worker's clock advances by d.
func Stretch(d clock.Millis) clock.Millis {
	return d*100/(100-DriftPercent) + 1
}
