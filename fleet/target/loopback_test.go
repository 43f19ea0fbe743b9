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

// loopback is a server that forwards the requests of callers to targets over TCP.
type loopback struct {
	dispatcher *target.Dispatcher
	server     *httptest.Server
	client     *http.Client
	lastID     atomic.Int64
}

// startTarget serves h as a target with 8 slots.
func startTarget(t testing.TB, h http.Handler) fleet.Instance {
	t.Helper()
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnContext = standin.ConnContext
	if standIn, ok := h.(*standin.Target); ok {
		server.Listener = standIn.Listener(server.Listener)
	}
	server.Start()
	t.Cleanup(server.Close)
	addr := server.Listener.Addr().String()
	return fleet.Instance{ID: fleet.InstanceID(addr), Address: addr, Slots: 8, Connections: 64}
}

// startLoopback starts an entry server. The header Deadline of a request is the time until its
// deadline, 5 s if absent.
func startLoopback(t testing.TB, targets ...fleet.Instance) *loopback {
	t.Helper()
	snapshot := &target.Snapshot{Targets: targets, MaxEjected: 1}
	entry := &loopback{dispatcher: &target.Dispatcher{Snapshot: func(fleet.PoolID) *target.Snapshot { return snapshot }}}
	entry.server = httptest.NewUnstartedServer(http.HandlerFunc(entry.serve))
	entry.server.Start()
	entry.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	t.Cleanup(func() {
		entry.client.CloseIdleConnections()
		entry.server.Close()
		entry.dispatcher.Close()
	})
	return entry
}

func (l *loopback) serve(w http.ResponseWriter, r *http.Request) {
	timeout, err := time.ParseDuration(r.Header.Get("Deadline"))
	if err != nil {
		timeout = 5 * time.Second
	}
	id := r.Header.Get("Id")
	if id == "" {
		id = fmt.Sprint(l.lastID.Add(1))
	}
	err = l.dispatcher.Forward(w, r, target.Request{
		ID: fleet.RequestID(id), Pool: "p",
		Idempotent: r.Header.Get("Idempotent") != "", Deadline: l.dispatcher.Clock.Now() + clock.MillisOf(timeout),
	})
	var e *target.Error
	if errors.As(err, &e) {
		w.Header().Set("Sent", fmt.Sprint(e.Sent))
		w.Header().Set("Why", err.Error())
		w.WriteHeader(http.StatusBadGateway)
	}
}

// A target may respond before it has read the whole body. The caller, which is still sending,
// must get that response without delay.
func TestEarlyResponse(t *testing.T) {
	entry := startLoopback(t, startTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex() // responds without waiting for the body
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_, _ = w.Write(make([]byte, 100<<10))
	})))
	bodyReader, bodyWriter := io.Pipe()
	go func() { _, _ = bodyWriter.Write(make([]byte, 200<<10)) }()
	defer bodyWriter.Close()
	r, err := http.NewRequest(http.MethodPost, entry.server.URL, bodyReader)
	must.NoError(t, err)
	begin := time.Now()
	resp, err := entry.client.Do(r)
	must.NoError(t, err)
	n, _ := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	test.Eq(t, 100<<10, n)
	test.Eq(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	test.Less(t, 3*time.Second, time.Since(begin))
}

// A caller that stops sending its body must not hold its request past the deadline. A request
// of which nothing was sent must be reported as not run.
func TestStalledRequestBody(t *testing.T) {
	entry := startLoopback(t, startTarget(t, &standin.Target{Slots: 8}))
	for size, sent := range map[int]string{1000: "false", 200 << 10: "true"} {
		bodyReader, bodyWriter := io.Pipe()
		go func() { _, _ = bodyWriter.Write(make([]byte, size)) }()
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, entry.server.URL, bodyReader)
		r.Header.Set("Deadline", "200ms")
		resp, err := entry.client.Do(r)
		must.NoError(t, err)
		resp.Body.Close()
		test.Eq(t, sent, resp.Header.Get("Sent"))
		cancel()
		bodyWriter.Close()
	}
}

// After a request with a streamed body, the caller's connection must be usable for the next one.
func TestConnectionAfterStream(t *testing.T) {
	entry := startLoopback(t, startTarget(t, &standin.Target{Slots: 8}))
	body := strings.Repeat("x", 200<<10)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for range 100 {
				resp, err := entry.client.Post(entry.server.URL, "text/plain", strings.NewReader(body))
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

// If a target swaps the responses of two requests, both callers must get the outcome unknown,
// because each request may have run.
func TestSwappedResponses(t *testing.T) {
	standIn := &standin.Target{Slots: 8, RunDuration: 20 * time.Millisecond}
	entry := startLoopback(t, startTarget(t, standIn))
	standIn.SetFaults(standin.TargetFaults{SwapResponses: true})
	var wait sync.WaitGroup
	for range 2 {
		wait.Go(func() {
			resp, err := entry.client.Post(entry.server.URL, "text/plain", strings.NewReader("body"))
			must.NoError(t, err)
			resp.Body.Close()
			test.Eq(t, "true", resp.Header.Get("Sent"))
		})
	}
	wait.Wait()
	test.Len(t, 2, standIn.Runs())
}

// While targets change between faults, a caller must get only the complete response to its own
// request, a request reported as not run must not have run, and a request that is not idempotent
// must run at most once.
func TestChangingFaults(t *testing.T) {
	const callers, requestsPerCaller, seed = 12, 150, 7
	var targets []*standin.Target
	var instances []fleet.Instance
	for range 4 {
		standIn := &standin.Target{Slots: 3, RunDuration: time.Millisecond, Connections: 6}
		targets = append(targets, standIn)
		instances = append(instances, startTarget(t, standIn))
	}
	entry := startLoopback(t, instances...)
	faults := []standin.TargetFaults{ // half of the changes end all faults
		{}, {}, {}, {}, {}, {}, {}, {}, {FailAll: true}, {SwapResponses: true}, {PreviousResponse: true}, {Truncate: true}, {Drain: true}, {RebootMS: 30}, {Unresponsive: true}, {DelayMS: 20},
	}
	var wait sync.WaitGroup
	var completed atomic.Int32
	type report struct {
		outcome    string
		idempotent bool
	}
	var mu sync.Mutex
	reports := map[string]report{}
	for k := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(k)))
		wait.Go(func() {
			for n := range requestsPerCaller {
				if random.IntN(20) == 0 {
					targets[random.IntN(len(targets))].SetFaults(faults[random.IntN(len(faults))])
				}
				id := fmt.Sprintf("%d-%d", k, n)
				requestBody := strings.Repeat(id+",", 1+random.IntN(20_000)*random.IntN(2))
				r, _ := http.NewRequest(http.MethodPost, entry.server.URL, strings.NewReader(requestBody))
				idempotent := random.IntN(2) == 0
				r.Header = http.Header{"Id": {id}, "Deadline": {"150ms"}}
				if idempotent {
					r.Header.Set("Idempotent", "1")
				}
				outcome := "unknown"
				resp, err := entry.client.Do(r)
				if err == nil {
					body, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					switch {
					case err != nil:
					case resp.StatusCode == http.StatusOK:
						outcome = "ran"
						completed.Add(1)
						if string(body) != "ran "+id+"\n"+requestBody {
							t.Errorf("request %s got another or an incomplete response of %d bytes", id, len(body))
						}
					case resp.Header.Get("Sent") == "false":
						outcome = "not_run"
					}
				}
				mu.Lock()
				reports[id] = report{outcome, idempotent}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	entry.client.CloseIdleConnections()
	entry.server.Close() // waits for handlers that still run after the caller got the response
	runs := map[string]int{}
	for _, standIn := range targets {
		for _, r := range standIn.Runs() {
			runs[r.RequestID]++
		}
	}
	counts := map[string]int{}
	for id, reported := range reports {
		counts[reported.outcome]++
		switch {
		case reported.outcome == "not_run" && runs[id] > 0:
			t.Errorf("request %s ran but its caller was told that it did not", id)
		case reported.outcome == "ran" && runs[id] == 0:
			t.Errorf("request %s did not run but its caller got a response", id)
		case !reported.idempotent && runs[id] > 1:
			t.Errorf("request %s ran %d times", id, runs[id])
		}
	}
	t.Logf("seed %d: %v", seed, counts)
	test.Greater(t, callers*requestsPerCaller/4, int(completed.Load()))
	for _, n := range entry.dispatcher.InFlight() {
		test.Eq(t, 0, n)
	}
}
