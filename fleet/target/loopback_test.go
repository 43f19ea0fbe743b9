package target_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/fleet/target"
	"citronknot/standin"
)

// loopback is an entry server in front of targets, all over TCP.
type loopback struct {
	dispatcher *target.Dispatcher
	entry      *httptest.Server
	client     *http.Client
	ids        atomic.Int64
}

func startTarget(t testing.TB, h http.Handler) fleet.Instance {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnContext = standin.ConnContext
	if st, ok := h.(*standin.Target); ok {
		s.Listener = st.Listener(s.Listener)
	}
	s.Start()
	t.Cleanup(s.Close)
	addr := s.Listener.Addr().String()
	return fleet.Instance{ID: fleet.InstanceID(addr), Address: addr, Slots: 8, Connections: 64}
}

// start serves callers; their deadline is given by the header Deadline, 5 s if absent.
func start(t testing.TB, targets ...fleet.Instance) *loopback {
	t.Helper()
	snapshot := &target.Snapshot{Targets: targets, MaxEjected: 1}
	l := &loopback{dispatcher: &target.Dispatcher{Serving: func(fleet.PoolID) *target.Snapshot { return snapshot }}}
	l.entry = httptest.NewUnstartedServer(http.HandlerFunc(l.serve))
	l.entry.Start()
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	t.Cleanup(func() {
		l.client.CloseIdleConnections()
		l.entry.Close()
		l.dispatcher.Close()
	})
	return l
}

func (l *loopback) serve(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.Header.Get("Deadline"))
	if err != nil {
		d = 5 * time.Second
	}
	id := r.Header.Get("Id")
	if id == "" {
		id = fmt.Sprint(l.ids.Add(1))
	}
	err = l.dispatcher.Forward(w, r, target.Request{
		ID: fleet.RequestID(id), Pool: "p",
		Idempotent: r.Header.Get("Idempotent") != "", Deadline: l.dispatcher.Clock.Now() + clock.Of(d),
	})
	var e *target.Error
	if errors.As(err, &e) {
		w.Header().Set("Sent", fmt.Sprint(e.Sent))
		w.Header().Set("Why", err.Error())
		w.WriteHeader(http.StatusBadGateway)
	}
}

// A target may answer before it has read the whole body. The caller, which still sends, must
// get that response at once.
func TestEarlyResponse(t *testing.T) {
	l := start(t, startTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex() // answers without waiting for the body
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_, _ = w.Write(make([]byte, 100<<10))
	})))
	pr, pw := io.Pipe()
	go func() { _, _ = pw.Write(make([]byte, 200<<10)) }()
	defer pw.Close()
	r, err := http.NewRequest(http.MethodPost, l.entry.URL, pr)
	must.NoError(t, err)
	begin := time.Now()
	resp, err := l.client.Do(r)
	must.NoError(t, err)
	n, _ := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	test.Eq(t, 100<<10, n)
	test.Eq(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	test.Less(t, 3*time.Second, time.Since(begin))
}

// A caller that stops sending its body must not hold its request past the deadline, and a
// request of which no part was sent did not run.
func TestStalledRequestBody(t *testing.T) {
	l := start(t, startTarget(t, &standin.Target{Slots: 8}))
	for size, sent := range map[int]string{1000: "false", 200 << 10: "true"} {
		pr, pw := io.Pipe()
		go func() { _, _ = pw.Write(make([]byte, size)) }()
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, l.entry.URL, pr)
		r.Header.Set("Deadline", "200ms")
		resp, err := l.client.Do(r)
		must.NoError(t, err)
		resp.Body.Close()
		test.Eq(t, sent, resp.Header.Get("Sent"))
		cancel()
		pw.Close()
	}
}

// A streamed request must leave its caller's connection usable for the next one.
func TestConnectionAfterStream(t *testing.T) {
	l := start(t, startTarget(t, &standin.Target{Slots: 8}))
	body := strings.Repeat("x", 200<<10)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for range 100 {
				resp, err := l.client.Post(l.entry.URL, "text/plain", strings.NewReader(body))
				must.NoError(t, err)
				n, err := io.Copy(io.Discard, resp.Body)
				must.NoError(t, err)
				resp.Body.Close()
				must.Eq(t, http.StatusOK, resp.StatusCode)
				must.Greater(t, 200<<10, n)
			}
		})
	}
	wait.Wait()
}

// Two requests whose responses are swapped must both be told that they may have run.
func TestSwappedResponses(t *testing.T) {
	st := &standin.Target{Slots: 8, Work: 20 * time.Millisecond}
	l := start(t, startTarget(t, st))
	st.SetFaults(standin.TargetFaults{Crossed: true})
	var wait sync.WaitGroup
	for range 2 {
		wait.Go(func() {
			resp, err := l.client.Post(l.entry.URL, "text/plain", strings.NewReader("body"))
			must.NoError(t, err)
			resp.Body.Close()
			test.Eq(t, "true", resp.Header.Get("Sent"))
		})
	}
	wait.Wait()
	test.Len(t, 2, st.Runs())
}

// Under changing failures, every caller must get its own complete response, and "not run" and
// "at most once" must be true.
func TestStorm(t *testing.T) {
	const workers, each, seed = 12, 150, 7
	var targets []*standin.Target
	var instances []fleet.Instance
	for range 4 {
		st := &standin.Target{Slots: 3, Work: time.Millisecond, Connections: 6}
		targets = append(targets, st)
		instances = append(instances, startTarget(t, st))
	}
	l := start(t, instances...)
	faults := []standin.TargetFaults{ // half of the changes end the failures
		{}, {}, {}, {}, {}, {}, {}, {}, {FailAll: true}, {Crossed: true}, {Late: true}, {Truncate: true}, {Drain: true}, {RebootMS: 30}, {Silent: true}, {DelayMS: 20},
	}
	var wait sync.WaitGroup
	var answered atomic.Int32
	type said struct {
		outcome    string
		idempotent bool
	}
	var mu sync.Mutex
	told := map[string]said{}
	for k := range workers {
		random := rand.New(rand.NewPCG(seed, uint64(k)))
		wait.Go(func() {
			for n := range each {
				if random.IntN(20) == 0 {
					targets[random.IntN(len(targets))].SetFaults(faults[random.IntN(len(faults))])
				}
				id := fmt.Sprintf("%d-%d", k, n)
				text := strings.Repeat(id+",", 1+random.IntN(20_000)*random.IntN(2))
				r, _ := http.NewRequest(http.MethodPost, l.entry.URL, strings.NewReader(text))
				idempotent := random.IntN(2) == 0
				r.Header = http.Header{"Id": {id}, "Deadline": {"150ms"}}
				if idempotent {
					r.Header.Set("Idempotent", "1")
				}
				outcome := "unknown"
				resp, err := l.client.Do(r)
				if err == nil {
					body, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					switch {
					case err != nil:
					case resp.StatusCode == http.StatusOK:
						outcome = "ran"
						answered.Add(1)
						if string(body) != "ran "+id+"\n"+text {
							t.Errorf("request %s got another or an incomplete response of %d bytes", id, len(body))
						}
					case resp.Header.Get("Sent") == "false":
						outcome = "not_run"
					}
				}
				mu.Lock()
				told[id] = said{outcome, idempotent}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	l.client.CloseIdleConnections()
	l.entry.Close() // waits for handlers whose callers already have the response
	runs := map[string]int{}
	for _, st := range targets {
		for _, r := range st.Runs() {
			runs[r.RequestID]++
		}
	}
	counts := map[string]int{}
	for id, s := range told {
		counts[s.outcome]++
		switch {
		case s.outcome == "not_run" && runs[id] > 0:
			t.Errorf("request %s ran but its caller was told that it did not", id)
		case s.outcome == "ran" && runs[id] == 0:
			t.Errorf("request %s did not run but its caller got a response", id)
		case !s.idempotent && runs[id] > 1:
			t.Errorf("request %s ran %d times", id, runs[id])
		}
	}
	t.Logf("seed %d: %v", seed, counts)
	test.Greater(t, workers*each/4, int(answered.Load()))
	for _, n := range l.dispatcher.InFlight() {
		test.Eq(t, 0, n)
	}
}
