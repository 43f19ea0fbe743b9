package caller

import "citronknot/clock"

const (
	// runTimeBlockSize is the number of run times in one block. The estimate covers two blocks.
	runTimeBlockSize = 64
	// minRunTimes is the number of run times that an estimate needs.
	minRunTimes = 8
	// maxRunTimeBlockAge is the age at which a block ends even if it is not full.
	maxRunTimeBlockAge clock.Millis = 5_000
	// maxRunTimeAge is the age of the newest run time from which there is no estimate. Without
	// this limit, early refusals would prevent the very runs that show that targets have become
	// faster.
	maxRunTimeAge clock.Millis = 10_000
)

// runTimes estimates how long a request runs from the run times of recent requests. It does not
// use the figures that callers give, because they are far off. The zero value has no run times.
type runTimes struct {
	current, previous struct {
		count    int
		shortest clock.Millis
		sum      clock.Millis
	}
	blockStart clock.Millis // start of the current block
	newest     clock.Millis // time at which the newest run time was added
}

func (t *runTimes) add(now, run clock.Millis) {
	if t.current.count >= runTimeBlockSize || t.current.count > 0 && now-t.blockStart > maxRunTimeBlockAge {
		t.previous = t.current
		t.current.count, t.current.sum = 0, 0
	}
	if t.current.count == 0 {
		t.blockStart = now
		t.current.shortest = run
	}
	t.current.count++
	t.current.shortest = min(t.current.shortest, run)
	t.current.sum += run
	t.newest = now
}

// shortest returns the shortest recent run time. ok is false without enough recent run times.
func (t *runTimes) shortest(now clock.Millis) (run clock.Millis, ok bool) {
	if t.current.count+t.previous.count < minRunTimes || now-t.newest > maxRunTimeAge {
		return 0, false
	}
	run = t.current.shortest
	if t.previous.count > 0 {
		run = min(run, t.previous.shortest)
	}
	return run, true
}

// mean returns the mean of the recent run times. ok is false without enough recent run times.
func (t *runTimes) mean(now clock.Millis) (run clock.Millis, ok bool) {
	if _, ok := t.shortest(now); !ok {
		return 0, false
	}
	return (t.current.sum + t.previous.sum) / clock.Millis(t.current.count+t.previous.count), true
}
