package schedule_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// callers submits jobs to a pool of a harness, and submits refused jobs again when they were told to.
type callers struct {
	*harness
	refusing bool // the pool may refuse
	tries    int  // submissions of one job, at most

	submissions map[clock.Millis][]*submitted // due ones, by time
	waiting     []*submitted                  // accepted, not ended
	running     []endingRun
	inTime      int
	late        int // ended within three times the objective
	tooLate     int // ended after that
	gaveUp      int // refused at each try
	refusals    int
	returns     map[clock.Millis]int // submissions of refused jobs by tenths of a second
}

// submitted is a job of a caller.
type submitted struct {
	job      *job.Job
	tries    int
	accepted clock.Millis
}

// endingRun is a run with its end.
type endingRun struct {
	at    clock.Millis
	order schedule.Order
}

// newCallers returns callers of a pool with the given number of workers, which has settled.
func newCallers(t *testing.T, workers int, refusing bool) *callers {
	c := &callers{refusing: refusing, tries: 6, submissions: map[clock.Millis][]*submitted{}, returns: map[clock.Millis]int{}}
	c.harness = &harness{t: t}
	c.pool = schedule.New(schedule.Config{Pool: "p", MayRefuse: func(fleet.TeamID, clock.Millis) bool { return c.refusing }})
	c.pool.FinishRecovery(0)
	for i := range workers {
		c.addWorker(workerID(i), 16000)
	}
	c.now = 3000
	return c
}

// submitEach lets callers submit a job of one step at intervals from now on.
func (c *callers) submitEach(interval, duration clock.Millis, step job.Step) {
	for at := c.now + 10; at < c.now+duration; at += interval {
		n := len(c.submissions)*1000 + len(c.submissions[at/10*10])
		c.submissions[at/10*10] = append(c.submissions[at/10*10], &submitted{job: newJob(n, step)})
	}
}

// run advances the time by d, in steps of 10 ms.
func (c *callers) run(d clock.Millis) {
	for end := c.now + d; c.now < end; {
		for _, o := range c.acceptStarts(10) {
			estimate := c.pool.Job(o.Task.Job).Steps[o.Task.Step].Estimate
			c.running = append(c.running, endingRun{at: c.now + estimate, order: o})
		}
		c.running = slices.DeleteFunc(c.running, func(r endingRun) bool {
			if r.at > c.now {
				return false
			}
			c.reportEnd(r.order, schedule.EndDone)
			return true
		})
		for _, s := range c.submissions[c.now] {
			c.submit(s)
		}
		delete(c.submissions, c.now)
		c.commitChanges()
		c.waiting = slices.DeleteFunc(c.waiting, c.ended)
	}
}

// submit submits a job, and again later if it is refused.
func (c *callers) submit(s *submitted) {
	s.tries++
	if s.tries > 1 {
		c.returns[c.now/100]++
	}
	r := c.pool.Refuse(s.job, testPolicy, c.now)
	if r.Refused {
		c.refusals++
		if s.tries == c.tries {
			c.gaveUp++
			return
		}
		at := (c.now + r.RetryAfter + 9) / 10 * 10
		c.submissions[at] = append(c.submissions[at], s)
		return
	}
	s.accepted = c.now
	c.pool.Expect(s.job, testPolicy, 0, c.now)
	c.pool.Add(s.job, testPolicy, nil, 0, c.now)
	c.waiting = append(c.waiting, s)
}

// ended counts a job that is complete.
func (c *callers) ended(s *submitted) bool {
	if c.pool.Job(s.job.ID).State() != job.Complete {
		return false
	}
	objective := clock.Millis(testPolicy.Stretch*float64(s.job.CriticalPath())) + testPolicy.Slack
	switch took := c.now - s.accepted; {
	case took <= objective:
		c.inTime++
	case took <= 3*objective:
		c.late++
	default:
		c.tooLate++
	}
	return true
}

// String describes what the callers got.
func (c *callers) String() string {
	return fmt.Sprintf("%d in time, %d late, %d later, %d without an end, %d given up, %d refusals", c.inTime, c.late, c.tooLate, len(c.waiting), c.gaveUp, c.refusals)
}

// Guards against refusals that leave callers worse off: an overload is replayed with and without them, and
// refused callers come back when they are told to. Counted is what ends within its objective, late
// work at half, from the submission that was accepted.
func TestCallersAreBetterOffWithRefusals(t *testing.T) {
	for _, c := range []struct {
		name            string
		interval, lasts clock.Millis // of jobs of 8 seconds of work, on 64 cores
	}{
		{"one and a half times the capacity", 80, 20_000},
		{"twice the capacity", 60, 15_000},
		{"four times the capacity", 30, 6_000},
	} {
		var got [2]*callers
		for i := range got {
			got[i] = newCallers(t, 4, i == 1)
			got[i].submitEach(c.interval, c.lasts, newStep(8))
			got[i].run(c.lasts + 40_000)
		}
		t.Logf("%s: without refusals %s; with them %s", c.name, got[0], got[1])
		must.Greater(t, 2*got[0].inTime+got[0].late, 2*got[1].inTime+got[1].late, must.Sprint(c.name))
		must.Greater(t, got[0].inTime, got[1].inTime, must.Sprint(c.name))
		must.Positive(t, got[1].refusals)
		must.Less(t, got[0].tooLate, 3*got[1].tooLate, must.Sprint("hardly anything is admitted in vain"))
	}
}

// overloaded returns callers of a pool of four workers at which four times its capacity was submitted for
// some seconds.
func overloaded(t *testing.T) *callers {
	c := newCallers(t, 4, true)
	c.submitEach(30, 4000, newStep(8))
	c.run(4000)
	return c
}

// refuse asks the pool about a new job with a step.
func (c *callers) refuse(n int, s job.Step) schedule.Refusal {
	return c.pool.Refuse(newJob(1_000_000+n, s), testPolicy, c.now)
}

// Guards against refusals of jobs of kinds that are never refused, of jobs that come before the
// accepted work, and of all jobs when there is room again.
func TestJobsThatAreNeverRefused(t *testing.T) {
	c := overloaded(t)
	must.True(t, c.refuse(0, newStep(8)).Refused)
	lasting, bestEffort := newStep(1), newStep(1)
	lasting.LongRunning, bestEffort.BestEffort = true, true
	must.False(t, c.refuse(1, lasting).Refused)
	must.False(t, c.refuse(2, bestEffort).Refused)
	timed := newJob(3_000_000, newStep(8))
	timed.Runs, timed.Interval = 3, 1000
	must.False(t, c.pool.Refuse(timed, testPolicy, c.now).Refused)
	patient := testPolicy
	patient.Slack = 30_000
	must.False(t, c.pool.Refuse(newJob(3_000_001, newStep(8)), patient, c.now).Refused, must.Sprint("it can wait"))
	must.True(t, c.refuse(3, newStep(1)).Refused)
	must.True(t, c.refuse(4, newStep(60)).Refused, must.Sprint("the size of a job does not count, only what is before it"))
	c.submissions = nil
	c.run(30_000)
	must.False(t, c.refuse(5, newStep(60)).Refused)
	must.Eq(t, 0, c.pool.Dump(c.now).Admission.BacklogMS)
}

// Guards against refusals of jobs that can be in time because of work that can't any more: it comes after them.
func TestLateWorkRefusesNoJobThatCanBeInTime(t *testing.T) {
	c := newCallers(t, 4, false)
	c.submitEach(30, 4000, newStep(8))
	c.run(6000)
	c.refusing = true
	must.True(t, c.pool.Dump(c.now).Admission.Full)
	must.Greater(t, 5000, c.pool.Dump(c.now).Admission.LateMS)
	must.False(t, c.refuse(0, newStep(8)).Refused)
}

// Guards against refusals because of work that waits for something else than capacity: for a worker with
// a label, or for the allowance of its team.
func TestWorkThatDoesNotCompeteRefusesNoJob(t *testing.T) {
	limited := schedule.Config{
		Pool: "p", Limited: func(team fleet.TeamID) bool { return team == "limited" }, MayRefuse: func(fleet.TeamID, clock.Millis) bool { return true },
	}
	for _, full := range []bool{false, true} {
		h := &harness{t: t, pool: schedule.New(limited)}
		h.pool.FinishRecovery(0)
		h.addWorker("w0", 16000)
		h.now = 3000
		h.pool.SetAllowance(map[fleet.TeamID]job.Resources{"limited": {CPU: 1000, Memory: 100}})
		for n := range 200 {
			j := newJob(n, newStep(8))
			if full {
				j.Team = "limited"
			} else {
				j.Steps[0].Label = "rare"
			}
			h.pool.Add(j, testPolicy, nil, 0, h.now)
		}
		if full {
			h.pool.Add(newJob(1000, newStep(17)), testPolicy, nil, 0, h.now)
		}
		h.acceptStarts(10)
		must.Eq(t, full, h.pool.Dump(h.now).Admission.Full)
		must.False(t, h.pool.Refuse(newJob(2000, newStep(1)), testPolicy, h.now).Refused)
	}
}

// Guards against refusals by priority the wrong way round: work of lower priority is no reason to refuse.
func TestWorkOfLowerPriorityRefusesNoJob(t *testing.T) {
	c := overloaded(t)
	urgent, lowest := testPolicy, testPolicy
	lowest.Priority = 1
	urgent.Priority = -1
	must.False(t, c.pool.Refuse(newJob(3_000_000, newStep(8)), urgent, c.now).Refused)
	must.True(t, c.pool.Refuse(newJob(3_000_000, newStep(8)), lowest, c.now).Refused)
}

// Guards against refusals in a pool that has room on its way: a burst meets a pool that grows.
func TestBurstInGrowingPoolIsNotRefused(t *testing.T) {
	for _, grows := range []bool{false, true} {
		c := newCallers(t, 1, true)
		if grows {
			c.pool.SetArrivals([]schedule.Arrival{{At: c.now + 1000, Capacity: job.Resources{CPU: 320_000, Memory: 1 << 20}}})
		}
		c.submitEach(40, 1000, newStep(8))
		c.run(1000)
		if grows {
			must.Eq(t, 0, c.refusals)
			for i := range 20 {
				c.addWorker(workerID(1+i), 16000)
			}
			c.run(1500)
			must.Eq(t, 25, c.inTime+c.late, must.Sprint("what was admitted ends"))
		} else {
			must.Positive(t, c.refusals)
		}
	}
}

// Guards against refusals because workers are lost that are back within seconds, and against a pool that admits
// as before when they stay away.
func TestLostWorkersCountForAWhile(t *testing.T) {
	for _, c := range []struct {
		cause schedule.LossCause
		after clock.Millis
		want  int64
	}{
		{schedule.LossCrash, 1000, 64000},
		{schedule.LossCrash, 6000, 48000},
		{schedule.LossExpected, 0, 48000},
	} {
		h := newHarness(t, 4)
		h.pool.RemoveWorker("w0", c.cause, "test", h.now)
		must.Eq(t, c.want, h.pool.Dump(h.now+c.after).Admission.Capacity)
		h.addWorker("w0", 16000)
		must.Eq(t, 64000, h.pool.Dump(h.now).Admission.Capacity)
	}
}

// Guards against a new owner that refuses jobs before it knows what runs and which workers there are.
func TestNewOwnerDoesNotRefuseBeforeItKnowsThePool(t *testing.T) {
	former := overloaded(t)
	c := newCallers(t, 0, true)
	c.now = former.now
	c.pool = schedule.New(schedule.Config{Pool: "p", RunBase: 1000, MayRefuse: func(fleet.TeamID, clock.Millis) bool { return true }})
	for _, s := range former.waiting {
		c.pool.Add(s.job, testPolicy, &job.Progress{}, c.now-s.accepted, c.now)
	}
	for n := range 200 { // so that there is much work that can be in time
		c.pool.Add(newJob(2_000_000+n, newStep(8)), testPolicy, nil, 0, c.now)
	}
	must.False(t, c.refuse(0, newStep(8)).Refused, must.Sprint("no worker is known"))
	for i := range 4 {
		c.addWorker(workerID(i), 16000)
	}
	c.acceptStarts(10)
	must.False(t, c.refuse(1, newStep(8)).Refused, must.Sprint("recovery is not finished"))
	c.pool.FinishRecovery(c.now)
	c.acceptStarts(10)
	must.False(t, c.refuse(2, newStep(8)).Refused, must.Sprint("recovery has just finished"))
	c.now += 2000
	for n := range 200 {
		c.pool.Add(newJob(2_001_000+n, newStep(8)), testPolicy, nil, 0, c.now)
	}
	c.acceptStarts(10)
	must.True(t, c.refuse(3, newStep(8)).Refused)
}

// Guards against refused callers that return together, or later or earlier than the limits.
func TestRefusedCallersReturnSpread(t *testing.T) {
	c := overloaded(t)
	returns := map[clock.Millis]int{}
	for n := range 1000 {
		r := c.refuse(n, newStep(8))
		must.True(t, r.Refused)
		must.Between(t, 1000, r.RetryAfter, 8000)
		must.Eq(t, r.RetryAfter, c.refuse(n, newStep(8)).RetryAfter)
		returns[r.RetryAfter/100]++
	}
	must.GreaterEq(t, 5, len(returns))
	for _, n := range returns {
		must.LessEq(t, 300, n)
	}
}

// Guards against a burst of submissions that are all admitted because none of them is durable yet, and
// against work that stays counted after its submission was withdrawn.
func TestSubmissionsThatAreNotDurableCount(t *testing.T) {
	c := newCallers(t, 1, true)
	c.submitEach(1000, 1000, newStep(20)) // so that the pool is full
	c.run(1000)
	admitted := []job.ID{}
	for n := range 100 {
		j := newJob(1_000_000+n, newStep(8))
		if !c.pool.Refuse(j, testPolicy, c.now).Refused {
			c.pool.Expect(j, testPolicy, 0, c.now)
			admitted = append(admitted, j.ID)
		}
	}
	must.Between(t, 1, len(admitted), 20)
	for _, id := range admitted {
		c.pool.Unexpect(id)
		c.pool.Unexpect(id)
	}
	must.False(t, c.refuse(0, newStep(8)).Refused)
}

// Guards against a backlog that drifts from the jobs as tasks start, end, fail, are lost and are cancelled.
func TestBacklogIsWhatHasNotBegun(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHarness(t, 2)
		var running []schedule.Order
		var jobs int
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0, 1:
				steps := []job.Step{newStep(rapid.IntRange(1, 30).Draw(r, "tasks"))}
				if rapid.Bool().Draw(r, "two steps") {
					steps = append(steps, newStep(3, 0))
				}
				h.pool.Add(newJob(jobs, steps...), testPolicy, nil, 0, h.now)
				jobs++
			case 2:
				if jobs > 0 {
					h.pool.Cancel(jobID(rapid.IntRange(0, jobs-1).Draw(r, "cancelled")), h.now)
				}
			case 3:
				kind := rapid.SampledFrom([]schedule.EndKind{schedule.EndDone, schedule.EndFailed, schedule.EndStopped}).Draw(r, "end")
				for _, o := range running[:len(running)/2] {
					h.reportEnd(o, kind)
				}
				running = running[len(running)/2:]
			case 4:
				h.pool.RemoveWorker("w1", schedule.LossExpected, "test", h.now)
				running = slices.DeleteFunc(running, func(o schedule.Order) bool { return o.Worker == "w1" })
				h.addWorker("w1", 16000)
			}
			running = append(running, h.acceptStarts(clock.Millis(rapid.IntRange(1, 900).Draw(r, "wait")))...)
			dump := h.pool.Dump(h.now)
			must.Eq(t, int64(dump.NotBegun)*1000/32, dump.Admission.BacklogMS)
		}
	})
}

// BenchmarkRefuse measures the decision about a new job against the number of accepted jobs.
func BenchmarkRefuse(b *testing.B) {
	for _, jobs := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			h := &harness{}
			h.pool = schedule.New(schedule.Config{Pool: "p", MayRefuse: func(fleet.TeamID, clock.Millis) bool { return true }})
			h.pool.FinishRecovery(0)
			for i := range 8 {
				h.addWorker(workerID(i), 16000)
			}
			h.now = 5000
			for n := range jobs {
				policy := testPolicy
				policy.Slack, policy.Priority = clock.Millis(500+n%200*100), n%3
				h.pool.Add(newJob(n, newStep(8)), policy, nil, 0, h.now)
			}
			h.planAfter(10)
			j := newJob(1_000_000, newStep(8))
			for b.Loop() {
				h.pool.Refuse(j, testPolicy, h.now)
			}
		})
	}
}
