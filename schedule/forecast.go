package schedule

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/job"
	"citronknot/schedule/locality"
)

// rackForecast is what capacity is expected to become free on the workers of a rack. It belongs to one
// scheduling pass. Tasks that wait for the rack reserve their place in it, so that those behind them
// are told of the places that are left.
type rackForecast struct {
	workers []*workerForecast
	waiting int // tasks that have reserved a place
}

// workerForecast is what capacity is expected to become free on a worker.
type workerForecast struct {
	worker *worker
	free   job.Resources
	from   clock.Millis   // no starts for this long
	steps  []capacityStep // by time
	taken  []*stepRun     // steps whose tasks have reserved a place, one entry for each
	// earliest is the result of find for needs; it is valid unless stale.
	earliest clock.Millis
	needs    job.Resources
	stale    bool
}

// capacityStep is a change of a worker's free capacity.
type capacityStep struct {
	in     clock.Millis // from now
	change job.Resources
}

// newRackForecast returns the forecast for those of the workers of a rack that may take tasks.
func (p *Pool) newRackForecast(rack []*worker, now clock.Millis) *rackForecast {
	f := &rackForecast{}
	for _, w := range rack {
		if !w.isUsable(now) || w.trial != nil {
			continue
		}
		wf := &workerForecast{worker: w, free: w.free(), from: max(0, w.fullUntil-now), stale: true, steps: make([]capacityStep, 0, len(w.tasks)+8)}
		for t := range w.tasks {
			if !t.step.spec.LongRunning {
				wf.steps = append(wf.steps, capacityStep{in: p.remainingTime(t, now), change: t.needs()})
			}
		}
		slices.SortFunc(wf.steps, func(a, b capacityStep) int { return cmp.Compare(a.in, b.in) })
		f.workers = append(f.workers, wf)
	}
	return f
}

// find returns when the worker is expected to have the needed capacity from then on, or
// locality.Never.
func (f *workerForecast) find(needs job.Resources) clock.Millis {
	if !f.stale && needs == f.needs {
		return f.earliest
	}
	f.stale, f.needs, f.earliest = false, needs, locality.Never
	free := f.free
	for _, s := range f.steps {
		free = free.Add(s.change)
	}
	for i := len(f.steps); needs.Fits(free); i-- {
		if i == 0 {
			f.earliest = f.from
			break
		}
		f.earliest = max(f.from, f.steps[i-1].in)
		free = free.Sub(f.steps[i-1].change)
	}
	return f.earliest
}

// reserve records that a waiting task of a step is to occupy the worker from a time on until it ends.
func (f *workerForecast) reserve(s *stepRun, in, end clock.Millis) {
	f.taken = append(f.taken, s)
	f.occupy(s.tasks[0].needs(), in, end)
}

// occupy records that the needed capacity is not free from a time on until another one.
func (f *workerForecast) occupy(needs job.Resources, in, end clock.Millis) {
	f.stale = true
	f.insert(capacityStep{in: in, change: job.Resources{}.Sub(needs)})
	f.insert(capacityStep{in: end, change: needs})
}

// insert adds a step after those at its time.
func (f *workerForecast) insert(s capacityStep) {
	i, _ := slices.BinarySearchFunc(f.steps, s.in, func(o capacityStep, in clock.Millis) int {
		if o.in <= in {
			return -1
		}
		return 1
	})
	f.steps = slices.Insert(f.steps, i, s)
}

// find returns the worker that is expected to have the needed capacity first, and when; or nil and
// locality.Never.
func (f *rackForecast) find(needs job.Resources, allowed func(*workerForecast) bool) (*workerForecast, clock.Millis) {
	var first *workerForecast
	in := locality.Never
	for _, wf := range f.workers {
		if !allowed(wf) {
			continue
		}
		if at := wf.find(needs); at >= 0 && (first == nil || at < in) {
			first, in = wf, at
		}
	}
	return first, in
}

// clone returns a copy of the forecast that can be changed independently.
func (f *rackForecast) clone() *rackForecast {
	c := &rackForecast{waiting: f.waiting}
	for _, wf := range f.workers {
		other := *wf
		other.steps, other.taken = slices.Clone(wf.steps), slices.Clone(wf.taken)
		c.workers = append(c.workers, &other)
	}
	return c
}
