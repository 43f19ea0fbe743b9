package owner_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/schedule"
	"citronknot/worker"
)

// fakeFleet is a set of workers that keep what they run under leases, may start again under their ids, and
// may be cut off from the owner while they work on. It records each run.
type fakeFleet struct {
	runTime  time.Duration // 0 means that runs last until they are stopped
	maxLease clock.Millis  // longer leases are shortened to it
	maxEnds  int           // number of ended runs in a response; 0 means all
	started  time.Time

	mu      sync.Mutex
	workers map[fleet.InstanceID]*fakeLife
	runs    []*fakeRun
	events  []string // see history
	// beforeStart, if not nil, is called with each start before the worker carries it out, and afterStart
	// before the worker's answer is sent. They may sleep, restart the worker or cut it off.
	beforeStart, afterStart func(fleet.InstanceID, worker.StartOrder)
	afterPoll               func(fleet.InstanceID) // see setAfterPoll
}

// fakeLife is one life of a worker.
type fakeLife struct {
	born    clock.Millis
	cut     bool         // the owner does not reach it
	lease   clock.Millis // when the lease of its runs ends
	running []*fakeRun
	highest map[job.Ref]int // highest run that was started or stopped
	ended   []worker.EndedRun
	over    []*fakeRun // those of ended
	ends    int64
}

// fakeRun is a run of a task on a worker.
type fakeRun struct {
	task       job.Ref
	run        int
	worker     fleet.InstanceID
	begin, end clock.Millis // end is 0 while the run goes on
	kind       schedule.EndKind
	forgotten  bool // the end was acknowledged
}

// newFakeFleet returns workers w0, w1 and so on that have just been started. The owner's clock is that of the
// fleet.
func newFakeFleet(workers int) *fakeFleet {
	f := &fakeFleet{started: time.Now(), maxLease: 10_000, workers: map[fleet.InstanceID]*fakeLife{}}
	for i := range workers {
		f.workers[fleet.InstanceID(fmt.Sprintf("w%d", i))] = newLife(0)
	}
	return f
}

func newLife(now clock.Millis) *fakeLife { return &fakeLife{born: now, highest: map[job.Ref]int{}} }

func (f *fakeFleet) now() clock.Millis { return clock.MillisOf(time.Since(f.started)) }

// list returns the workers as the platform lists them.
func (f *fakeFleet) list(capacity job.Resources) []owner.ListedWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []owner.ListedWorker
	for id, l := range f.workers {
		out = append(out, owner.ListedWorker{Worker: schedule.Worker{ID: id, Incarnation: l.born + 1, Capacity: capacity}, Address: string(id)})
	}
	return out
}

// restart ends what runs on a worker and starts it again under its id.
func (f *fakeFleet) restart(id fleet.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addEvent("%s restarts", id)
	for _, r := range f.workers[id].running {
		r.end = f.now()
	}
	f.workers[id] = newLife(f.now())
}

// setCut sets whether the owner does not reach a worker.
func (f *fakeFleet) setCut(id fleet.InstanceID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addEvent("%s is cut off: %t", id, cut)
	f.workers[id].cut = cut
}

// setAfterPoll sets a function that is called before the response to a poll is sent.
func (f *fakeFleet) setAfterPoll(called func(fleet.InstanceID)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.afterPoll = called
}

// advance ends the runs of a life that are done or whose lease has expired by now.
func (f *fakeFleet) advance(l *fakeLife) {
	now := f.now()
	for _, r := range slices.Clone(l.running) {
		doneAt := r.begin + clock.MillisOf(f.runTime)
		switch {
		case f.runTime > 0 && now >= doneAt && doneAt <= l.lease:
			l.finish(r, schedule.EndDone, doneAt)
		case now > l.lease:
			l.finish(r, schedule.EndExpired, l.lease)
		}
	}
}

// finish ends a run.
func (l *fakeLife) finish(r *fakeRun, kind schedule.EndKind, now clock.Millis) {
	r.end, r.kind = max(now, 1), kind
	l.running = slices.DeleteFunc(l.running, func(o *fakeRun) bool { return o == r })
	l.ends++
	l.over = append(l.over, r)
	l.ended = append(l.ended, worker.EndedRun{Number: l.ends, EndReport: schedule.EndReport{Task: r.task, Run: r.run, Kind: kind}})
}

// call finds the life that answers a call, or fails as the network does.
func (f *fakeFleet) call(ctx context.Context, to worker.Endpoint) (*fakeLife, error) {
	f.mu.Lock()
	l := f.workers[to.ID]
	cut := l.cut
	f.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return l, nil
}

// reply returns an answer with the clock of a life, which starts at its birth.
func (f *fakeFleet) reply(l *fakeLife, r worker.Result) worker.Reply {
	return worker.Reply{Result: r, Clock: f.now() - l.born + 1}
}

// extend extends the lease of a life to a time on its clock.
func (f *fakeFleet) extend(l *fakeLife, until clock.Millis) {
	if until != 0 {
		l.lease = max(l.lease, min(l.born+until-1, f.now()+f.maxLease))
	}
}

func (f *fakeFleet) calls() worker.Calls {
	return worker.Calls{Start: f.start, Stop: f.stop, Poll: f.poll}
}

func (f *fakeFleet) start(ctx context.Context, to worker.Endpoint, o worker.StartOrder) (worker.Reply, error) {
	if f.beforeStart != nil {
		f.beforeStart(to.ID, o)
	}
	if _, err := f.call(ctx, to); err != nil {
		return worker.Reply{}, err
	}
	f.mu.Lock()
	l := f.workers[to.ID] // it may have restarted since
	f.advance(l)
	if l.highest[o.Task] >= o.Run {
		defer f.mu.Unlock()
		return f.reply(l, worker.RunTooOld), nil
	}
	l.highest[o.Task] = o.Run
	f.extend(l, o.LeaseUntil)
	r := &fakeRun{task: o.Task, run: o.Run, worker: to.ID, begin: f.now()}
	l.running = append(l.running, r)
	f.runs = append(f.runs, r)
	answer := f.reply(l, worker.Done)
	f.mu.Unlock()
	if f.afterStart != nil {
		f.afterStart(to.ID, o)
	}
	if ctx.Err() != nil {
		return worker.Reply{}, errors.New("the answer was lost")
	}
	return answer, nil
}

func (f *fakeFleet) stop(ctx context.Context, to worker.Endpoint, task job.Ref, run int, _ uint64) (worker.Reply, error) {
	if _, err := f.call(ctx, to); err != nil {
		return worker.Reply{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.workers[to.ID] // it may have restarted since
	f.advance(l)
	l.highest[task] = max(l.highest[task], run)
	for _, r := range l.running {
		if r.task == task && r.run == run {
			l.finish(r, schedule.EndStopped, f.now())
			break
		}
	}
	return f.reply(l, worker.Done), nil
}

func (f *fakeFleet) poll(ctx context.Context, to worker.Endpoint, o worker.PollRequest) (worker.PollResponse, error) {
	former, err := f.call(ctx, to)
	if err != nil {
		return worker.PollResponse{}, err
	}
	time.Sleep(min(o.Wait.Duration(), 100*time.Millisecond) + 2*time.Millisecond)
	l, err := f.call(ctx, to)
	if err != nil {
		return worker.PollResponse{}, err
	}
	if l != former {
		return worker.PollResponse{}, errors.New("the connection broke")
	}
	response, called := f.answerPoll(l, &o)
	if called != nil {
		called(to.ID)
	}
	return response, nil
}

// answerPoll returns the response of a life to a poll, and what is called before it is sent.
func (f *fakeFleet) answerPoll(l *fakeLife, o *worker.PollRequest) (worker.PollResponse, func(fleet.InstanceID)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extend(l, o.LeaseUntil)
	f.advance(l)
	for len(l.ended) > 0 && l.ended[0].Number <= o.AcknowledgedThrough {
		l.over[0].forgotten = true
		l.ended, l.over = l.ended[1:], l.over[1:]
	}
	response := worker.PollResponse{Reply: f.reply(l, worker.Done), Incarnation: l.born + 1, Ended: slices.Clone(l.ended)}
	if f.maxEnds > 0 && len(l.ended) >= f.maxEnds {
		response.Ended, response.MoreEnds = response.Ended[:f.maxEnds], true
	}
	for _, r := range l.running {
		response.Running = append(response.Running, schedule.RunReport{Task: r.task, Run: r.run})
	}
	return response, f.afterPoll
}

// doubled returns a task that ran twice at the same time, or again after an end that was acknowledged, or an
// empty text.
func (f *fakeFleet) doubled() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.workers {
		f.advance(l)
	}
	for i, a := range f.runs {
		for _, b := range f.runs[i+1:] {
			if a.task == b.task && (a.end == 0 || b.begin < a.end || (a.kind == schedule.EndDone && a.forgotten)) {
				return fmt.Sprintf("run %d of %s began on %s at %d ms, while run %d went on from %d to %d ms on %s", b.run, b.task, b.worker, b.begin, a.run, a.begin, a.end, a.worker)
			}
		}
	}
	return ""
}

// history returns a line for each run and each restart and cut of a worker, in the order of their beginnings.
func (f *fakeFleet) history() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	lines := slices.Clone(f.events)
	for _, r := range f.runs {
		lines = append(lines, fmt.Sprintf("%6d ms: %s runs run %d of %s until %d ms (%s)", r.begin, r.worker, r.run, r.task, r.end, r.kind))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// addEvent adds a line to the history. The caller holds f.mu.
func (f *fakeFleet) addEvent(format string, args ...any) {
	f.events = append(f.events, fmt.Sprintf("%6d ms: ", f.now())+fmt.Sprintf(format, args...))
}
