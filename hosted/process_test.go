package hosted_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/standin/deployment"
)

func TestJobThroughAnyMember(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 2)
	s.submit(s.other(), jobID(1), `{"spec":"100","steps":[{"count":3,"cpu":500,"memMb":10,"estMs":100},{"count":2,"cpu":500,"memMb":10,"estMs":100,"after":[0]}]}`)
	for _, m := range s.members {
		s.complete(m, jobID(1), 5*time.Second)
	}
	must.SliceEmpty(t, deployment.Doubled(s.workers))
}

func TestAnswersToCallers(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 1)
	m := s.other()
	s.submit(m, jobID(1), tasks(1, 50))
	long := `{"spec":"` + strings.Repeat("x", 10<<20) + `","steps":[{"count":1}]}`
	for _, c := range []struct {
		name, method, id, body string
		status                 int
	}{
		{"the same job again", http.MethodPost, jobID(1), tasks(1, 50), http.StatusOK},
		{"an unknown job", http.MethodGet, jobID(99), "", http.StatusGone},
		{"cancelling an unknown job", http.MethodDelete, jobID(99), "", http.StatusGone},
		{"an id that is none", http.MethodGet, "xyz", "", http.StatusGone},
		{"handing in under an id that is none", http.MethodPost, "xyz", tasks(1, 50), http.StatusBadRequest},
		{"the waiting jobs", http.MethodGet, "", "", http.StatusOK},
		{"no JSON", http.MethodPost, jobID(2), "{", http.StatusBadRequest},
		{"no steps", http.MethodPost, jobID(2), `{"spec":"1"}`, http.StatusBadRequest},
		{"a negative count", http.MethodPost, jobID(2), `{"spec":"1","steps":[{"count":-1}]}`, http.StatusBadRequest},
		{"a huge count", http.MethodPost, jobID(2), `{"spec":"1","steps":[{"count":2000000000}]}`, http.StatusBadRequest},
		{"a cycle", http.MethodPost, jobID(2), `{"spec":"1","steps":[{"count":1,"after":[1]},{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		{"a large body", http.MethodPost, jobID(2), long, http.StatusRequestEntityTooLarge},
	} {
		status, out := s.call(m, c.method, c.id, c.body)
		must.Eq(t, c.status, status, must.Sprintf("%s: %v", c.name, out))
	}
	status, _ := s.call(m, http.MethodGet, jobID(2), "")
	must.Eq(t, http.StatusGone, status, must.Sprint("a refused job does not exist"))
	s.complete(m, jobID(1), 5*time.Second)
}

func TestCancelStopsTasks(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 1)
	s.submit(s.other(), jobID(1), tasks(2, 60_000))
	s.until(5*time.Second, "both tasks run", func() bool { return len(s.workers[0].Runs()) == 2 })
	status, out := s.call(s.other(), http.MethodDelete, jobID(1), "")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "cancelled", out["state"])
	s.until(3*time.Second, "both are stopped", func() bool {
		for _, r := range s.workers[0].Runs() {
			if r.How != "stopped" {
				return false
			}
		}
		return true
	})
}

// The owner crashes while tasks run: they run on under their leases, and the next owner takes
// them over. Nothing runs twice, and nothing is lost.
func TestOwnerCrashes(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 2)
	m := s.other()
	for n := range 4 {
		s.submit(m, jobID(n), tasks(3, 2500))
	}
	s.until(5*time.Second, "tasks run", func() bool { return len(s.workers[0].Runs())+len(s.workers[1].Runs()) == 12 })
	owner := s.owner()
	owner.Close()
	owner.closed = true
	for n := range 4 {
		s.complete(s.other(), jobID(n), 20*time.Second)
	}
	must.SliceEmpty(t, deployment.Doubled(s.workers))
	must.Len(t, 12, append(s.workers[0].Runs(), s.workers[1].Runs()...), must.Sprint("no run was lost with its owner"))
}

// The store turns only the owner away: it keeps its pool through another member.
func TestOwnerCutFromTheStore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 2)
	owner := s.owner()
	m := s.other()
	s.submit(m, jobID(1), tasks(1, 50))
	owner.cut.Store(true)
	s.submit(m, jobID(2), tasks(1, 50))
	s.complete(m, jobID(2), 8*time.Second)
	must.SliceEmpty(t, deployment.Doubled(s.workers))
}

// A worker is cut off while its tasks run: they start elsewhere only when their lease has
// ended.
func TestWorkerCutOff(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 2)
	s.submit(s.other(), jobID(1), tasks(6, 3000))
	s.until(5*time.Second, "tasks run", func() bool { return len(s.workers[0].Runs())+len(s.workers[1].Runs()) == 6 })
	s.workers[0].SetCut(true)
	s.workers[1].SetCut(len(s.workers[0].Runs()) == 0)
	s.complete(s.other(), jobID(1), 25*time.Second)
	must.SliceEmpty(t, deployment.Doubled(s.workers))
}

// Answers of the store are lost, and some writes are carried out late: each accepted job runs
// once, and none is refused that runs.
func TestStoreLosesAnswers(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 2)
	m := s.other()
	s.store.SetFaults(deployment.StoreFaults{LoseOneIn: 4, LateFor: 1500 * time.Millisecond})
	accepted := map[string]int{}
	for n := range 8 {
		status, _ := s.call(m, http.MethodPost, jobID(n), tasks(1, 100))
		accepted[jobID(n)] = status
	}
	s.store.SetFaults(deployment.StoreFaults{})
	s.owner()
	for id, status := range accepted {
		if status == http.StatusOK {
			s.complete(m, id, 15*time.Second)
		}
	}
	must.SliceEmpty(t, deployment.Doubled(s.workers))
	for _, w := range s.workers {
		for _, r := range w.Runs() {
			id, _, _ := strings.Cut(r.Task, ".")
			must.NotEq(t, http.StatusServiceUnavailable, accepted[id], must.Sprint("a refused job ran"))
		}
	}
}

// While the store is down for everybody, tasks go on and their ends are kept until it is back.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 2)
	m := s.other()
	s.submit(m, jobID(1), tasks(2, 1000))
	s.store.SetFaults(deployment.StoreFaults{Down: true})
	n := 1
	s.until(8*time.Second, "a submission is refused", func() bool {
		n++ // one that was sent to the store can't be refused any more
		status, _ := s.call(m, http.MethodPost, jobID(n), tasks(1, 50))
		return status == http.StatusServiceUnavailable
	})
	s.store.SetFaults(deployment.StoreFaults{})
	s.complete(m, jobID(1), 10*time.Second)
	must.SliceEmpty(t, deployment.Doubled(s.workers))
}

// Orders are not answered and carried out late: tasks start elsewhere only when the late
// order can do nothing any more.
func TestOrdersCarriedOutLate(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 2)
	s.submit(s.other(), jobID(1), tasks(1, 50))
	s.workers[0].SetLate(2 * time.Second)
	s.submit(s.other(), jobID(2), tasks(4, 300))
	s.complete(s.other(), jobID(2), 20*time.Second)
	must.SliceEmpty(t, deployment.Doubled(s.workers))
}

// Entries of other writers and bytes that can't be read name no worker; the others hold.
func TestForeignEntries(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 1)
	s.store.PutRaw("servers", "", "broken", []byte{0xff, 0x00, '{'})
	s.store.Put("servers", "", "partial", map[string]any{"backend": "sorting", "addr": 17})
	s.store.Put("servers", "", "unknown", map[string]any{
		"backend": "sorting", "addr": "127.0.0.1:1", "state": "odd", "capacity": map[string]int{"cpu": 1}, "born": 1,
	})
	s.store.PutRaw("op", "", "wave/1", []byte("{"))
	s.submit(s.other(), jobID(1), tasks(2, 50))
	s.complete(s.other(), jobID(1), 5*time.Second)
}

// A planned stop hands the pool over at once and answers the calls that are in progress.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 1)
	owner, m := s.owner(), s.other()
	s.submit(m, jobID(1), tasks(2, 1500))
	stopped := make(chan struct{})
	go func() {
		owner.Shutdown()
		close(stopped)
	}()
	s.until(2*time.Second, "the other member owns the pool", func() bool { return len(m.Dump().Pools) > 0 })
	status, _ := s.call(owner, http.MethodPost, jobID(2), tasks(1, 50))
	must.Eq(t, http.StatusOK, status, must.Sprint("a member that stops still passes calls on"))
	<-stopped
	owner.closed = true
	s.complete(m, jobID(1), 10*time.Second)
	s.complete(m, jobID(2), 10*time.Second)
	must.SliceEmpty(t, deployment.Doubled(s.workers))
}

// A wave takes machines down within its bound, one after the other for tasks that last, and is
// said to be complete when all are done.
func TestWaveOfUpkeep(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 4)
	m := s.other()
	lasting := `{"spec":"lasts","steps":[{"count":3,"cpu":500,"memMb":100,"longRunning":true,"maxPerServer":1,"mayMiss":1}]}`
	s.submit(m, jobID(1), lasting)
	s.store.Put("op", "", "wave/1", map[string]any{"wave": 1, "machines": []string{"m0", "m1", "m2", "m3"}, "durationS": 10, "cap": 2})
	s.until(25*time.Second, "the wave is complete", func() bool {
		text, _ := s.store.Get("status", "", "wave/1")
		return string(text) == `{"state":"complete"}`
	})
	ids, most := s.machines.Upkept()
	must.Len(t, 4, ids)
	must.LessEq(t, 2, most)
	must.SliceEmpty(t, deployment.Doubled(s.workers))
	for _, w := range s.workers {
		for _, r := range w.Runs() {
			must.NotEq(t, "lost", r.How, must.Sprint("no task was cut by an upkeep"))
		}
	}
}

// A queue with an adviser runs its tasks where the adviser allows it.
func TestAdvisedQueue(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 3)
	s.adviser.Good = []string{"w1"}
	s.submit(s.other(), "advised/"+jobID(1), tasks(3, 100))
	s.complete(s.other(), "advised/"+jobID(1), 10*time.Second)
	must.Len(t, 3, s.workers[1].Runs())
}
