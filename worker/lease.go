package worker

import "citronknot/clock"

// DriftPercent is the largest rate, in percent, by which a worker's clock may run slower than
// true time.
const DriftPercent = 2

// lease tracks the lease of all runs on one incarnation of a worker. The lease ends at a time on
// that worker's clock. The zero value is for a worker that has not responded yet.
type lease struct {
	clockKnown  bool
	workerClock clock.Millis // the worker's clock in its newest response
	receivedAt  clock.Millis // local time at which that response arrived
	requestedAt clock.Millis // local time at which that call was sent
	offset      clock.Millis // the local clock less the worker's, at least; see responseTime
	until       clock.Millis // latest end of the lease that was ever sent, on the worker's clock
	extendedAt  clock.Millis // local time of the newest extension
	formerEnd   clock.Millis // see Config.FormerLeasesEnd
	formerLease clock.Millis // longest lease that runs may have at the first response
	strayEnd    clock.Millis // local time by which runs end that a later incarnation has accepted; 0 if there are none
}

// DefaultMaxLease is the longest lease that workers grant, unless Config.MaxLease says otherwise.
const DefaultMaxLease clock.Millis = 10_000

// clockSlack is how much further behind than its rate allows a worker's clock may seem, because times are
// rounded.
const clockSlack clock.Millis = 20

// formerOwnerSlack is how much later than LeaseLength from now a lease can end that the former owner
// extended. That owner computed the worker's clock from a response up to a second old, on a local
// clock that runs faster than the worker's.
const formerOwnerSlack clock.Millis = 200

// observeClock records the worker's clock from the response to a call that was sent at
// requestedAt. At the first response the runs there may still hold a lease that the former owner
// extended just before, so until is set to the latest end of such a lease.
func (l *lease) observeClock(workerClock, requestedAt, now clock.Millis) {
	if offset := requestedAt - workerClock; !l.clockKnown || offset > l.offset {
		l.offset = offset
	}
	if workerClock <= l.workerClock && l.clockKnown {
		return
	}
	if !l.clockKnown {
		l.until = workerClock + max(LeaseLength+formerOwnerSlack, l.formerLease)
	}
	l.clockKnown, l.workerClock, l.receivedAt, l.requestedAt = true, workerClock, now, requestedAt
}

// isStray reports whether a response to a call that was sent at requestedAt comes from another incarnation than
// the former responses: a later one, whose clock has started anew. An answer may overtake others, and it was
// made after its call was sent.
func (l *lease) isStray(workerClock, requestedAt clock.Millis) bool {
	if !l.clockKnown || workerClock == 0 {
		return false
	}
	earliest := l.workerClock + min(requestedAt-l.receivedAt, (requestedAt-l.receivedAt)*(100-DriftPercent)/100)
	return workerClock+clockSlack < earliest
}

// observeStray records that a later incarnation has accepted an order. The end of the lease in an order is
// far ahead on its clock, so that its runs get the longest lease.
func (l *lease) observeStray(maxLease, now clock.Millis) { l.strayEnd = now + MaxElapsed(maxLease) }

// responseTime returns a local time at or after which the worker made a response with the given time on
// its clock. The call was sent at requestedAt and may have been held open. The worker read its clock after
// each call was sent, and its clock is never fast, so the largest difference seen is the closest one.
func (l *lease) responseTime(workerClock, requestedAt clock.Millis) clock.Millis {
	if workerClock == 0 {
		return requestedAt
	}
	return max(requestedAt, workerClock+l.offset)
}

// extend extends the lease to the given length from now and returns its end on the worker's
// clock, or 0 if that clock is unknown. It never shortens the lease.
func (l *lease) extend(length, now clock.Millis) clock.Millis {
	if !l.clockKnown {
		return 0
	}
	l.until = max(l.until, l.workerClock+(now-l.receivedAt)+length)
	l.extendedAt = now
	return l.until
}

// latestEnd returns the local time by which the lease has certainly expired, or 0 if that is
// unknown. When the response arrived, the worker's clock had reached the time in it, and it runs at
// most DriftPercent slow.
func (l *lease) latestEnd() clock.Millis {
	if !l.clockKnown {
		return l.formerEnd
	}
	end := l.receivedAt + MaxElapsed(l.until-l.workerClock)
	if l.strayEnd != 0 {
		end = max(end, l.strayEnd)
	}
	return end
}

// MaxElapsed returns the longest true time in which a worker's clock advances by d.
func MaxElapsed(d clock.Millis) clock.Millis {
	return d*100/(100-DriftPercent) + 1
}
