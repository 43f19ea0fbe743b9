package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"citronknot/fleet"
	"citronknot/hosted"
	"citronknot/platform"
	"citronknot/standin/deployment"
)

// cluster holds the members, workers and store of one run.
type cluster struct {
	options     *options
	store       deployment.Store
	storeServer *httptest.Server
	workers     []*deployment.Worker
	members     []*hosted.Process
	callerAddrs []string // addresses that accept calls of clients
	client      *http.Client
}

// startCluster starts the stand-ins of the store and the workers, and the members.
func startCluster(opts *options, log *slog.Logger) (*cluster, error) {
	c := &cluster{options: opts, client: &http.Client{Timeout: 5 * time.Second}}
	c.storeServer = httptest.NewServer(&c.store)
	c.store.Put("op", "", "config", map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "load", "host": "load.example", "pathPrefix": "/", "backend": "load", "public": true, "attempts": 3, "stretch": 1.6, "sloMs": 600}},
		"backends": []map[string]any{{"name": "load", "admissionCheck": true}},
	})
	for i := range opts.Workers {
		w := &deployment.Worker{ID: fmt.Sprintf("w%d", i), Pool: "load", Zone: "z1", CPU: 16000, MemMB: 32768, Store: &c.store}
		if err := w.Start(); err != nil {
			c.close()
			return nil, err
		}
		c.workers = append(c.workers, w)
	}
	for i := range opts.Members {
		if err := c.startMember(i, log); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// portsPerMember is the number of ports that each member uses.
const portsPerMember = 4

// startMember starts the i-th member.
func (c *cluster) startMember(i int, log *slog.Logger) error {
	loopback := netip.MustParseAddr("127.0.0.1")
	port := c.options.FirstPort + uint16(i*portsPerMember)
	process := hosted.New(hosted.Config{Log: log, Settings: &platform.Settings{
		Member: fleet.MemberID(fmt.Sprintf("member-%d", i)), Zone: "z1", IP: loopback, CallerAddr: netip.AddrPortFrom(loopback, port),
		ReadyAddr: netip.AddrPortFrom(loopback, port+1), PeerPort: port + 2, MetricsPort: port + 3, MemoryMB: 512,
		StoreAddr: netip.MustParseAddrPort(strings.TrimPrefix(c.storeServer.URL, "http://")), FinalStateRetention: 600_000,
	}})
	if err := process.Start(); err != nil {
		return err
	}
	c.members = append(c.members, process)
	c.callerAddrs = append(c.callerAddrs, netip.AddrPortFrom(loopback, port).String())
	return nil
}

// close stops all members and workers and the store.
func (c *cluster) close() {
	for _, p := range c.members {
		p.Close()
	}
	for _, w := range c.workers {
		w.Crash()
	}
	c.storeServer.Close()
}

// result counts the outcomes of the jobs.
type result struct {
	mu              sync.Mutex
	accepted        int
	refused         int
	unknown         int
	complete        int
	lost            int // accepted and not complete in time
	completionTimes []time.Duration
	duplicateRuns   []string // one message for each duplicate run of a task
}

// submitJobs submits jobs at the configured rate and waits until they are complete or ctx ends.
func (c *cluster) submitJobs(ctx context.Context) *result {
	r := &result{}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.options.Rate))
	defer ticker.Stop()
	start := time.Now()
	ownerKilled := c.options.KillAt == 0
	for n := 0; time.Since(start) < c.options.Duration && ctx.Err() == nil; n++ {
		if !ownerKilled && time.Since(start) >= c.options.KillAt {
			c.killOwner()
			ownerKilled = true
		}
		wg.Go(func() { c.runJob(ctx, r, fmt.Sprintf("%016x", n+1)) })
		<-ticker.C
	}
	wg.Wait()
	r.duplicateRuns = deployment.DuplicateRuns(c.workers)
	return r
}

// killOwner stops the owner of the pool without a handover, as in a crash.
func (c *cluster) killOwner() {
	for i, p := range c.members {
		if len(p.Dump().Pools) > 0 {
			p.Close()
			c.members = slices.Delete(c.members, i, i+1)
			return
		}
	}
}

// runJob submits one job, waits until it is complete, and adds its outcome to r.
func (c *cluster) runJob(ctx context.Context, r *result, id string) {
	start := time.Now()
	body := fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":500,"memMb":64,"estMs":%d}]}`,
		c.options.TaskTime.Milliseconds(), c.options.Tasks, c.options.TaskTime.Milliseconds())
	status, _ := c.callMember(ctx, http.MethodPost, id, body)
	r.mu.Lock()
	switch status {
	case http.StatusOK:
		r.accepted++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.refused++
	default:
		r.unknown++
	}
	r.mu.Unlock()
	if status != http.StatusOK {
		return
	}
	completed := c.awaitCompletion(ctx, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !completed {
		r.lost++
		return
	}
	r.complete++
	r.completionTimes = append(r.completionTimes, time.Since(start))
}

// pollInterval is the time between two reads of a job's state.
const pollInterval = 25 * time.Millisecond

// awaitCompletion polls the state of a job and reports whether it was complete before ctx ended.
func (c *cluster) awaitCompletion(ctx context.Context, id string) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if status, state := c.callMember(ctx, http.MethodGet, id, ""); status == http.StatusOK && state == "complete" {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// callMember calls a random member about a job. The status is 0 if no valid response came.
func (c *cluster) callMember(ctx context.Context, method, id, body string) (status int, state string) {
	address := c.callerAddrs[rand.IntN(len(c.callerAddrs))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = "load.example"
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var response struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return 0, ""
	}
	return resp.StatusCode, response.State
}

// print writes the result as a table.
func (r *result) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	slices.Sort(r.completionTimes)
	quantile := func(fraction float64) time.Duration {
		if len(r.completionTimes) == 0 {
			return 0
		}
		return r.completionTimes[int(fraction*float64(len(r.completionTimes)-1))].Round(time.Millisecond)
	}
	for _, row := range []struct {
		name  string
		value any
	}{
		{"accepted", r.accepted},
		{"refused", r.refused},
		{"unknown", r.unknown},
		{"complete", r.complete},
		{"lost", r.lost},
		{"doubled", len(r.duplicateRuns)},
		{"time, median", quantile(0.5)},
		{"time, 95th", quantile(0.95)},
		{"time, longest", quantile(1)},
	} {
		if _, err := fmt.Fprintf(table, "%s\t%v\n", row.name, row.value); err != nil {
			return err
		}
	}
	for _, line := range r.duplicateRuns {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	return table.Flush()
}
