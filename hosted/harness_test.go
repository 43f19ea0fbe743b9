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
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/hosted"
	"citronknot/platform"
	"citronknot/standin/deployment"
)

// cluster is a small deployment on the loopback interface: members, workers of one pool, and test
// servers in place of the platform's services.
type cluster struct {
	t                testing.TB
	store            deployment.Store
	machines         deployment.Machines
	adviser          deployment.Adviser
	serviceAddresses [2]netip.AddrPort // of the machine service and of the adviser
	members          []*member
	workers          []*deployment.Worker
	minHolderChange  clock.Millis   // setting of the members that are started from now on
	evacuationTime   clock.Millis   // in the settings of members that are started from now on
	teamLimit        map[string]any // cap of the team alpha in configurations that are written from now on; nil for none
}

// member is one process. Its calls to the store go through a proxy of its own, which can stop
// responding.
type member struct {
	*hosted.Process
	settings    *platform.Settings
	storeCut    atomic.Bool  // the proxy to the store doesn't respond
	waiting     atomic.Int32 // calls to the store that wait for a change
	mostWaiting atomic.Int32
	stopped     bool
}

const (
	callerKey          = "secret-of-alpha"
	operatorCredential = "secret-of-operators"
)

// newCluster starts the given numbers of members and of workers of one pool, and stops them when
// the test ends.
func newCluster(t testing.TB, members, workers int) *cluster {
	c := &cluster{t: t}
	c.machines.Downtime = 300 * time.Millisecond
	for i, h := range []http.Handler{&c.machines, &c.adviser} {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		c.serviceAddresses[i] = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	}
	c.configure(1)
	for range workers {
		c.addWorker("z1")
	}
	t.Cleanup(func() {
		for _, worker := range c.machines.Workers() {
			worker.Crash()
		}
	})
	for i := range members {
		c.members = append(c.members, c.startWithUnknownCPU(fmt.Sprintf("member-%d", i)))
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			if !m.stopped {
				m.Close()
			}
		}
	})
	return c
}

// addWorker starts a worker of pool sorting in a zone.
func (c *cluster) addWorker(zone string) *deployment.Worker { return c.addWorkerOf("sorting", zone) }

// addWorkerOf starts a worker of a pool in a zone.
func (c *cluster) addWorkerOf(pool, zone string) *deployment.Worker {
	c.t.Helper()
	i := len(c.workers)
	worker := &deployment.Worker{
		ID: fmt.Sprintf("w%d", i), Pool: pool, Zone: zone, Machine: fmt.Sprintf("m%d", i),
		CPU: 16000, MemMB: 32768, ClockLag: 0.02, Store: &c.store,
	}
	must.NoError(c.t, worker.Start())
	c.workers = append(c.workers, worker)
	c.machines.Add(worker)
	return worker
}

// route is a route of the configuration as operators write it.
type route map[string]any

var (
	advisedRoute = route{
		"name": "advised", "host": "sorting.example", "pathPrefix": "/advised/", "backend": "sorting", "attempts": 3,
		"advice": map[string]any{"decideMs": 5, "eachMs": 1, "validMs": 2000},
	}
	backlogRoute = route{"name": "backlog", "host": "sorting.example", "pathPrefix": "/backlog/", "backend": "other", "attempts": 3, "stretch": 1.6, "sloMs": 600}
	sortRoute    = route{"name": "sort", "host": "sorting.example", "pathPrefix": "/sort/", "backend": "sorting", "attempts": 3, "stretch": 1.6, "sloMs": 600}
)

// configure writes the configuration with the given version to the store.
func (c *cluster) configure(version int) { c.configureRoutes(version, advisedRoute, sortRoute) }

// configureRoutes is configure with other routes, and with the pools that these name besides sorting.
func (c *cluster) configureRoutes(version int, routes ...route) {
	pools := []map[string]any{{"name": "sorting", "admissionCheck": true}}
	for _, r := range routes {
		if !slices.ContainsFunc(pools, func(p map[string]any) bool { return p["name"] == r["backend"] }) {
			pools = append(pools, map[string]any{"name": r["backend"], "admissionCheck": true})
		}
	}
	team := map[string]any{"name": "alpha", "apiKeys": []string{callerKey}, "weight": 1}
	if c.teamLimit != nil {
		team["cap"] = c.teamLimit
	}
	c.store.Put("op", "", "config", map[string]any{
		"version": version, "routes": routes, "backends": pools,
		"tenants": []map[string]any{team},
		"limits":  map[string]any{"maxBodyBytes": 100000},
	})
}

// startWithUnknownCPU starts a member whose settings don't contain its CPU.
func (c *cluster) startWithUnknownCPU(name string) *member { return c.startMember(name, 0) }

// startMember starts a member with the given CPU in cores; 0 means that its settings don't contain
// it.
func (c *cluster) startMember(name string, cpuCores float64) *member {
	m := &member{}
	storeProxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.storeCut.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // lets the server detect that the caller disconnects
			<-r.Context().Done()
			return
		}
		if wait := r.URL.Query().Get("waitMs"); wait != "" && wait != "0" {
			m.mostWaiting.Store(max(m.mostWaiting.Load(), m.waiting.Add(1)))
			defer m.waiting.Add(-1)
		}
		c.store.ServeHTTP(w, r)
	}))
	c.t.Cleanup(storeProxy.Close)
	firstMemberPort := firstOfTwoFreePorts(c.t)
	m.settings = &platform.Settings{
		Member: fleet.MemberID(name), Zone: "z1", IP: netip.MustParseAddr("127.0.0.1"),
		CallerAddr: freeAddress(c.t), ReadyAddr: freeAddress(c.t), PeerPort: firstMemberPort, MetricsPort: firstMemberPort + 1, MemoryMB: 512, CPUCores: cpuCores,
		StoreAddr: netip.MustParseAddrPort(strings.TrimPrefix(storeProxy.URL, "http://")), FinalStateRetention: 120_000,
		MachinesAddr: c.serviceAddresses[0], AdviserAddr: c.serviceAddresses[1], MaintenanceTime: 300,
		MinHolderChangeTime: c.minHolderChange, EvacuationTime: c.evacuationTime, FarFactor: 3,
	}
	level := slog.LevelError
	if os.Getenv("CITRONKNOT_TEST_LOG") != "" {
		level = slog.LevelInfo
	}
	m.Process = hosted.New(hosted.Config{Settings: m.settings, Log: hosted.NewLogger(os.Stderr, level).With("at", name), Credential: operatorCredential})
	must.NoError(c.t, m.Start())
	return m
}

// nextPort counts upwards through the ports to try. They are below the ports that the system
// assigns to outgoing connections, so that no other test takes a port between its choice and its
// use.
var nextPort atomic.Uint32

const (
	firstPort = 18000
	portCount = 12000
)

// freeAddress returns a loopback address with a free port.
func freeAddress(t testing.TB) netip.AddrPort {
	for range portCount {
		port := firstPort + (uint32(os.Getpid())*64+nextPort.Add(1))%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer l.Close()
			return netip.MustParseAddrPort(l.Addr().String())
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// firstOfTwoFreePorts returns the lower of two consecutive free ports.
func firstOfTwoFreePorts(t testing.TB) uint16 {
	for range portCount {
		a, b := freeAddress(t).Port(), freeAddress(t).Port()
		if b == a+1 {
			return a
		}
	}
	t.Fatal("no two consecutive free ports")
	return 0
}

// call makes a caller's call to a member and returns the status and the fields of the JSON
// response. The status is 0 if there was no response.
func (c *cluster) call(m *member, method, id, body string) (int, map[string]any) {
	request, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+m.settings.CallerAddr.String()+queuePath(id), strings.NewReader(body))
	must.NoError(c.t, err)
	request.Host = "sorting.example"
	request.Header.Set("X-Citronknot-Credential", callerKey)
	request.Header.Set("X-Citronknot-Deadline", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	must.NoError(c.t, err)
	var fields map[string]any
	_ = json.Unmarshal(responseBody, &fields) // some responses are plain text
	return response.StatusCode, fields
}

// queuePath returns the path of a job. An id that starts with "advised/" or "backlog/" is in that queue.
func queuePath(id string) string {
	if strings.Contains(id, "/") {
		return "/" + id
	}
	return "/sort/" + id
}

// waitFor waits until condition is true and fails the test after the timeout.
func (c *cluster) waitFor(timeout time.Duration, description string, condition func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(timeout), wait.Gap(20*time.Millisecond)), must.Sprint(description))
}

// submit submits a job repeatedly until it is accepted.
func (c *cluster) submit(m *member, id, body string) {
	c.t.Helper()
	c.waitFor(10*time.Second, "job "+id+" is accepted", func() bool {
		status, _ := c.call(m, http.MethodPost, id, body)
		return status == http.StatusOK
	})
}

// waitComplete waits until the state of a job is complete.
func (c *cluster) waitComplete(m *member, id string, timeout time.Duration) {
	c.t.Helper()
	c.waitFor(timeout, "job "+id+" is complete", func() bool {
		status, out := c.call(m, http.MethodGet, id, "")
		return status == http.StatusOK && out["state"] == "complete"
	})
}

// waitForOwner waits until the pool has an owner and returns that member.
func (c *cluster) waitForOwner() *member {
	c.t.Helper()
	var found *member
	c.waitFor(10*time.Second, "the pool has an owner", func() bool {
		for _, m := range c.members {
			if !m.stopped && len(m.Dump().Pools) > 0 {
				found = m
				return true
			}
		}
		return false
	})
	return found
}

// otherMember returns a running member that doesn't own the pool.
func (c *cluster) otherMember() *member {
	owner := c.waitForOwner()
	for _, m := range c.members {
		if m != owner && !m.stopped {
			return m
		}
	}
	c.t.Fatal("there is no other running member")
	return nil
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// jobBody returns the JSON body of a job with count tasks that run for ms milliseconds each.
func jobBody(count, ms int) string {
	return fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":500,"memMb":100,"estMs":%d}]}`, ms, count, ms)
}
