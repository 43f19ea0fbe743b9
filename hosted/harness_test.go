package hosted_test

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"citronknot/fleet"
	"citronknot/hosted"
	"citronknot/platform"
	"citronknot/standin/deployment"
)

// site is a small deployment on loopback.
type site struct {
	t        *testing.T
	store    deployment.Store
	machines deployment.Machines
	adviser  deployment.Adviser
	services [2]netip.AddrPort // of machines and of the adviser
	members  []*member
	workers  []*deployment.Worker
}

// member is one process with its own way to the store.
type member struct {
	*hosted.Process
	settings *platform.Settings
	cut      atomic.Bool // from the store
	closed   bool
}

const (
	key        = "secret-of-alpha"
	credential = "secret-of-operators"
)

// newSite starts members and workers of one pool.
func newSite(t *testing.T, members, workers int) *site {
	s := &site{t: t}
	s.machines.Time = 300 * time.Millisecond
	for i, h := range []http.Handler{&s.machines, &s.adviser} {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		s.services[i] = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	}
	s.configure(1)
	for i := range workers {
		w := &deployment.Worker{
			ID: fmt.Sprintf("w%d", i), Pool: "sorting", Zone: "z1", Machine: fmt.Sprintf("m%d", i),
			CPU: 16000, MemMB: 32768, Slow: 0.02, Store: &s.store,
		}
		must.NoError(t, w.Start())
		s.workers = append(s.workers, w)
		s.machines.Add(w)
	}
	t.Cleanup(func() {
		for _, w := range s.machines.Workers() {
			w.Crash()
		}
	})
	for i := range members {
		s.members = append(s.members, s.start(fmt.Sprintf("member-%d", i)))
	}
	t.Cleanup(func() {
		for _, m := range s.members {
			if !m.closed {
				m.Close()
			}
		}
	})
	return s
}

func (s *site) configure(version int) {
	s.store.Put("op", "", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "advised", "host": "sorting.example", "pathPrefix": "/advised/", "backend": "sorting", "attempts": 3, "advice": map[string]any{"decideMs": 5, "eachMs": 1, "validMs": 2000}},
			{"name": "sort", "host": "sorting.example", "pathPrefix": "/sort/", "backend": "sorting", "attempts": 3, "stretch": 1.6, "sloMs": 600},
		},
		"backends": []map[string]any{{"name": "sorting", "admissionCheck": true}},
		"tenants":  []map[string]any{{"name": "alpha", "apiKeys": []string{key}, "weight": 1}},
		"limits":   map[string]any{"maxBodyBytes": 100000},
	})
}

// start starts a member whose settings do not say how much processor time it has.
func (s *site) start(name string) *member { return s.startWith(name, 0) }

func (s *site) startWith(name string, processor float64) *member {
	m := &member{}
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.cut.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // so that the server notices when the caller gives up
			<-r.Context().Done()
			return
		}
		s.store.ServeHTTP(w, r)
	}))
	s.t.Cleanup(gate.Close)
	first := freePorts(s.t)
	m.settings = &platform.Settings{
		Member: fleet.MemberID(name), Zone: "z1", IP: netip.MustParseAddr("127.0.0.1"),
		CallerAddr: freeAddress(s.t), ReadyAddr: freeAddress(s.t), PeerPort: first, MetricsPort: first + 1, MemoryMB: 512, Processor: processor,
		StoreAddr: netip.MustParseAddrPort(strings.TrimPrefix(gate.URL, "http://")), KeepFinal: 120_000,
		MachinesAddr: s.services[0], AdviceAddr: s.services[1], MoveTime: 300, UpkeepTime: 300,
	}
	level := slog.LevelError
	if os.Getenv("CITRONKNOT_TEST_LOG") != "" {
		level = slog.LevelInfo
	}
	m.Process = hosted.New(hosted.Config{Settings: m.settings, Log: hosted.NewLogger(os.Stderr, level).With("at", name), Credential: credential})
	must.NoError(s.t, m.Start())
	return m
}

// nextPort counts up through ports below those that the system gives to outgoing connections,
// so that no other test takes a port between the choice and its use.
var nextPort atomic.Uint32

const (
	firstPort = 18000
	ports     = 12000
)

func freeAddress(t *testing.T) netip.AddrPort {
	for range ports {
		port := firstPort + (uint32(os.Getpid())*64+nextPort.Add(1))%ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer l.Close()
			return netip.MustParseAddrPort(l.Addr().String())
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// freePorts returns the first of two free ports in a row.
func freePorts(t *testing.T) uint16 {
	for range ports {
		a, b := freeAddress(t).Port(), freeAddress(t).Port()
		if b == a+1 {
			return a
		}
	}
	t.Fatal("no two free ports in a row")
	return 0
}

// call makes a client's call at a member and returns the status and the fields of the answer.
func (s *site) call(m *member, method, id, body string) (int, map[string]any) {
	req, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+m.settings.CallerAddr.String()+queuePath(id), strings.NewReader(body))
	must.NoError(s.t, err)
	req.Host = "sorting.example"
	req.Header.Set("X-Citronknot-Credential", key)
	req.Header.Set("X-Citronknot-Deadline", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	must.NoError(s.t, err)
	var out map[string]any
	_ = json.Unmarshal(text, &out) // some answers are plain text
	return resp.StatusCode, out
}

// queuePath returns the path of a job; ids of the advised queue begin with its name.
func queuePath(id string) string {
	if strings.HasPrefix(id, "advised/") {
		return "/" + id
	}
	return "/sort/" + id
}

// until waits until f holds.
func (s *site) until(limit time.Duration, what string, f func() bool) {
	s.t.Helper()
	must.Wait(s.t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(limit), wait.Gap(20*time.Millisecond)), must.Sprint(what))
}

// submit hands a job in until it is accepted.
func (s *site) submit(m *member, id, body string) {
	s.t.Helper()
	s.until(10*time.Second, "job "+id+" is accepted", func() bool {
		status, _ := s.call(m, http.MethodPost, id, body)
		return status == http.StatusOK
	})
}

// complete waits until a job is shown as complete.
func (s *site) complete(m *member, id string, limit time.Duration) {
	s.t.Helper()
	s.until(limit, "job "+id+" is complete", func() bool {
		status, out := s.call(m, http.MethodGet, id, "")
		return status == http.StatusOK && out["state"] == "complete"
	})
}

// owner returns the member that owns the pool.
func (s *site) owner() *member {
	s.t.Helper()
	var found *member
	s.until(10*time.Second, "the pool has an owner", func() bool {
		for _, m := range s.members {
			if !m.closed && len(m.Dump().Pools) > 0 {
				found = m
				return true
			}
		}
		return false
	})
	return found
}

// other returns a member that does not own the pool and serves.
func (s *site) other() *member {
	owner := s.owner()
	for _, m := range s.members {
		if m != owner && !m.closed {
			return m
		}
	}
	s.t.Fatal("no other member")
	return nil
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// tasks returns a job of tasks that run for some milliseconds.
func tasks(count, ms int) string {
	return fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":500,"memMb":100,"estMs":%d}]}`, ms, count, ms)
}
