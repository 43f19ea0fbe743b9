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
	random      *rand.Rand // of the seed; decides about the next job
}

// attempts is the number of failed runs after which a job fails.
const attempts = 3

// The gangs' members on the workers wait for each other and end some polls apart.
const (
	gangWait   = 3 * time.Second
	gangSpread = 300 * time.Millisecond
)

// startCluster starts the stand-ins of the store and the workers, and the members.
func startCluster(opts *options, log *slog.Logger) (*cluster, error) {
	c := &cluster{options: opts, client: &http.Client{Timeout: 5 * time.Second}, random: rand.New(rand.NewPCG(opts.Seed, 0))}
	gangs := &deployment.Gangs{Wait: gangWait, Spread: gangSpread, Seed: opts.Seed}
	c.storeServer = httptest.NewServer(&c.store)
	c.store.Put("op", "", "config", map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "load", "host": "load.example", "pathPrefix": "/", "backend": "load", "public": true, "attempts": attempts, "stretch": 1.6, "sloMs": 600}},
		"backends": []map[string]any{{"name": "load", "admissionCheck": true}},
	})
	for i := range opts.Workers {
		w := &deployment.Worker{ID: fmt.Sprintf("w%d", i), Pool: "load", Zone: "z1", CPU: 16000, MemMB: 32768, Store: &c.store, Gangs: gangs}
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
	process := hosted.New(hosted.Config{Log: log.With("member", i), Settings: &platform.Settings{
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

// loadJob is a job of the load.
type loadJob struct {
	id       string
	tasks    int
	gang     bool
	failures []int // members that fail in the first runs of a gang; see deployment.GangSpec
}

// nextJob returns the nth job of the load. Each number of failed runs of a gang is as likely, up to those after
// which the job fails.
func (c *cluster) nextJob(n int) loadJob {
	j := loadJob{id: fmt.Sprintf("%016x", n), tasks: c.options.Tasks, gang: c.random.Float64() < c.options.GangShare}
	if !j.gang {
		return j
	}
	j.tasks = 2 + c.random.IntN(c.options.GangWidth-1)
	for range c.random.IntN(attempts + 1) {
		j.failures = append(j.failures, 1+c.random.IntN(j.tasks))
	}
	return j
}

// body returns the body of the job's submission.
func (j *loadJob) body(taskTime time.Duration) string {
	spec := fmt.Sprint(taskTime.Milliseconds())
	if j.gang {
		spec = deployment.GangSpec(taskTime, j.tasks, j.failures...)
	}
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":500,"memMb":64,"estMs":%d,"gang":%t}]}`, spec, j.tasks, taskTime.Milliseconds(), j.gang)
}

// result counts the outcomes of the jobs.
type result struct {
	mu              sync.Mutex
	accepted        int
	refused         int
	unknown         int
	complete        int
	failed          int      // as they had to
	lost            int      // accepted and in no final state in time
	wrong           []string // one message for each job in the wrong final state
	completionTimes []time.Duration
	ended           []endedJob
	longestWait     time.Duration // for which no task of a job ran
	duplicateRuns   []string      // one message for each duplicate run of a task
}

// endedJob is a job that was seen in a final state.
type endedJob struct {
	id          string
	start, seen time.Time
}

// longestAllowedWait is the longest time for which no task of a job may run while there is room.
const longestAllowedWait = 3 * time.Second

// ok reports whether the system did what it has to.
func (r *result) ok() bool {
	return r.lost == 0 && len(r.wrong) == 0 && len(r.duplicateRuns) == 0 && r.longestWait <= longestAllowedWait
}

// check examines the runs on the workers after the end of the load. The workers have room at all times, so that
// jobs wait only while the pool changes its owner.
func (r *result) check(workers []*deployment.Worker, ownerKilled bool) {
	r.duplicateRuns = deployment.DuplicateRuns(workers)
	if ownerKilled {
		return
	}
	for _, j := range r.ended {
		r.longestWait = max(r.longestWait, deployment.LongestWait(workers, j.id, j.start, j.seen))
	}
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
		j := c.nextJob(n + 1)
		wg.Go(func() { c.runJob(ctx, r, j) })
		<-ticker.C
	}
	wg.Wait()
	r.check(c.workers, c.options.KillAt > 0)
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

// runJob submits one job, waits until it is in a final state, and adds its outcome to r.
func (c *cluster) runJob(ctx context.Context, r *result, j loadJob) {
	start := time.Now()
	status, _ := c.callMember(ctx, http.MethodPost, j.id, j.body(c.options.TaskTime))
	r.addSubmission(status)
	if status != http.StatusOK {
		return
	}
	state := c.awaitFinalState(ctx, j.id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == "" {
		r.lost++
		return
	}
	r.ended = append(r.ended, endedJob{id: j.id, start: start, seen: time.Now()})
	failedRuns := deployment.FailedRuns(c.workers, j.id) // fewer than planned if the lease of one expired
	switch {
	case (state == "failed") != (failedRuns >= attempts):
		r.wrong = append(r.wrong, fmt.Sprintf("job %s is %s after %d failed runs of %d", j.id, state, failedRuns, attempts))
	case state == "failed":
		r.failed++
	default:
		r.complete++
		r.completionTimes = append(r.completionTimes, time.Since(start))
	}
}

// addSubmission counts the response to a submission.
func (r *result) addSubmission(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch status {
	case http.StatusOK:
		r.accepted++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.refused++
	default:
		r.unknown++
	}
}

// pollInterval is the time between two reads of a job's state.
const pollInterval = 25 * time.Millisecond

// awaitFinalState polls the state of a job until it is final, and returns it. It returns an empty text if ctx
// ends before.
func (c *cluster) awaitFinalState(ctx context.Context, id string) string {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if status, state := c.callMember(ctx, http.MethodGet, id, ""); status == http.StatusOK && (state == "complete" || state == "failed") {
			return state
		}
		select {
		case <-ctx.Done():
			return ""
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
		{"failed", r.failed},
		{"wrong", len(r.wrong)},
		{"lost", r.lost},
		{"doubled", len(r.duplicateRuns)},
		{"time, median", quantile(0.5)},
		{"time, 95th", quantile(0.95)},
		{"time, longest", quantile(1)},
		{"wait, longest", r.longestWait.Round(time.Millisecond)},
	} {
		if _, err := fmt.Fprintf(table, "%s\t%v\n", row.name, row.value); err != nil {
			return err
		}
	}
	for _, line := range slices.Concat(r.wrong, r.duplicateRuns) {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	return table.Flush()
}
