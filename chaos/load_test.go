//go:build chaos

package chaos_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"citronknot/fleet"
	"citronknot/standin"
)

// attempt is one request and the response that its caller received.
type attempt struct {
	key          string // idempotency key; the same for a repeated request
	team         fleet.TeamID
	queue        string
	requestID    string
	status       int
	outcome      string // header Citronknot-Run; empty if the connection broke
	bodyComplete bool   // the response has the whole request body
	end          time.Time
	latency      time.Duration
}

// load sends requests to the members that are ready, as the platform's balancer does. It repeats a
// request with an unknown outcome at another member with the same idempotency key.
type load struct {
	cluster      *cluster
	longRequests bool // requests to the queue dispatch, which is not idempotent, run for 2 s
	ready        [memberCount]atomic.Bool
	nextMember   atomic.Int64
	mu           sync.Mutex
	attempts     []attempt
	stop         context.CancelFunc
	wg           sync.WaitGroup
}

func (c *cluster) load(name string) *load { return c.startLoad(name, false) }

// startLoad starts 12 senders, and a check of each member's readiness every 50 ms.
func (c *cluster) startLoad(name string, longRequests bool) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cluster: c, longRequests: longRequests, stop: cancel}
	for i := range memberCount {
		l.ready[i].Store(c.ready(i))
		l.wg.Go(func() {
			for ctx.Err() == nil {
				l.ready[i].Store(c.ready(i))
				sleepRealTime(50 * time.Millisecond)
			}
		})
	}
	for i := range 12 {
		l.wg.Go(func() { l.sendRequests(ctx, name, i) })
	}
	return l
}

// sendRequests sends requests one after the other until ctx is cancelled. Each request has up to
// three attempts.
func (l *load) sendRequests(ctx context.Context, name string, sender int) {
	client := &http.Client{Timeout: 6 * time.Second}
	if l.longRequests {
		client.Timeout = 12 * time.Second
	}
	defer client.CloseIdleConnections()
	teams := []fleet.TeamID{"alpha", "beta", "gamma"}
	queues := []string{"sort", "dispatch", "open"}
	for n := 0; ctx.Err() == nil; n++ {
		a := attempt{key: fmt.Sprintf("%s-%d-%d", name, sender, n), team: teams[sender%3], queue: queues[n%3]}
		if a.queue == "open" {
			a.team = ""
		}
		for range 3 {
			got := l.send(client, a)
			l.mu.Lock()
			l.attempts = append(l.attempts, got)
			l.mu.Unlock()
			if got.outcome == "ran" || got.outcome == "not_run" || ctx.Err() != nil {
				break
			}
		}
	}
}

// pickMember returns the next member in turn that is ready.
func (l *load) pickMember() int {
	for range memberCount {
		if i := int(l.nextMember.Add(1)) % memberCount; l.ready[i].Load() {
			return i
		}
	}
	return int(l.nextMember.Load()) % memberCount
}

// send sends one request and returns a with the response.
func (l *load) send(client *http.Client, a attempt) (got attempt) {
	begin := time.Now()
	defer func() { got.end, got.latency = time.Now(), time.Since(begin) }()
	body := []byte("record " + a.key)
	url := fmt.Sprintf("http://127.0.0.1:%d/v1/queues/%s", 21201+l.pickMember(), a.queue)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return a
	}
	req.GetBody = nil
	if a.team != "" {
		req.Header.Set("Authorization", "Bearer "+teamKeys[a.team])
	}
	req.Header.Set("Idempotency-Key", a.key)
	if l.longRequests && a.queue == "dispatch" {
		// The deadline is much longer than the run, so only a planned stop can interrupt it.
		req.Header.Set("Work-Ms", "2000")
		req.Header.Set("Citronknot-Deadline", "10000")
	}
	resp, err := client.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	a.status, a.outcome, a.requestID = resp.StatusCode, resp.Header.Get("Citronknot-Run"), resp.Header.Get("Citronknot-Request-Id")
	a.bodyComplete = err == nil && bytes.HasSuffix(respBody, body)
	if err != nil {
		a.outcome = ""
	}
	return a
}

// countServed returns the number of responses with status 200 that were received after since.
func (l *load) countServed(since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.attempts {
		if a.status == http.StatusOK && a.end.After(since) {
			n++
		}
	}
	return n
}

// finish stops the load and returns all attempts.
func (l *load) finish() []attempt {
	l.stop()
	l.wg.Wait()
	return l.attempts
}

// targetRun is a run and the index of the target that recorded it.
type targetRun struct {
	standin.Run
	target int
}

// runs returns the runs that all targets have recorded.
func (c *cluster) runs() []targetRun {
	var all []targetRun
	for i := range targetCount {
		resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/runs", 21101+i))
		if err != nil {
			c.t.Fatal(err)
		}
		var list []standin.Run
		err = json.NewDecoder(resp.Body).Decode(&list)
		resp.Body.Close()
		if err != nil {
			c.t.Fatal(err)
		}
		for _, r := range list {
			all = append(all, targetRun{Run: r, target: i})
		}
	}
	return all
}

// scenarioResult is the comparison of callers' attempts with targets' runs. All counts but
// duplicated, lateKeyRuns and lateTargetRuns are of attempts:
//
//   - responded: the caller received the response of a target
//   - refused: the response says that the request did not run
//   - unknown: the response says that the outcome is unknown
//   - broken: the connection broke before the caller had a complete response
//   - lost: the response has status 200, but its body is incomplete or no target has a run
//   - falselyRefused: refused, although a target has a run of the request
//
// duplicated counts idempotency keys with more than one run on a queue that is not idempotent.
// lateKeyRuns and lateTargetRuns count runs with the withdrawn key and on the leaving target
// after the bound. maxRunning is the largest number of concurrent runs by team.
type scenarioResult struct {
	attempted, responded, refused, unknown, lost, duplicated, falselyRefused, broken int
	maxRunning                                                                       map[string]int
	lateKeyRuns, lateTargetRuns                                                      int
	median, p99, longest                                                             time.Duration // latencies of attempts that ran
}

// violations returns the number of errors in the result: lost, duplicate and falsely refused
// requests, late runs, and teams that exceeded their limit.
func (r scenarioResult) violations() int {
	v := r.lost + r.duplicated + r.falselyRefused + r.lateKeyRuns + r.lateTargetRuns
	for team, n := range r.maxRunning {
		if n > int(teamLimits[fleet.TeamID(team)]) {
			v++
		}
	}
	return v
}

// check compares the responses that callers received with the runs that targets recorded.
func (c *cluster) check(all []attempt, runs []targetRun) scenarioResult {
	r := scenarioResult{maxRunning: map[string]int{}}
	byID, byKey := map[string]int{}, map[string]int{}
	sent := map[string]bool{}
	for _, a := range all {
		sent[a.key] = true
	}
	for _, x := range runs {
		byID[x.RequestID]++
		if x.Queue == "dispatch" && sent[x.IdempotencyKey] {
			byKey[x.IdempotencyKey]++
		}
		if x.Team == "gamma" && !c.keyWithdrawnAt.IsZero() && x.StartMS > c.keyWithdrawnAt.UnixMilli()+1000*effectBoundSeconds {
			r.lateKeyRuns++
		}
		if x.target == targetCount-1 && !c.targetLeavingAt.IsZero() && x.StartMS > c.targetLeavingAt.UnixMilli()+1000*effectBoundSeconds {
			r.lateTargetRuns++
		}
	}
	for _, n := range byKey {
		if n > 1 {
			r.duplicated++
		}
	}
	for _, a := range all {
		r.attempted++
		switch {
		case a.outcome == "ran" && a.status == http.StatusOK:
			r.responded++
			if !a.bodyComplete || byID[a.requestID]+byKey[a.key] == 0 {
				r.lost++
			}
		case a.outcome == "not_run":
			r.refused++
			if a.requestID != "" && byID[a.requestID] > 0 {
				r.falselyRefused++
			}
		case a.outcome == "ran":
			r.responded++ // an error response of the target itself
		case a.outcome == "":
			r.broken++
		default:
			r.unknown++
		}
	}
	r.maxRunning = maxRunningByTeam(runs)
	r.median, r.p99, r.longest = latencySummary(all)
	return r
}

// latencySummary returns the median, the 99th percentile and the maximum latency of the attempts
// that ran.
func latencySummary(all []attempt) (median, p99, longest time.Duration) {
	var latencies []time.Duration
	for _, a := range all {
		if a.outcome == "ran" {
			latencies = append(latencies, a.latency)
		}
	}
	if len(latencies) == 0 {
		return 0, 0, 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], latencies[len(latencies)*99/100], latencies[len(latencies)-1]
}

// maxRunningByTeam returns the largest number of requests that each team had running at once,
// according to the times that the targets recorded.
func maxRunningByTeam(runs []targetRun) map[string]int {
	type edge struct {
		at    int64
		delta int
		team  string
	}
	var edges []edge
	for _, x := range runs {
		if x.Team == "" || x.EndMS == 0 {
			continue
		}
		edges = append(edges, edge{x.StartMS, 1, x.Team}, edge{x.EndMS, -1, x.Team})
	}
	sort.Slice(edges, func(i, j int) bool {
		if edges[i].at != edges[j].at {
			return edges[i].at < edges[j].at
		}
		return edges[i].delta < edges[j].delta // times are whole milliseconds, so count ends before starts
	})
	current, highest := map[string]int{}, map[string]int{}
	for _, e := range edges {
		current[e.team] += e.delta
		highest[e.team] = max(highest[e.team], current[e.team])
	}
	return highest
}
