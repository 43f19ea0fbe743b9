package caller

import "citronknot/clock"

const (
	// runTimeBlock is the number of run times in one block; the estimate covers two blocks.
	runTimeBlock = 64
	// runTimeEvidence is the number of run times without which nothing is estimated.
	runTimeEvidence = 8
	// runTimeBlockAge ends a block that fills slowly.
	runTimeBlockAge clock.Millis = 5_000
	// runTimeMaxAge ends the use of old run times. Without it, early refusals would keep away
	// the very runs that show that targets have become faster.
	runTimeMaxAge clock.Millis = 10_000
)

// runTimes estimates the time that a request runs from what was seen. Callers' own
// figures are far off and are not used. The zero value has seen nothing.
type runTimes struct {
	current, previous struct {
		count int
		least clock.Millis
		sum   clock.Millis
	}
	since clock.Millis // start of the current block
	last  clock.Millis // newest run time
}

func (t *runTimes) add(now, run clock.Millis) {
	if t.current.count >= runTimeBlock || t.current.count > 0 && now-t.since > runTimeBlockAge {
		t.previous = t.current
		t.current.count, t.current.sum = 0, 0
	}
	if t.current.count == 0 {
		t.since = now
		t.current.least = run
	}
	t.current.count++
	t.current.least = min(t.current.least, run)
	t.current.sum += run
	t.last = now
}

// least returns the least run time seen lately. ok is false without enough evidence.
func (t *runTimes) least(now clock.Millis) (run clock.Millis, ok bool) {
	if t.current.count+t.previous.count < runTimeEvidence || now-t.last > runTimeMaxAge {
		return 0, false
	}
	run = t.current.least
	if t.previous.count > 0 {
		run = min(run, t.previous.least)
	}
	return run, true
}

// mean returns the mean run time seen lately. ok is false without enough evidence.
func (t *runTimes) mean(now clock.Millis) (run clock.Millis, ok bool) {
	if _, ok := t.least(now); !ok {
		return 0, false
	}
	return (t.current.sum + t.previous.sum) / clock.Millis(t.current.count+t.previous.count), true
}
