package hosted_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/schedule"
	"citronknot/standin/deployment"
)

// Guards against members that do not forward calls to the owner of a pool, and against tasks that run
// twice.
func TestJobThroughAnyMember(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2)
	c.submit(c.otherMember(), jobID(1), `{"spec":"100","steps":[{"count":3,"cpu":500,"memMb":10,"estMs":100},{"count":2,"cpu":500,"memMb":10,"estMs":100,"after":[0]}]}`)
	for _, m := range c.members {
		c.waitComplete(m, jobID(1), 5*time.Second)
	}
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
}

// Guards against invalid calls that get a wrong status, and against refused submissions that leave a
// job.
func TestResponsesToCallers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	m := c.otherMember()
	c.submit(m, jobID(1), jobBody(1, 50))
	largeBody := `{"spec":"` + strings.Repeat("x", 10<<20) + `","steps":[{"count":1}]}`
	for _, tc := range []struct {
		name, method, id, body string
		status                 int
	}{
		{"the same job again", http.MethodPost, jobID(1), jobBody(1, 50), http.StatusOK},
		{"an unknown job", http.MethodGet, jobID(99), "", http.StatusGone},
		{"cancelling an unknown job", http.MethodDelete, jobID(99), "", http.StatusGone},
		{"an invalid id", http.MethodGet, "xyz", "", http.StatusGone},
		{"submitting under an invalid id", http.MethodPost, "xyz", jobBody(1, 50), http.StatusBadRequest},
		{"the number of waiting jobs", http.MethodGet, "", "", http.StatusOK},
		{"invalid JSON", http.MethodPost, jobID(2), "{", http.StatusBadRequest},
		{"no steps", http.MethodPost, jobID(2), `{"spec":"1"}`, http.StatusBadRequest},
		{"a negative count", http.MethodPost, jobID(2), `{"spec":"1","steps":[{"count":-1}]}`, http.StatusBadRequest},
		{"a huge count", http.MethodPost, jobID(2), `{"spec":"1","steps":[{"count":2000000000}]}`, http.StatusBadRequest},
		{"a cycle", http.MethodPost, jobID(2), `{"spec":"1","steps":[{"count":1,"after":[1]},{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		{"a large body", http.MethodPost, jobID(2), largeBody, http.StatusRequestEntityTooLarge},
	} {
		status, out := c.call(m, tc.method, tc.id, tc.body)
		must.Eq(t, tc.status, status, must.Sprintf("%s: %v", tc.name, out))
	}
	status, _ := c.call(m, http.MethodGet, jobID(2), "")
	must.Eq(t, http.StatusGone, status, must.Sprint("a refused job must not exist"))
	c.waitComplete(m, jobID(1), 5*time.Second)
}

// Guards against tasks that continue after their job was cancelled.
func TestCancelStopsTasks(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.submit(c.otherMember(), jobID(1), jobBody(2, 60_000))
	c.waitFor(5*time.Second, "both tasks run", func() bool { return len(c.workers[0].Runs()) == 2 })
	status, out := c.call(c.otherMember(), http.MethodDelete, jobID(1), "")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "cancelled", out["state"])
	c.waitFor(3*time.Second, "both tasks are stopped", func() bool {
		for _, r := range c.workers[0].Runs() {
			if r.EndReason != "stopped" {
				return false
			}
		}
		return true
	})
}

// The owner crashes while tasks run. The tasks continue under their leases and the next owner takes
// them over. Guards against tasks that run twice or are lost.
func TestOwnerCrashes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2)
	m := c.otherMember()
	for n := range 4 {
		c.submit(m, jobID(n), jobBody(3, 2500))
	}
	c.waitFor(5*time.Second, "tasks run", func() bool { return len(c.workers[0].Runs())+len(c.workers[1].Runs()) == 12 })
	owner := c.waitForOwner()
	owner.Close()
	owner.stopped = true
	for n := range 4 {
		c.waitComplete(c.otherMember(), jobID(n), 20*time.Second)
	}
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
	must.Len(t, 12, append(c.workers[0].Runs(), c.workers[1].Runs()...), must.Sprint("the crash of the owner ended or repeated a run"))
}

// Guards against an owner that loses its pool when it alone can't reach the store. It keeps the pool
// by calls that another member relays.
func TestOwnerLosesStoreAccess(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2)
	owner := c.waitForOwner()
	m := c.otherMember()
	c.submit(m, jobID(1), jobBody(1, 50))
	owner.storeCut.Store(true)
	c.submit(m, jobID(2), jobBody(1, 50))
	c.waitComplete(m, jobID(2), 8*time.Second)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
}

// A worker is partitioned while its tasks run. Guards against a second start of its tasks before
// their leases have expired.
func TestWorkerPartitioned(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.submit(c.otherMember(), jobID(1), jobBody(6, 3000))
	c.waitFor(5*time.Second, "tasks run", func() bool { return len(c.workers[0].Runs())+len(c.workers[1].Runs()) == 6 })
	// All tasks may have started on one worker. Cut off only a worker that has runs: the job can't
	// complete with both cut off.
	cut := c.workers[0]
	if len(cut.Runs()) == 0 {
		cut = c.workers[1]
	}
	cut.SetDisconnected(true)
	must.True(t, slices.ContainsFunc(cut.Runs(), func(r deployment.Run) bool { return r.EndedAt.IsZero() }), must.Sprint("no task runs on the worker that is cut off"))
	c.waitComplete(c.otherMember(), jobID(1), 25*time.Second)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
}

// The store loses responses and applies some writes late. Guards against accepted jobs that don't
// run exactly once, and against refused jobs that run.
func TestStoreLosesResponses(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	m := c.otherMember()
	c.store.SetFaults(deployment.StoreFaults{LoseResponseEvery: 4, CommitDelay: 1500 * time.Millisecond})
	statuses := map[string]int{}
	for n := range 8 {
		status, _ := c.call(m, http.MethodPost, jobID(n), jobBody(1, 100))
		statuses[jobID(n)] = status
	}
	c.store.SetFaults(deployment.StoreFaults{})
	c.waitForOwner()
	for id, status := range statuses {
		if status == http.StatusOK {
			c.waitComplete(m, id, 15*time.Second)
		}
	}
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
	for _, w := range c.workers {
		for _, r := range w.Runs() {
			id, _, _ := strings.Cut(r.Task, ".")
			must.NotEq(t, http.StatusServiceUnavailable, statuses[id], must.Sprint("a refused job ran"))
		}
	}
}

// Guards against tasks that are lost or run twice while the store is unavailable for all members.
// Tasks continue, and the workers' reports of ended tasks are kept until the store is available
// again.
func TestStoreUnavailable(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	m := c.otherMember()
	c.submit(m, jobID(1), jobBody(2, 1000))
	c.store.SetFaults(deployment.StoreFaults{Down: true})
	n := 1
	c.waitFor(8*time.Second, "a submission is refused", func() bool {
		n++ // a job whose write was sent to the store can't be refused any more
		status, _ := c.call(m, http.MethodPost, jobID(n), jobBody(1, 50))
		return status == http.StatusServiceUnavailable
	})
	c.store.SetFaults(deployment.StoreFaults{})
	c.waitComplete(m, jobID(1), 10*time.Second)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
}

// A worker doesn't respond to orders and carries them out late. Guards against a second start of a
// task while a late order can still start it.
func TestDelayedOrders(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.submit(c.otherMember(), jobID(1), jobBody(1, 50))
	c.workers[0].SetOrderDelay(2 * time.Second)
	c.submit(c.otherMember(), jobID(2), jobBody(4, 300))
	c.waitComplete(c.otherMember(), jobID(2), 20*time.Second)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
}

// Guards against rows of other writers, or rows that can't be decoded, that keep a member from using
// the valid worker entries.
func TestInvalidStoreRows(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.store.PutRaw("servers", "", "broken", []byte{0xff, 0x00, '{'})
	c.store.Put("servers", "", "partial", map[string]any{"backend": "sorting", "addr": 17})
	c.store.Put("servers", "", "unknown", map[string]any{
		"backend": "sorting", "addr": "127.0.0.1:1", "state": "odd", "capacity": map[string]int{"cpu": 1}, "born": 1,
	})
	c.store.PutRaw("op", "", "wave/1", []byte("{"))
	c.submit(c.otherMember(), jobID(1), jobBody(2, 50))
	c.waitComplete(c.otherMember(), jobID(1), 5*time.Second)
}

// Guards against members that end, or stop following the list of workers, because of an odd entry of another
// writer, and against the use of a worker that can't exist.
func TestOddWorkerEntriesCostOnlyThemselves(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	owner := c.waitForOwner()
	entry := func(changed, value string) []byte {
		fields := map[string]string{
			"backend": `"sorting"`, "addr": `"127.0.0.1:1"`, "zone": `"z1"`, "state": `"ready"`, "capacity": `{"cpu":64000,"memMb":1024,"gpu":0}`,
			"labels": `["a"]`, "machine": `"odd"`, "born": `1700000000000`, changed: value,
		}
		var text []string
		for name, v := range fields {
			text = append(text, strconv.Quote(name)+":"+v)
		}
		return []byte("{" + strings.Join(text, ",") + "}")
	}
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for i, odd := range [][2]string{
		{"addr", `"127.0.0.1:99999"`},
		{"addr", `"127.0.0.1:0"`},
		{"addr", `"127.0.0.1"`},
		{"addr", `"127.0.0.1:80/x?y#"`},
		{"capacity", `{"cpu":9223372036854775807,"memMb":9223372036854775807,"gpu":9223372036854775807}`},
		{"capacity", `{"cpu":-5,"memMb":-5,"gpu":0}`},
		{"born", `9223372036854775807`},
		{"born", `1e400`},
		{"zone", `""`},
		{"other", deep},
		{"labels", deep},
	} {
		c.store.PutRaw("servers", "", fmt.Sprintf("odd-%d", i), entry(odd[0], odd[1]))
	}
	later := c.addWorker("z1")
	c.waitFor(5*time.Second, "the owner uses a worker that registers after the odd entries", func() bool {
		pool := owner.Dump().Pools["sorting"]
		loaded := pool.Schedule != nil
		return loaded && slices.ContainsFunc(pool.Schedule.Workers, func(w schedule.WorkerDump) bool { return w.ID == fleet.InstanceID(later.ID) })
	})
	must.Eq(t, 2, owner.Dump().Pools["sorting"].KnownWorkers)
	c.submit(c.otherMember(), jobID(1), jobBody(4, 50))
	c.waitComplete(c.otherMember(), jobID(1), 5*time.Second)
}

// Guards against a planned stop that keeps its pool until the owner lease expires, or that leaves
// calls without a response.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	owner, m := c.waitForOwner(), c.otherMember()
	c.submit(m, jobID(1), jobBody(2, 1500))
	stopped := make(chan struct{})
	go func() {
		owner.Shutdown()
		close(stopped)
	}()
	c.waitFor(2*time.Second, "the other member owns the pool", func() bool { return len(m.Dump().Pools) > 0 })
	status, _ := c.call(owner, http.MethodPost, jobID(2), jobBody(1, 50))
	must.Eq(t, http.StatusOK, status, must.Sprint("a stopping member must still forward calls"))
	<-stopped
	owner.stopped = true
	c.waitComplete(m, jobID(1), 10*time.Second)
	c.waitComplete(m, jobID(2), 10*time.Second)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
}

// Guards against a maintenance wave that takes more machines down than its limit, ends long-running
// tasks instead of moving them one after the other, or is not complete when all machines are done.
func TestMaintenanceWave(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 4)
	m := c.otherMember()
	longRunning := `{"spec":"lasts","steps":[{"count":3,"cpu":500,"memMb":100,"longRunning":true,"maxPerServer":1,"mayMiss":1}]}`
	c.submit(m, jobID(1), longRunning)
	c.store.Put("op", "", "wave/1", map[string]any{"wave": 1, "machines": []string{"m0", "m1", "m2", "m3"}, "durationS": 10, "cap": 2})
	c.waitFor(25*time.Second, "the wave is complete", func() bool {
		text, _ := c.store.Get("status", "", "wave/1")
		return string(text) == `{"state":"complete"}`
	})
	ids, maxDown := c.machines.Maintained()
	must.Len(t, 4, ids)
	must.LessEq(t, 2, maxDown)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
	for _, w := range c.workers {
		for _, r := range w.Runs() {
			must.NotEq(t, "lost", r.EndReason, must.Sprint("maintenance ended a running task"))
		}
	}
}

// Guards against tasks of a queue with an adviser that run on workers that the adviser does not allow.
func TestAdvisedQueue(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 3)
	c.adviser.Allowed = []string{"w1"}
	c.submit(c.otherMember(), "advised/"+jobID(1), jobBody(3, 100))
	c.waitComplete(c.otherMember(), "advised/"+jobID(1), 10*time.Second)
	must.Len(t, 3, c.workers[1].Runs())
}

// Guards against crashes of workers under a task that are forgotten when the pool changes its owner,
// so that the task crashes workers without end.
func TestCrashesOfWorkersAreCountedAcrossOwners(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 4)
	for _, w := range c.workers {
		w.Downtime = 600 * time.Millisecond
	}
	c.submit(c.members[0], jobID(1), `{"spec":"20 crash","steps":[{"count":1,"cpu":500,"memMb":100,"estMs":100}]}`)
	c.waitFor(10*time.Second, "the task has crashed two workers", func() bool { return c.crashes() >= 2 })
	owner := c.waitForOwner()
	owner.Close()
	owner.stopped = true
	c.submit(c.otherMember(), jobID(2), jobBody(4, 100))
	c.waitFor(30*time.Second, "job 1 is shown as failed", func() bool {
		_, answer := c.call(c.otherMember(), http.MethodGet, jobID(1), "")
		return answer["state"] == "failed" || c.crashes() > 5
	})
	_, answer := c.call(c.otherMember(), http.MethodGet, jobID(1), "")
	must.StrContains(t, fmt.Sprint(answer["detail"]), "task "+jobID(1)+".0.0.0 crashed")
	must.LessEq(t, 5, c.crashes(), must.Sprint("a task under which three workers have crashed may crash two more"))
	c.waitComplete(c.otherMember(), jobID(2), 10*time.Second)
}

// crashes returns the number of runs that were lost when their worker crashed.
func (c *cluster) crashes() int {
	n := 0
	for _, w := range c.workers {
		for _, r := range w.Runs() {
			if r.EndReason == "lost" {
				n++
			}
		}
	}
	return n
}

// Guards against starts on a worker whose registration shows less capacity than before, with members
// and the stand-ins.
func TestNoStartOnShrunkWorker(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	m := c.otherMember()
	w := c.workers[0]
	c.submit(m, jobID(1), jobBody(8, 2500))
	c.waitFor(5*time.Second, "all tasks run", func() bool { return len(w.Runs()) == 8 })
	w.SetCapacity(1000)
	c.waitFor(5*time.Second, "the owner knows the capacity", func() bool {
		workers := c.waitForOwner().Dump().Pools["sorting"].Schedule.Workers
		return len(workers) == 1 && workers[0].CPUOf == 1000
	})
	c.submit(m, jobID(2), jobBody(1, 50))
	c.waitComplete(m, jobID(2), 10*time.Second)
	runs := w.Runs()
	last := runs[len(runs)-1]
	beside := 0
	for _, r := range runs[:8] {
		if r.EndedAt.IsZero() || r.EndedAt.After(last.StartedAt) {
			beside++
		}
	}
	must.LessEq(t, 1, beside, must.Sprint("two tasks of half a core fit"))
}

// Guards against a row that can't be decoded and keeps each member that takes the pool over, or the
// fleet, from serving: here a job, the progress of a job, the known workers and a wave.
func TestUndecodableRowCostsOnlyItsJob(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0, 1)
	c.store.PutRaw("jobs", "sorting", jobID(1), []byte(`{"id":`))
	c.store.Put("jobs", "sorting", jobID(2), map[string]any{"id": jobID(2), "queue": "sort", "steps": []map[string]int{{"count": 1}}})
	c.store.PutRaw("progress", "sorting", jobID(2), []byte(`{"done":["0.0"]}`))
	c.store.PutRaw("workers", "sorting", "known", []byte("[]"))
	c.store.PutRaw("waves", "~fleet", "1", []byte("["))
	c.members = append(c.members, c.startWithUnknownCPU("member-0"))
	m := c.members[0]
	c.submit(m, jobID(3), jobBody(2, 50))
	c.waitComplete(m, jobID(3), 5*time.Second)
	for n := range 2 {
		status, answer := c.call(m, http.MethodGet, jobID(n+1), "")
		must.Eq(t, http.StatusServiceUnavailable, status, must.Sprintf("job %d was accepted, and its state is not known: %v", n+1, answer))
		must.StrContains(t, fmt.Sprint(answer["detail"]), "can't be read")
	}
	c.store.Put("op", "", "wave/2", map[string]any{"wave": 2, "machines": []string{"m0"}, "durationS": 10, "cap": 1})
	c.waitFor(20*time.Second, "the wave is complete", func() bool {
		text, _ := c.store.Get("status", "", "wave/2")
		return string(text) == `{"state":"complete"}`
	})
}

// Guards against a job that the store does not take, which keeps all other commits of its pool from
// succeeding at one member after the other.
func TestOversizedJobCostsOnlyItself(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	m := c.otherMember()
	step := fmt.Sprintf(`{"count":1,"cpu":10,"requires":%q}`, strings.Repeat("x", 1500))
	body := `{"spec":"1","steps":[` + strings.TrimSuffix(strings.Repeat(step+",", 60), ",") + `]}`
	status, answer := c.call(m, http.MethodPost, jobID(1), body)
	must.Eq(t, http.StatusBadRequest, status)
	must.StrContains(t, fmt.Sprint(answer["detail"]), "accepted")
	c.submit(m, jobID(2), jobBody(1, 50))
	c.waitComplete(m, jobID(2), 5*time.Second)
}
