package locality

import "citronknot/clock"

// MaxWait is the longest time that a task waits for a near place. The ends of runs that are expected
// later than this are too uncertain: one run of thirty takes seven times as long as the others.
const MaxWait clock.Millis = 10_000

// Never is the value of Choice.Expected if no near place is expected to become free.
const Never clock.Millis = -1

const (
	// riskPercent is what an expected wait counts for when a wait is to begin. Expected ends are off
	// in both directions, but a wait that turns out shorter saves less than a longer one costs.
	riskPercent = 150
	// overrunPercent is how long a wait that has begun may take in all, in percent of the time that it
	// saves. What was waited is lost in any case, so a place that is due soon is worth more waiting. A
	// limit is needed nevertheless, since other tasks may take each place that becomes free.
	overrunPercent = 150
)

// Choice is what a decision depends on.
type Choice struct {
	Run       clock.Millis // expected run time at a near place
	FarFactor float64      // a far run takes this many times as long; 0 if unknown
	Expected  clock.Millis // expected time until a near place is free, behind the tasks that wait for one already; or Never
	Slack     clock.Millis // how much later a near run can start and still meet the job's objective
	Begun     bool         // the task waits for a near place already
	Waited    clock.Millis // for how long
	Contended bool         // others could use the capacity that a longer run takes
}

// Reason is why a task does not wait.
type Reason string

// The reasons for which a task does not wait.
const (
	UnknownFactor Reason = "unknown_factor" // how much a near place saves is not known, or it saves nothing
	NoPlace       Reason = "no_place"       // no near place is expected to become free
	NoSlack       Reason = "no_slack"       // the wait would take more than the job's slack
	TooLong       Reason = "too_long"       // the wait would take more than MaxWait
	DoesNotPay    Reason = "does_not_pay"   // the wait would take too much of the time that it saves
)

// Decision is whether a task waits for a near place.
type Decision struct {
	Wait   bool
	Limit  clock.Millis // if it waits, for how much longer at most
	Reason Reason       // if it does not wait
}

// Saved returns by how much a far run is longer than a near one.
func (c Choice) Saved() clock.Millis {
	if c.FarFactor <= 1 {
		return 0
	}
	return clock.Millis((c.FarFactor - 1) * float64(c.Run))
}

// Decide decides whether a task waits. A task waits only if a near place is expected within the time
// that a near run saves, within the job's slack and within MaxWait.
func Decide(c Choice) Decision {
	saved := c.Saved()
	inAll := saved // bound on the whole wait
	if c.Begun {
		inAll = saved * overrunPercent / 100
	}
	switch {
	case saved <= 0:
		return Decision{Reason: UnknownFactor}
	case c.Expected < 0:
		return Decision{Reason: NoPlace}
	case c.Expected >= c.Slack:
		return Decision{Reason: NoSlack}
	case c.Waited+c.Expected >= MaxWait:
		return Decision{Reason: TooLong}
	case c.Expected >= saved || c.Waited+c.Expected >= inAll || (!c.Begun && c.cost() >= c.gain()):
		return Decision{Reason: DoesNotPay}
	}
	return Decision{Wait: true, Limit: min(c.Slack, MaxWait-c.Waited, saved*overrunPercent/100-c.Waited)}
}

// cost returns what the expected wait counts for.
func (c Choice) cost() clock.Millis { return c.Expected * riskPercent / 100 }

// gain returns what a near place is worth. In a full pool, the capacity that the longer run takes is
// lost to others for as long as the run itself is delayed.
func (c Choice) gain() clock.Millis {
	if c.Contended {
		return 2 * c.Saved()
	}
	return c.Saved()
}
