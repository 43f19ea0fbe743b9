package deployment_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"citronknot/standin/deployment"
)

// Guards against a stand-in that can't show failed gangs: several members fail in one run, in the next one only
// one of them, and then all are done; a member without the others ends alone.
func TestGangMembersEndTogether(t *testing.T) {
	gangs := &deployment.Gangs{Wait: 100 * time.Millisecond, Spread: 20 * time.Millisecond, Seed: 1}
	var store deployment.Store
	var workers []*deployment.Worker
	for _, id := range []string{"a", "b"} {
		w := &deployment.Worker{ID: id, CPU: 16000, Store: &store, Gangs: gangs}
		must.NoError(t, w.Start())
		t.Cleanup(w.Crash)
		workers = append(workers, w)
	}
	spec := deployment.GangSpec(10*time.Millisecond, 3, 2, 1)
	start := func(run int, tasks ...string) {
		for i, task := range tasks {
			w := workers[i%len(workers)]
			rw := httptest.NewRecorder()
			body := map[string]any{"task": task, "run": run, "spec": spec, "untilMs": 1 << 40, "fence": 1}
			w.ServeHTTP(rw, httptest.NewRequest("POST", "/run-start", jsonBody(t, body)))
			must.Eq(t, 200, rw.Code)
		}
	}
	// ends returns how many members of a run ended for each reason, once all have.
	ends := func(run, members int) map[string]int {
		out := map[string]int{}
		must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.Gap(time.Millisecond), wait.BoolFunc(func() bool {
			clear(out)
			ended := 0
			for _, w := range workers {
				for _, r := range w.Runs() {
					if r.Run == run && r.EndReason != "" {
						out[r.EndReason]++
						ended++
					}
				}
			}
			return ended == members
		})))
		return out
	}
	all := []string{"j.0.0.0", "j.0.0.1", "j.0.0.2"}
	start(1, all...)
	must.Eq(t, map[string]int{"failed": 2, "broken": 1}, ends(1, 3))
	start(2, all[0])
	must.Eq(t, map[string]int{"alone": 1}, ends(2, 1))
	start(3, all...)
	must.Eq(t, map[string]int{"failed": 1, "broken": 2}, ends(3, 3))
	start(4, all...)
	must.Eq(t, map[string]int{"done": 3}, ends(4, 3))
	must.Eq(t, 2, deployment.FailedRuns(workers, "j"))
	must.SliceEmpty(t, deployment.DuplicateRuns(workers))
	must.Less(t, time.Second, deployment.LongestWait(workers, "j", workers[0].Runs()[0].StartedAt, time.Now()))
}

// jsonBody returns a body with a value as JSON.
func jsonBody(t *testing.T, v any) io.Reader {
	t.Helper()
	text, err := json.Marshal(v)
	must.NoError(t, err)
	return bytes.NewReader(text)
}
