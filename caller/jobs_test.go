package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/caller"
	"citronknot/fleet"
	"citronknot/job"
)

const (
	jobsPath = "/v1/queues/sort/jobs/5c0e7a21d94b36f8"
	validJob = `{"steps":[{"count":1}]}`
)

// newJobsHandler returns a handler whose calls all end with the answer a, and a pointer to the
// last submitted job.
func newJobsHandler(a job.Answer) (http.Handler, *job.Job) {
	got := &job.Job{}
	catalog := &job.Catalog{
		Version: 7, MaxBodyBytes: 1000, Keys: map[fleet.KeyHash]fleet.TeamID{fleet.HashKey("secret"): "alpha"},
		Queues: map[fleet.QueueID]*job.Queue{"sort": {ID: "sort", Pool: "sorting"}, "open": {ID: "open", Pool: "sorting", Open: true}},
	}
	f := func(context.Context, caller.JobCall) job.Answer { return a }
	j := &caller.Jobs{
		Catalog: func() *job.Catalog { return catalog }, Cancel: f, State: f, CountWaiting: f,
		Submit: func(_ context.Context, _ caller.JobCall, j *job.Job) job.Answer { *got = *j; return a },
	}
	return j.Handler(), got
}

// Guards against an invalid call on a job that is carried out, and against a response that does
// not say whether the call took effect.
func TestJobCalls(t *testing.T) {
	done := job.Answer{Outcome: job.OutcomeDone, State: job.Queued, Pending: 3}
	for _, tc := range []struct {
		name, method, path, key, body string
		answer                        job.Answer
		status                        int
		run                           caller.Outcome
		contains                      string
	}{
		{"submit", "PUT", jobsPath, "secret", validJob, done, 200, caller.Ran, `"state":"queued"`},
		{"read", "GET", jobsPath, "secret", "", done, 200, caller.Ran, `"pool":"sorting"`},
		{"cancel", "DELETE", jobsPath, "secret", "", done, 200, caller.Ran, `"id":"5c0e7a21d94b36f8"`},
		{"count", "GET", "/v1/queues/sort", "secret", "", done, 200, caller.Ran, `"waiting":3`},
		{"open queue", "GET", "/v1/queues/open", "", "", done, 200, caller.Ran, `"waiting":3`},
		{"no key", "GET", jobsPath, "", "", done, 401, caller.NotRun, "key missing"},
		{"wrong key", "PUT", jobsPath, "other", validJob, done, 401, caller.NotRun, "key missing"},
		{"no queue", "GET", "/v1/queues/none", "secret", "", done, 404, caller.NotRun, "queue"},
		{"bad id", "PUT", "/v1/queues/sort/jobs/12", "secret", validJob, done, 400, caller.NotRun, "16 hexadecimal"},
		{"unknown field", "PUT", jobsPath, "secret", `{"steps":[{"count":1,"colour":2}]}`, done, 400, caller.NotRun, "colour"},
		{"other team", "PUT", jobsPath, "secret", `{"team":"beta","steps":[{"count":1}]}`, done, 400, caller.NotRun, "the team of the key"},
		{"negative count", "PUT", jobsPath, "secret", `{"steps":[{"count":-1}]}`, done, 400, caller.NotRun, "count"},
		{"no JSON", "PUT", jobsPath, "secret", "{", done, 400, caller.NotRun, "not accepted"},
		{"10 MB", "PUT", jobsPath, "secret", strings.Repeat("x", 10<<20), done, 413, caller.NotRun, "too large"},
		{"no such job", "GET", jobsPath, "secret", "", job.Answer{Outcome: job.OutcomeNoSuchJob}, 404, caller.NotRun, "no such job"},
		{"refused", "PUT", jobsPath, "secret", validJob, job.Answer{Outcome: job.OutcomeNotAccepted, RetryAfter: 1200}, 503, caller.NotRun, "no effect"},
		{"unknown", "PUT", jobsPath, "secret", validJob, job.Answer{Outcome: job.OutcomeUnknown}, 504, caller.Unknown, "not known"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h, got := newJobsHandler(tc.answer)
			r := httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body))
			if tc.key != "" {
				r.Header.Set(caller.HeaderAuthorization, "Bearer "+tc.key)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			must.Eq(t, tc.status, w.Code, must.Sprint(w.Body.String()))
			must.Eq(t, string(tc.run), w.Header().Get(caller.HeaderRun))
			must.StrContains(t, w.Body.String(), tc.contains)
			must.Eq(t, tc.name == "refused", w.Header().Get("Retry-After") == "2")
			if tc.method == "PUT" && tc.status == 200 {
				must.Eq(t, "alpha", got.Team)
			}
			must.Eq(t, tc.method == "PUT" && tc.status != 400 && tc.status != 401 && tc.status != 413, got.Queue == "sort")
		})
	}
}

// Guards against an invalid deadline that is treated as no deadline.
func TestJobCallDeadline(t *testing.T) {
	for value, status := range map[string]int{"1500": 200, "0": 400, "-1": 400, "soon": 400, "99999999999": 400} {
		h, _ := newJobsHandler(job.Answer{Outcome: job.OutcomeDone})
		r := httptest.NewRequest(http.MethodGet, "/v1/queues/open", nil)
		r.Header.Set(caller.HeaderDeadline, value)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		must.Eq(t, status, w.Code, must.Sprint(value))
	}
}
