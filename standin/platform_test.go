package standin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/rowstore"
	"citronknot/standin"
)

// post sends a POST request to p and returns the status and the body of the response. The
// status is 0 if the response was lost.
func post(p *standin.Platform, path, body string) (status int, text string) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // a panic value
			panic(v)
		}
	}()
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// Guards against a simulated fault with another effect than the documented one: the tests of
// the platform's clients would then pass for the wrong reason.
func TestPlatformFaults(t *testing.T) {
	const write = `{"writes":[{"table":"t","key":"k","value":1}]}`
	synctest.Test(t, func(t *testing.T) {
		p := &standin.Platform{}
		p.SetFaults(standin.Faults{LoseCommits: true, OneIn: 2})
		status, _ := post(p, "/v1/transactions", write)
		must.Eq(t, 200, status)
		status, _ = post(p, "/v1/transactions", write)
		must.Eq(t, 0, status)
		must.Eq(t, 1, p.Writes.Load())

		p.SetFaults(standin.Faults{LoseResponses: true})
		status, _ = post(p, "/v1/transactions", write)
		must.Eq(t, 0, status)
		must.Eq(t, 2, p.Writes.Load())

		p.SetFaults(standin.Faults{CommitDelayMS: 500})
		status, _ = post(p, "/v1/transactions", write)
		must.Eq(t, 0, status)
		must.Eq(t, 2, p.Writes.Load())
		time.Sleep(time.Second)
		synctest.Wait()
		must.Eq(t, 3, p.Writes.Load())

		p.SetFaults(standin.Faults{WritesPerS: 1, ReadsPerS: 1})
		for _, want := range []int{200, 429} {
			status, _ = post(p, "/v1/transactions", write)
			must.Eq(t, want, status)
			status, _ = post(p, "/v1/reads", `{}`)
			must.Eq(t, want, status)
		}
		must.Eq(t, 4, p.Writes.Load())

		p.SetFaults(standin.Faults{ListDelayMS: 2000})
		p.SetInstance(rowstore.WireInstance{ID: "i", State: "live"})
		_, text := post(p, "/v1/instances", "")
		must.StrNotContains(t, text, "live")
		time.Sleep(2 * time.Second)
		_, text = post(p, "/v1/instances", "")
		must.StrContains(t, text, "live")
	})
}
