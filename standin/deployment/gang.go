package deployment

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Gangs lets tasks that run on several workers work together, as the tasks of a gang do. The workers of a
// deployment share one. A run of a gang begins once all of its members are present, and they end together; a
// member that has waited for the others for Wait ends alone.
type Gangs struct {
	Wait   time.Duration // how long a member waits for the others
	Spread time.Duration // longest time between two ends of a run; their order is random
	Seed   uint64

	mu     sync.Mutex
	random *rand.Rand
	runs   map[gangRunKey]*gangRun
	failed map[string]int // by step: runs in which a member failed
}

// gangRunKey identifies a run of a gang.
type gangRunKey struct {
	step string
	run  int
}

// gangRun is a run of a gang in progress.
type gangRun struct {
	members []*gangMember
	over    bool        // how its members end is decided
	timer   *time.Timer // ends the run
}

// gangMember is a task of a gang on a worker.
type gangMember struct {
	worker *Worker
	run    *activeRun
}

// gangSpec is what the spec of a job says of its gang.
type gangSpec struct {
	duration time.Duration
	size     int
	failures []int // members that fail in the first run, in the second one, and so on
}

// GangSpec returns the spec of a job whose tasks are one gang: of the given number of tasks, done after
// duration, and with the given numbers of members that fail in its first runs.
func GangSpec(duration time.Duration, tasks int, failures ...int) string {
	text := fmt.Sprintf("%d gang %d", duration.Milliseconds(), tasks)
	for i, n := range failures {
		separator := ","
		if i == 0 {
			separator = " fails "
		}
		text += separator + strconv.Itoa(n)
	}
	return text
}

// parseGangSpec parses "200 gang 3": three tasks that are done 200 ms after all are present, or
// "200 gang 3 fails 2,1": in the first run two of them fail, in the second run one, and then all are done.
func parseGangSpec(spec string) (s gangSpec, ok bool) {
	fields := strings.Fields(spec)
	if (len(fields) != 3 && len(fields) != 5) || fields[1] != "gang" {
		return s, false
	}
	milliseconds, err := strconv.Atoi(fields[0])
	size, sizeErr := strconv.Atoi(fields[2])
	if err != nil || sizeErr != nil || size < 1 {
		return s, false
	}
	s.duration, s.size = time.Duration(milliseconds)*time.Millisecond, size
	if len(fields) == 3 {
		return s, true
	}
	for _, text := range strings.Split(fields[4], ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > size {
			return s, false
		}
		s.failures = append(s.failures, n)
	}
	return s, fields[3] == "fails"
}

// keyOf returns the run of the gang to which a run of a task, ID.OCCURRENCE.STEP.INDEX, belongs.
func keyOf(e *activeRun) gangRunKey {
	return gangRunKey{step: e.task[:strings.LastIndex(e.task, ".")], run: e.run}
}

// join adds a run of a task to the run of its gang.
func (g *Gangs) join(w *Worker, e *activeRun, s gangSpec) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs == nil {
		g.runs, g.failed = map[gangRunKey]*gangRun{}, map[string]int{}
		g.random = rand.New(rand.NewPCG(g.Seed, 0))
	}
	key := keyOf(e)
	r := g.runs[key]
	if r == nil {
		r = &gangRun{}
		r.timer = time.AfterFunc(g.Wait, func() { g.giveUp(key, r) })
		g.runs[key] = r
	}
	r.members = append(r.members, &gangMember{worker: w, run: e})
	if len(r.members) == s.size && r.timer.Stop() {
		r.timer = time.AfterFunc(s.duration, func() { g.finish(key, r, s) })
	}
}

// giveUp ends the members of a run that have waited for the others in vain.
func (g *Gangs) giveUp(key gangRunKey, r *gangRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endLocked(key, r, "alone", 0)
}

// finish ends a run of which all members were present, as the spec says.
func (g *Gangs) finish(key gangRunKey, r *gangRun, s gangSpec) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.failed[key.step]
	if r.over || n >= len(s.failures) {
		g.endLocked(key, r, "done", 0)
		return
	}
	g.failed[key.step]++
	g.endLocked(key, r, "broken", s.failures[n])
}

// leave ends a run of a gang of which a member has ended by itself: the others are broken.
func (g *Gangs) leave(e *activeRun) {
	key := keyOf(e)
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.runs[key]; r != nil {
		g.endLocked(key, r, "broken", 0)
	}
}

// endLocked ends the members of a run for a reason, and the given number of them as failed, unless that was
// decided before. Members that fail or are broken end in a random order within Spread. The caller holds g.mu.
func (g *Gangs) endLocked(key gangRunKey, r *gangRun, reason string, failing int) {
	if r.over {
		return
	}
	r.over = true
	r.timer.Stop()
	delete(g.runs, key)
	g.random.Shuffle(len(r.members), func(i, k int) { r.members[i], r.members[k] = r.members[k], r.members[i] })
	for i, m := range r.members {
		memberReason := reason
		if i < failing {
			memberReason = "failed"
		}
		var delay time.Duration
		if reason == "broken" && g.Spread > 0 {
			delay = time.Duration(g.random.Int64N(int64(g.Spread)))
		}
		time.AfterFunc(delay, func() { m.worker.endGangMember(m.run, memberReason) })
	}
}

// endGangMember ends a run of a gang's task, unless it has ended.
func (w *Worker) endGangMember(e *activeRun, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clockMs() > w.leaseEndMs {
		reason = "lapsed"
	}
	w.endRun(e, reason)
}

// leaveGang ends the run of the gang to which an ended run belongs, if it does.
func (w *Worker) leaveGang(e *activeRun) {
	if w.Gangs != nil {
		w.Gangs.leave(e)
	}
}
