package schedule_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
	"citronknot/schedule/locality"
)

// nearLoad is a load of jobs with data on racks.
type nearLoad struct {
	seed      uint64
	racks     int
	factor    float64 // of a far run
	work      float64 // part of the pool's capacity that the near runs of all jobs take
	hot       float64 // part of the jobs with data that have it on the first rack; the others' is spread evenly
	data      float64 // part of the jobs that have data on a rack
	wrong     bool    // estimates are off by half to nine tenths, each queue in its direction
	tail      bool    // a thirtieth of the tasks runs seven times as long
	short     bool    // objectives of 1.6 times the critical path plus 600 ms
	length    clock.Millis
	decide    func(locality.Choice) locality.Decision
	unlearned bool         // the pool learns no run times
	lose      clock.Millis // when the workers of the first rack stop responding; 0 if they don't
}

// nearResult is what a replay of a nearLoad shows.
type nearResult struct {
	meanRun  float64 // ms from start to end of the tasks with data
	meanJob  float64 // ms from acceptance to the end of the jobs
	inTime   float64 // part of the jobs
	away     float64 // part of the tasks with data that ran on another rack
	waits    int
	longest  clock.Millis // wait
	lost     bool         // the first rack was
	unplaced int          // tasks that ended their wait without a start
}

// String returns the result as the cells of a row of docs/design/locality.md.
func (r nearResult) String() string {
	return fmt.Sprintf("%.0f | %.0f | %.3f | %.3f | %d", r.meanRun, r.meanJob, r.inTime, r.away, r.waits)
}

// nearRun is a run of a replay.
type nearRun struct {
	order schedule.Order
	end   clock.Millis
}

// workersPerRack is the number of workers of 16 cores on each rack of a replay.
const workersPerRack = 3

// replay runs a load on a pool, with steps of 10 ms and start orders that take effect at once.
func (l nearLoad) replay(t testing.TB) nearResult {
	rnd := rand.New(rand.NewPCG(l.seed, 7))
	var result nearResult
	now := clock.Millis(1000)
	pool := schedule.New(schedule.Config{Pool: "p", FarFactor: l.factor, DecideWait: l.decide, OnEvent: func(e schedule.Event) {
		switch {
		case e.Kind == "place_wait_begun":
			result.waits++
		case e.Kind == "place_wait_ended" && e.Wait.Outcome == "withdrawn":
			result.unplaced++
		case e.Kind == "place_wait_ended":
			result.longest = max(result.longest, e.Wait.Waited)
		}
	}})
	pool.FinishRecovery(now)
	racks := map[fleet.InstanceID]fleet.RackID{}
	for i := range l.racks * workersPerRack {
		id := workerID(i)
		racks[id] = fleet.RackID(fmt.Sprint("r", i/workersPerRack))
		pool.SetWorker(schedule.Worker{ID: id, Incarnation: 1, Rack: racks[id], Capacity: job.Resources{CPU: 16_000, Memory: 1 << 20}}, now)
		pool.SetReachable(id, true, now)
		pool.Observe(id, schedule.Report{RequestedAt: now}, now)
	}
	queueError := []float64{0.1, 0.3, 0.5, 1, 1.5, 1.9}
	jobs, truth, accepted := map[job.ID]*job.Job{}, map[job.Ref]clock.Millis{}, map[job.ID]clock.Millis{}
	var running []nearRun
	var ranFor clock.Millis
	finished, ran, inTime := 0, 0, 0
	var jobTime clock.Millis
	capacity := float64(l.racks * workersPerRack * 16_000)
	var offered float64
	for n := 0; now < 1000+l.length || (len(accepted) > 0 && now < 1000+20*l.length); now += 10 {
		for now < 1000+l.length && offered < l.work*capacity*float64(now-1000) {
			n++
			queue := rnd.IntN(len(queueError))
			s := newStep(1 + rnd.IntN(6))
			s.Needs.CPU = 1000 * int64(1+rnd.IntN(4))
			near := clock.Millis(200 + rnd.IntN(1800))
			s.Estimate = near
			if l.wrong {
				near = clock.Millis(float64(near) * queueError[queue] * (0.9 + 0.2*rnd.Float64()))
			}
			if rnd.Float64() < l.data {
				s.DataRack = "r0"
				if rnd.Float64() >= l.hot {
					s.DataRack = fleet.RackID(fmt.Sprint("r", rnd.IntN(l.racks)))
				}
			}
			j := newJob(n, s)
			j.Queue = fleet.QueueID(fmt.Sprint("q", queue))
			if l.unlearned {
				j.Queue = fleet.QueueID(fmt.Sprint("q", n)) // each run time is the first of its key
			}
			jobs[j.ID], accepted[j.ID] = j, now
			for i := range s.Count {
				ref := job.Ref{Job: j.ID, Index: i}
				truth[ref] = near
				if l.tail && rnd.IntN(30) == 0 {
					truth[ref] = 7 * near
				}
				offered += float64(s.Needs.CPU) * float64(truth[ref])
			}
			pool.Add(j, l.policy(), nil, 0, now)
		}
		if l.lose != 0 && now >= 1000+l.lose {
			l.lose, result.lost = 0, true
			for i := range workersPerRack {
				pool.SetReachable(workerID(i), false, now)
			}
		}
		running = slices.DeleteFunc(running, func(r nearRun) bool {
			if r.end > now {
				return false
			}
			end := schedule.EndReport{Task: r.order.Task, Run: r.order.Run, Kind: schedule.EndDone}
			pool.Observe(r.order.Worker, schedule.Report{RequestedAt: now, EndsOnly: true, Ended: []schedule.EndReport{end}}, now)
			return true
		})
		orders := pool.Plan(now, now)
		if result.lost {
			for _, w := range pool.Dump(now).PlaceWaits {
				must.NotEq(t, "r0", w.Rack, must.Sprint("a task waits for a rack that is lost"))
			}
		}
		for _, o := range orders {
			if o.Kind != schedule.Start {
				continue
			}
			pool.Answered(o, schedule.Accepted, now)
			length := truth[o.Task]
			if rack := jobs[o.Task.Job].Steps[0].DataRack; rack != "" {
				ran++
				if rack != racks[o.Worker] {
					result.away++
					length = clock.Millis(float64(length) * l.trueFactor())
				}
				ranFor += length
			}
			running = append(running, nearRun{order: o, end: now + length})
		}
		for _, c := range pool.Changes(now, 10_000) {
			pool.Committed(c)
			if c.State != job.Complete {
				continue
			}
			took := now - accepted[c.Job]
			path := float64(jobs[c.Job].CriticalPath())
			finished++
			jobTime += took
			if float64(took) <= l.policy().Stretch*path+float64(l.policy().Slack) {
				inTime++
			}
			delete(accepted, c.Job)
			pool.Remove(c.Job)
		}
	}
	must.MapEmpty(t, accepted, must.Sprint("all jobs end"))
	result.meanRun, result.away = float64(ranFor)/float64(ran), result.away/float64(ran)
	result.meanJob, result.inTime = float64(jobTime)/float64(finished), float64(inTime)/float64(finished)
	return result
}

// policy returns the policy of the queues.
func (l nearLoad) policy() job.Policy {
	if l.short {
		return testPolicy
	}
	return job.Policy{Attempts: 2, Stretch: 3, Slack: 1500}
}

// trueFactor returns how many times as long far runs take.
func (l nearLoad) trueFactor() float64 { return math.Max(l.factor, 1) }

// never waits for no place.
func never(locality.Choice) locality.Decision { return locality.Decision{} }

// fixedWait waits for the given time, whatever is expected.
func fixedWait(d clock.Millis) func(locality.Choice) locality.Decision {
	return func(c locality.Choice) locality.Decision {
		return locality.Decision{Wait: c.Waited < d && c.Expected >= 0, Limit: d - c.Waited}
	}
}

// sureWait waits as expected, but only as long as a far start after the wait would still be in time.
func sureWait(c locality.Choice) locality.Decision {
	d := locality.Decide(c)
	if left := c.Slack - c.Saved(); left > 0 && c.Expected >= left {
		return locality.Decision{Reason: locality.NoSlack}
	}
	return d
}

// nearLoads are the loads that docs/design/locality.md has figures of.
var nearLoads = []struct {
	name string
	load nearLoad
}{
	{"even", nearLoad{racks: 6, factor: 3, work: 0.5, data: 0.5}},
	{"even, factor 1.5", nearLoad{racks: 6, factor: 1.5, work: 0.5, data: 0.5}},
	{"even, 0.8 full", nearLoad{racks: 6, factor: 3, work: 0.8, data: 0.5}},
	{"hot rack", nearLoad{racks: 6, factor: 3, work: 0.5, data: 0.5, hot: 0.7}},
	{"wrong estimates and tail", nearLoad{racks: 6, factor: 3, work: 0.6, data: 0.5, wrong: true, tail: true}},
	{"the same, nothing learned", nearLoad{racks: 6, factor: 3, work: 0.6, data: 0.5, wrong: true, tail: true, unlearned: true}},
	{"the same, a hot rack", nearLoad{racks: 6, factor: 3, work: 0.5, data: 0.5, hot: 0.7, wrong: true, tail: true}},
	{"even, 0.8 full, short objectives", nearLoad{racks: 6, factor: 3, work: 0.8, data: 0.5, short: true}},
	{"hot rack, short objectives", nearLoad{racks: 6, factor: 3, work: 0.5, data: 0.5, hot: 0.7, short: true}},
	{"wrong estimates and tail, short objectives", nearLoad{racks: 6, factor: 3, work: 0.6, data: 0.5, wrong: true, tail: true, short: true}},
}

// waitRules are the alternatives that docs/design/locality.md weighs.
var waitRules = []struct {
	name   string
	decide func(locality.Choice) locality.Decision
}{
	{"no wait", never},
	{"300 ms", fixedWait(300)},
	{"3,000 ms", fixedWait(3000)},
	{"expected wait", locality.Decide},
	{"the same, sure", sureWait},
}

// BenchmarkPlaceWaits prints the table of docs/design/locality.md with -benchtime 1x -v.
func BenchmarkPlaceWaits(b *testing.B) {
	for _, l := range nearLoads {
		for _, rule := range waitRules {
			l.load.decide, l.load.length, l.load.seed = rule.decide, 60_000, 20261204
			b.Run(l.name+"/"+rule.name, func(b *testing.B) {
				for b.Loop() {
					b.Logf("| %s | %s | %s |", l.name, rule.name, l.load.replay(b))
				}
			})
		}
	}
}
