package schedule

import (
	"slices"

	"citronknot/clock"
)

// moveInterval is the time between two searches for places outside of evacuated zones. A search looks at
// all tasks there, and in each pass it would take most of the time of a large pool's passes.
const moveInterval clock.Millis = 50

// fullInterval is the time between two such searches if the first one found tasks and no place for any
// of them.
const fullInterval clock.Millis = 250

// moveOutOfZones stops tasks in evacuated zones that can continue elsewhere: long-running ones within
// the limit of their step, and those with a checkpoint after checkpointedEvictionDelay. A task is
// stopped only if there is a place for it beside all those that were stopped before and have not started
// again. Gangs stay, as a gang can only be stopped whole. Workers that drain are left to [Pool.evict].
func (p *Pool) moveOutOfZones(now clock.Millis) {
	if len(p.evacuated) == 0 || now < p.nextMoves {
		return
	}
	p.nextMoves = now + moveInterval
	workers := p.workersToEmpty()
	if len(workers) == 0 {
		return
	}
	m := mover{pool: p, now: now, notWorking: map[*stepRun]int{}, noPlace: map[*stepRun]bool{}}
	defer m.release()
	p.moving = slices.DeleteFunc(p.moving, func(t *task) bool { return !t.isMoving() })
	for _, t := range p.moving {
		if w := m.findPlace(t); w != nil {
			m.hold(t, w)
		}
	}
	eachMovable(workers, moveLongRunning, now, m.move)
	eachMovable(workers, moveCheckpointed, now, m.move)
	if m.stuck && !m.moved {
		p.nextMoves = now + fullInterval
	}
}

// isMoving reports whether a task that was stopped in an evacuated zone has not started again.
func (t *task) isMoving() bool {
	return t.state == waiting || (t.state == stopping && t.stopReason == StopEvacuated)
}

// moveClass is the class in which a task moves out of an evacuated zone. Long-running tasks are first, as
// they never end there.
type moveClass uint8

const (
	moveLongRunning moveClass = iota
	moveCheckpointed
)

// moveClass returns the class of a task that may move.
func (t *task) moveClass() moveClass {
	if t.step.spec.LongRunning {
		return moveLongRunning
	}
	return moveCheckpointed
}

// workersToEmpty returns the workers of evacuated zones from which tasks may move.
func (p *Pool) workersToEmpty() []*worker {
	var out []*worker
	for _, w := range p.sortedWorkers {
		if w.evacuated && len(w.tasks) > 0 && !w.Draining && w.reachable {
			out = append(out, w)
		}
	}
	return out
}

// eachMovable calls visit for each running task of a class that can continue on other workers.
func eachMovable(workers []*worker, c moveClass, now clock.Millis, visit func(*task)) {
	for _, w := range workers {
		if c == moveCheckpointed && now-w.evacuatedAt <= checkpointedEvictionDelay {
			continue
		}
		for t := range w.tasks {
			movable := c == moveLongRunning || t.canResume()
			if movable && t.state == running && t.moveClass() == c && !t.step.spec.Gang {
				visit(t)
			}
		}
	}
}

// mover finds places for the tasks of evacuated zones in one pass. It holds the places that it has
// found until release, so that no two tasks are moved to one place.
type mover struct {
	pool       *Pool
	now        clock.Millis
	notWorking map[*stepRun]int // tasks of long-running steps that are not confirmed to work
	noPlace    map[*stepRun]bool
	full       [2]noCapacity // by moveClass; cold workers take long-running tasks sooner than others
	held       []heldPlace
	moved      bool // a task was stopped
	stuck      bool // a task was left out, as tasks like it found no place
}

// heldPlace is a place that is held for a task.
type heldPlace struct {
	task *task
	to   *worker
	from *worker // nil if the task waits
}

// maySpare is [stepRun.mayLose], with the count kept for all tasks of the step.
func (m *mover) maySpare(t *task) bool {
	n, ok := m.notWorking[t.step]
	if !ok {
		n = t.step.countNotWorking(nil, m.now)
		m.notWorking[t.step] = n
	}
	if !t.isWorking(m.now) {
		n--
	}
	return n < t.step.maxNotWorking()
}

// move stops a task if it may be stopped and there is a place for it.
func (m *mover) move(t *task) {
	if m.isFull(t) {
		m.stuck = true
		return
	}
	if t.step.spec.LongRunning && !m.maySpare(t) {
		return
	}
	if w := m.findPlace(t); w != nil && m.pool.stop(t, StopEvacuated, m.now) {
		m.moved = true
		m.pool.moving = append(m.pool.moving, t)
		m.hold(t, w)
	}
}

// isFull reports whether a task certainly finds no place.
func (m *mover) isFull(t *task) bool {
	return m.full[t.moveClass()].covers(t.needs()) || m.noPlace[t.step]
}

// findPlace returns the worker that could take a task, or nil.
func (m *mover) findPlace(t *task) *worker {
	if m.isFull(t) {
		return nil
	}
	if t.step.job.policy.Advised {
		m.pool.requestAdvice(t.step, m.now)
	}
	w := m.pool.chooseWorker(t, m.now)
	if w == nil {
		m.noPlace[t.step] = true
		m.full[t.moveClass()].record(&rankedStep{needs: t.needs(), step: t.step})
	}
	return w
}

// hold holds a place for a task. It can't use [worker.reserve] and [worker.release]: a task that is being
// stopped still occupies the worker that it comes from, also as a suspected one.
func (m *mover) hold(t *task, w *worker) {
	delete(m.notWorking, t.step) // is counted again
	m.held = append(m.held, heldPlace{task: t, to: w, from: t.worker})
	w.tasks[t], t.worker = true, w
	w.used = w.used.Add(t.needs())
	w.index.update(w)
}

// release gives up the places that are held.
func (m *mover) release() {
	for _, h := range m.held {
		delete(h.to.tasks, h.task)
		h.task.worker = h.from
		h.to.used = h.to.used.Sub(h.task.needs())
		h.to.index.update(h.to)
	}
}
