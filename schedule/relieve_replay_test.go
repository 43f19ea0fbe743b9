package schedule_test

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// shrunkReplay is a pool of eight workers, of which two at a time shrink to 55%, as on a recorded day, for 3 s.
type shrunkReplay struct {
	*harness
	slow     bool // runs on a worker over its capacity take longer in proportion
	relieved bool // stops for relief are carried out
	policy   job.Policy
	rand     *rand.Rand
	capacity map[fleet.InstanceID]int64
	runs     map[job.Ref]*replayedRun
	accepted map[job.ID]clock.Millis
	inTime   int
	stops    int
}

// replayedRun is a run with the work that is left of it.
type replayedRun struct {
	worker fleet.InstanceID
	run    int
	needs  int64
	left   float64 // milliseconds
}

// replayShrunk returns the number of jobs that end within their objective, and of stops for relief.
func replayShrunk(t *testing.T, policy job.Policy, slow, relieved bool, seed uint64) (inTime, stops int) {
	r := &shrunkReplay{
		harness: newHarness(t, 8), slow: slow, relieved: relieved, policy: policy, rand: rand.New(rand.NewPCG(seed, 5)),
		capacity: map[fleet.InstanceID]int64{}, runs: map[job.Ref]*replayedRun{}, accepted: map[job.ID]clock.Millis{},
	}
	for i := range 8 {
		r.capacity[workerID(i)] = 16000
	}
	for n := 0; r.now < 40_000; n++ {
		if r.now >= 5000 && r.now%3000 == 0 { // two others shrink, and the former ones grow again
			for i := range 8 {
				r.capacity[workerID(i)] = 16000
				if i/2 == int(r.now/3000)%4 {
					r.capacity[workerID(i)] = 8800
				}
				r.resize(workerID(i), r.capacity[workerID(i)])
			}
		}
		if r.now < 30_000 && n%4 == 0 { // 80 cores of 128 on average
			step := newStep(1)
			step.Needs.CPU = 1000 * int64(1+r.rand.IntN(7))
			step.Estimate = clock.Millis(1000 + r.rand.IntN(7000))
			r.accepted[jobID(n)] = r.now
			r.pool.Add(newJob(n, step), r.policy, nil, 0, r.now)
		}
		r.step(50)
	}
	return r.inTime, r.stops
}

// step carries out the pool's orders and lets the runs go on.
func (r *shrunkReplay) step(d clock.Millis) {
	for _, o := range r.planAfter(d) {
		if o.Kind == schedule.Start {
			s := r.pool.Job(o.Task.Job).Steps[0]
			r.runs[o.Task] = &replayedRun{worker: o.Worker, run: o.Run, needs: s.Needs.CPU, left: float64(s.Estimate)}
			r.pool.Answered(o, schedule.Accepted, r.now)
			continue
		}
		r.stops++
		if r.relieved {
			delete(r.runs, o.Task)
			r.reportEnd(o, schedule.EndStopped)
		}
	}
	used := map[fleet.InstanceID]int64{}
	for _, run := range r.runs {
		used[run.worker] += run.needs
	}
	for ref, run := range r.runs {
		speed := 1.0
		if r.slow && used[run.worker] > r.capacity[run.worker] {
			speed = float64(r.capacity[run.worker]) / float64(used[run.worker])
		}
		if run.left -= speed * float64(d); run.left > 0 {
			continue
		}
		delete(r.runs, ref)
		r.reportEnd(schedule.Order{Worker: run.worker, Task: ref, Run: run.run}, schedule.EndDone)
		j := r.pool.Job(ref.Job)
		if r.now-r.accepted[ref.Job] <= clock.Millis(r.policy.Stretch*float64(j.CriticalPath()))+r.policy.Slack {
			r.inTime++
		}
	}
	r.commitChanges()
}

// Guards against a relief that costs callers more than it gains. Whether a worker over its capacity is slow is not
// known, so both are replayed.
func TestReliefPaysIfWorkersAreSlowAndCostsLittleIfNot(t *testing.T) {
	for _, slow := range []bool{false, true} {
		allWith, allWithout := 0, 0
		for _, policy := range []job.Policy{{Stretch: 1.2, Slack: 300}, {Stretch: 1.4, Slack: 400}, {Stretch: 1.6, Slack: 600}} {
			with, without, stops := 0, 0, 0
			for seed := range uint64(10) {
				inTime, stopped := replayShrunk(t, policy, slow, true, seed)
				with, stops = with+inTime, stops+stopped
				inTime, _ = replayShrunk(t, policy, slow, false, seed)
				without += inTime
			}
			t.Logf("slow %t, stretch %.1f: %d jobs in time with relief, %d without; %d stops", slow, policy.Stretch, with, without, stops)
			must.Positive(t, stops)
			must.GreaterEq(t, without*995/1000, with)
			allWith, allWithout = allWith+with, allWithout+without
		}
		must.GreaterEq(t, allWithout-2, allWith)
		if slow {
			must.Greater(t, allWithout, allWith)
		}
	}
}
