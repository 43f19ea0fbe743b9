package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"citronknot/caller"
	"citronknot/fleet"
)

// fixture is a Server behind net/http whose targets respond with the body of the request.
type fixture struct {
	caller.Server
	config    atomic.Pointer[fleet.Config]
	forwarded atomic.Int64
	url       string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{}
	f.config.Store(newTestConfig())
	a := &caller.Admission{Slots: func(fleet.PoolID) fleet.Slots { return 4 }}
	f.Config, f.Acquire, f.Log, f.Metrics = f.config.Load, a.Acquire, slog.New(slog.DiscardHandler), caller.NewMetrics()
	f.Forward = func(w http.ResponseWriter, r *http.Request, _ *caller.Request) (caller.Outcome, error) {
		f.forwarded.Add(1)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return caller.NotRun, &caller.Problem{Status: http.StatusBadGateway, Title: "no answer", Outcome: caller.NotRun}
		}
		_, _ = w.Write(body)
		return caller.Ran, nil
	}
	server := httptest.NewUnstartedServer(f.Handler())
	server.Config.MaxHeaderBytes = caller.MaxHeaderBytes
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func newTestConfig() *fleet.Config {
	return &fleet.Config{
		Pools: map[fleet.PoolID]fleet.Pool{"p": {ID: "p"}},
		Queues: map[fleet.QueueID]fleet.Queue{
			"keyed": {ID: "keyed", Pool: "p", Idempotent: true, DefaultDeadline: 5000, MaxDeadline: 30_000, MaxWaiting: 10},
			"open":  {ID: "open", Pool: "p", Idempotent: true, Open: true, DefaultDeadline: 5000, MaxDeadline: 30_000, MaxWaiting: 10},
			"once":  {ID: "once", Pool: "p", DefaultDeadline: 5000, MaxDeadline: 30_000, MaxWaiting: 10},
		},
		Teams: map[fleet.TeamID]fleet.Team{"a": {ID: "a"}, "b": {ID: "b"}},
		Keys:  map[fleet.KeyHash]fleet.Key{fleet.HashKey("secret"): {Hash: fleet.HashKey("secret"), Team: "a"}},
	}
}

type response struct {
	*http.Response
	body    string
	problem map[string]any // decoded body of a problem response
}

// send sends a request. The headers are pairs of name and value.
func (f *fixture) send(t *testing.T, method, path string, body io.Reader, headers ...string) (a response) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, f.url+path, body)
	must.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	a.Response, err = transport.RoundTrip(r)
	must.NoError(t, err)
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	a.body = string(b)
	if a.Header.Get("Content-Type") == "application/problem+json" {
		must.NoError(t, json.Unmarshal(b, &a.problem))
	}
	return a
}

const bearer = "Bearer secret"

func (f *fixture) sendToOnceQueue(t *testing.T) response {
	return f.send(t, "POST", "/v1/queues/once", strings.NewReader("body"), "Authorization", bearer, "Idempotency-Key", "k")
}

// Guards against invalid input that is accepted, reaches a target, or is refused without the
// field, the accepted values, the outcome not_run and a request id.
func TestInvalidInput(t *testing.T) {
	auth, key, deadline := caller.HeaderAuthorization, caller.HeaderIdempotencyKey, caller.HeaderDeadline
	tests := []struct {
		name    string
		method  string
		path    string
		headers []string
		status  int
		field   string
	}{
		{"unknown path", "POST", "/v2", nil, 404, "path"},
		{"method", "GET", "/v1/queues/open", nil, 405, "method"},
		{"unknown queue", "POST", "/v1/queues/none", []string{auth, bearer}, 404, "queue"},
		{"key missing", "POST", "/v1/queues/keyed", nil, 401, auth},
		{"key empty", "POST", "/v1/queues/keyed", []string{auth, ""}, 401, auth},
		{"key of another scheme", "POST", "/v1/queues/keyed", []string{auth, "Basic secret"}, 401, auth},
		{"key with a space", "POST", "/v1/queues/keyed", []string{auth, "Bearer secret x"}, 401, auth},
		{"key withdrawn", "POST", "/v1/queues/keyed", []string{auth, "Bearer old"}, 403, auth},
		{"key withdrawn, open queue", "POST", "/v1/queues/open", []string{auth, "Bearer old"}, 403, auth},
		{"key twice", "POST", "/v1/queues/keyed", []string{auth, bearer, auth, bearer}, 400, auth},
		{"no idempotency key", "POST", "/v1/queues/once", []string{auth, bearer}, 400, key},
		{"empty idempotency key", "POST", "/v1/queues/keyed", []string{auth, bearer, key, ""}, 400, key},
		{"idempotency key with a space", "POST", "/v1/queues/once", []string{auth, bearer, key, "a b"}, 400, key},
		{"long idempotency key", "POST", "/v1/queues/once", []string{auth, bearer, key, strings.Repeat("a", 129)}, 400, key},
		{"idempotency key twice", "POST", "/v1/queues/once", []string{auth, bearer, key, "a", key, "b"}, 400, key},
		{"deadline of zero", "POST", "/v1/queues/open", []string{deadline, "0"}, 400, deadline},
		{"deadline in the past", "POST", "/v1/queues/open", []string{deadline, "-5"}, 400, deadline},
		{"deadline not a number", "POST", "/v1/queues/open", []string{deadline, "+5"}, 400, deadline},
		{"deadline empty", "POST", "/v1/queues/open", []string{deadline, ""}, 400, deadline},
		{"deadline too long", "POST", "/v1/queues/open", []string{deadline, "30001"}, 400, deadline},
		{"deadline twice", "POST", "/v1/queues/open", []string{deadline, "5", deadline, "5"}, 400, deadline},
		{"large head", "POST", "/v1/queues/open", []string{"X-Large", strings.Repeat("a", 20<<10)}, 431, "request head"},
	}
	f := newFixture(t)
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a := f.send(t, tc.method, tc.path, strings.NewReader("body"), tc.headers...)
			must.Eq(t, tc.status, a.StatusCode)
			must.Eq[any](t, tc.field, a.problem["field"])
			must.NotNil(t, a.problem["accepted"])
			must.Eq[any](t, "not_run", a.problem["run"])
			must.Eq(t, "not_run", a.Header.Get(caller.HeaderRun))
			must.Eq(t, 24, len(a.Header.Get(caller.HeaderRequestID)))
			must.Eq[any](t, a.Header.Get(caller.HeaderRequestID), a.problem["request_id"])
		})
	}
	must.Eq(t, 0, f.forwarded.Load())
	a := f.send(t, "POST", "//v1/queues/open", nil)
	must.Eq(t, 24, len(a.Header.Get(caller.HeaderRequestID)))
}

// Guards against slow, short and oversized bodies that occupy a slot, or are refused without a
// reason.
func TestInvalidBody(t *testing.T) {
	tests := []struct {
		name   string
		length int
		body   string
		status int
	}{
		{"slow", 100, "slow", 408},
		{"slow after the first part", 20 << 10, strings.Repeat("a", 17<<10), 408},
		{"oversized", 65 << 20, "", 413},
	}
	f := newFixture(t)
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			must.NoError(t, err)
			defer conn.Close()
			must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			fmt.Fprintf(conn, "POST /v1/queues/open HTTP/1.1\r\nHost: x\r\nCitronknot-Deadline: 500\r\nContent-Length: %d\r\n\r\n%s", tc.length, tc.body)
			buffer := make([]byte, 4096)
			n, err := conn.Read(buffer)
			must.NoError(t, err)
			text := string(buffer[:n])
			must.StrHasPrefix(t, fmt.Sprintf("HTTP/1.1 %d ", tc.status), text)
			must.StrContains(t, text, `"run":"not_run"`)
			must.StrContains(t, text, `"field":"body"`)
		})
	}
	must.Eq(t, 1, f.forwarded.Load(), must.Sprint("only a request whose first part of the body arrived may reach a target"))
}

// Guards against a body that changes on its way to the target, at the sizes around the limit of
// the bytes read before admission.
func TestBodiesPassUnmodified(t *testing.T) {
	f := newFixture(t)
	for _, n := range []int{0, 1, 16<<10 - 1, 16 << 10, 16<<10 + 1, 1 << 20} {
		body := bytes.Repeat([]byte("0123456"), n/7+1)[:n]
		for _, r := range []io.Reader{bytes.NewReader(body), io.MultiReader(bytes.NewReader(body))} {
			a := f.send(t, "POST", "/v1/queues/open", r)
			must.Eq(t, string(body), a.body)
			must.Eq(t, "ran", a.Header.Get(caller.HeaderRun))
		}
	}
}

// Guards against a request that reaches a target although, while it waited, its key was
// withdrawn, was granted to another team, or could no longer be confirmed, or its queue was
// withdrawn.
func TestKeyIsCheckedAgainBeforeStart(t *testing.T) {
	hash := fleet.HashKey("secret")
	tests := []struct {
		name   string
		change func(f *fixture, c *fleet.Config)
		status int
	}{
		{"withdrawn", func(_ *fixture, c *fleet.Config) { c.Keys = nil }, 403},
		{"granted to another team", func(_ *fixture, c *fleet.Config) {
			c.Keys = map[fleet.KeyHash]fleet.Key{hash: {Hash: hash, Team: "b"}}
		}, 403},
		{"queue withdrawn", func(_ *fixture, c *fleet.Config) { c.Queues = nil }, 404},
		{"not confirmed", func(f *fixture, _ *fleet.Config) { f.ConfigFresh = func(fleet.Team) bool { return false } }, 503},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			acquire := f.Acquire
			f.Acquire = func(ctx context.Context, r *caller.Request) (func(caller.Outcome), error) {
				c := *f.config.Load()
				tc.change(f, &c)
				f.config.Store(&c)
				return acquire(ctx, r)
			}
			a := f.send(t, "POST", "/v1/queues/keyed", nil, "Authorization", bearer)
			must.Eq(t, tc.status, a.StatusCode)
			must.Eq[any](t, "not_run", a.problem["run"])
			must.Eq(t, 0, f.forwarded.Load())
		})
	}
}

// Guards against a claim that is not settled with the outcome, a response that is recorded in
// part, and a repeated request that runs again or gets a different response.
func TestClaimAndReplay(t *testing.T) {
	tests := []struct {
		name     string
		length   string // announced Content-Length
		parts    []int  // bytes in each write
		panics   bool
		err      error
		outcome  caller.Outcome
		recorded bool
	}{
		{name: "small", parts: []int{16 << 10}, outcome: caller.Ran, recorded: true},
		{name: "too large", parts: []int{16 << 10, 1}, outcome: caller.Ran},
		{name: "short of its length", length: "10", parts: []int{1}, outcome: caller.Ran},
		{name: "broken off", parts: []int{1}, panics: true, outcome: caller.Unknown},
		{name: "not run", err: &caller.Problem{Status: 502, Outcome: caller.NotRun}, outcome: caller.NotRun},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			outcomes, answers := make(chan caller.Outcome, 2), make(chan *caller.Response, 2)
			f.Claim = func(context.Context, *caller.Request) (func(caller.Outcome, *caller.Response), error) {
				return func(o caller.Outcome, a *caller.Response) { outcomes <- o; answers <- a }, nil
			}
			f.Forward = func(w http.ResponseWriter, _ *http.Request, _ *caller.Request) (caller.Outcome, error) {
				if tc.length != "" {
					w.Header().Set("Content-Length", tc.length)
				}
				for _, n := range tc.parts {
					w.WriteHeader(http.StatusCreated)
					_, _ = w.Write(make([]byte, n))
				}
				if tc.panics {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				return tc.outcome, tc.err
			}
			first := f.sendToOnceQueue(t)
			must.Eq(t, tc.outcome, <-outcomes)
			got := <-answers
			must.Eq(t, 0, len(outcomes))
			must.Eq(t, tc.recorded, got != nil)
			if !tc.recorded {
				return
			}
			f.Claim = func(context.Context, *caller.Request) (func(caller.Outcome, *caller.Response), error) {
				return nil, &caller.RecordedError{Response: *got}
			}
			f.Forward = nil
			a := f.sendToOnceQueue(t)
			must.Eq(t, http.StatusCreated, a.StatusCode)
			must.Eq(t, first.body, a.body)
			must.Eq(t, "ran", a.Header.Get(caller.HeaderRun))
			must.Eq(t, "true", a.Header.Get(caller.HeaderRepeat))
			must.Eq(t, 24, len(a.Header.Get(caller.HeaderRequestID)))
		})
	}
}

// Guards against a request that fails on every target and is tried without limit, loses its body
// on a retry, or is claimed more than once, and against outcomes that are not counted.
func TestFailedStartsAreBounded(t *testing.T) {
	f := newFixture(t)
	claims, settles := 0, 0
	f.Claim = func(context.Context, *caller.Request) (func(caller.Outcome, *caller.Response), error) {
		claims++
		return func(o caller.Outcome, _ *caller.Response) {
			settles++
			must.Eq(t, caller.NotRun, o)
		}, nil
	}
	var bodies []string
	f.Forward = func(_ http.ResponseWriter, r *http.Request, _ *caller.Request) (caller.Outcome, error) {
		b, _ := io.ReadAll(r.Body)
		bodies = append(bodies, string(b))
		return caller.NotRun, &caller.Problem{Status: 502, Outcome: caller.NotRun, FailedStarts: 1}
	}
	a := f.sendToOnceQueue(t)
	must.Eq(t, http.StatusServiceUnavailable, a.StatusCode)
	must.Eq[any](t, "not_run", a.problem["run"])
	must.Eq(t, []string{"body", "body", "body"}, bodies)
	must.Eq(t, []int{1, 1}, []int{claims, settles})
	registry := prometheus.NewRegistry()
	registry.MustRegister(f.Metrics.Collectors()...)
	families, err := registry.Gather()
	must.NoError(t, err)
	labels := families[1].GetMetric()[0].GetLabel()
	must.Eq(t, []string{"not_run", "set_aside"}, []string{labels[0].GetValue(), labels[1].GetValue()})
}

// FuzzRequestHead guards against a head that crashes ReadHead, is refused with another error type
// than *Problem or without a field, or is accepted with values out of range.
func FuzzRequestHead(f *testing.F) {
	f.Add("once", "Bearer secret", "k", "100")
	f.Add("open", "", "", "")
	f.Add("keyed", "Bearer  x", "\x7f", "99999999999999999999")
	c := newTestConfig()
	f.Fuzz(func(t *testing.T, queue, auth, key, deadline string) {
		r := &http.Request{Method: http.MethodPost, Header: http.Header{
			"Authorization": {auth}, "Idempotency-Key": {key}, "Citronknot-Deadline": {deadline},
		}}
		r.SetPathValue("queue", queue)
		q, err := caller.ReadHead(r, c, "id", 1000)
		var p *caller.Problem
		if err != nil {
			must.True(t, errors.As(err, &p))
			must.Eq(t, caller.NotRun, p.Outcome)
			must.NotEq(t, "", p.Field)
			must.Between(t, 400, p.Status, 499)
			return
		}
		must.Between(t, 1001, q.Deadline, 31_000)
		must.Between(t, 1, len(q.IdempotencyKey), 128)
		must.Eq(t, "Bearer secret", auth)
		must.Eq(t, "a", q.Team)
	})
}
