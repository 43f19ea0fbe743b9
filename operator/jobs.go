package operator

import (
	"context"
	"net/http"
	"net/url"

	"citronknot/caller"
)

// WireSuspects is the response body of GET /v1/suspects.
type WireSuspects struct {
	Suspects []WireSuspect `json:"suspects"`
	Missing  []string      `json:"missing,omitempty"` // pools whose owners did not respond, and why
}

// WireSuspect is an entry of GET /v1/suspects: a task, or the first task of a gang, that is suspected
// to crash its workers.
type WireSuspect struct {
	Task    string `json:"task"`
	Pool    string `json:"pool"`
	Start   string `json:"start"`   // how it starts next: apart or alone
	State   string `json:"state"`   // of the task
	Crashes string `json:"crashes"` // the workers that crashed under it
}

// WireShares is the response body of GET /v1/shares.
type WireShares struct {
	Shares  []WireShare `json:"shares"`
	Missing []string    `json:"missing,omitempty"` // pools whose owners did not respond, and why
}

// WireShare is an entry of GET /v1/shares: a team with a weight in a pool where it has submitted jobs. Due,
// Had and Lag are fractions of the pool's capacity.
type WireShare struct {
	Team       string  `json:"team"`
	Pool       string  `json:"pool"`
	Weight     float64 `json:"weight"`
	Due        float64 `json:"due_share"`
	Had        float64 `json:"had_share"`
	Lag        float64 `json:"lag"`
	Waiting    int     `json:"tasks_waiting"`
	BeyondRate int     `json:"jobs_beyond_rate"`
	Over       bool    `json:"over"` // a new job would come after those of other teams
}

// WireWorkers is the response body of GET /v1/workers.
type WireWorkers struct {
	Workers []WireWorker `json:"workers"`
	Missing []string     `json:"missing,omitempty"` // one entry for each pool whose owner did not respond, with the reason
}

// WireRunTimes is the response body of GET /v1/runtimes.
type WireRunTimes struct {
	RunTimes []WireRunTime `json:"run_times"`
	Missing  []string      `json:"missing,omitempty"` // pools whose owners did not respond, and why
}

// WireRunTime is an entry of GET /v1/runtimes: the learned run times of the tasks of a queue with one
// image and estimates of one size, as ratios to the estimates.
type WireRunTime struct {
	Pool         string  `json:"pool"`
	Queue        string  `json:"queue"`
	Image        string  `json:"image"`
	SmallestMS   int64   `json:"smallest_ms"` // smallest estimate of this size
	Median       float64 `json:"median"`
	P95          float64 `json:"p95"`
	Observations int     `json:"observations"` // older ones count in part
}

// WireWorker is an entry of GET /v1/workers: a worker as the owner of its pool has recorded it.
type WireWorker struct {
	ID   string `json:"id"`
	Pool string `json:"pool"`
	// State is ready, silent (the owner cannot reach the worker), draining, cordoned or unlisted
	// (the platform no longer lists the worker).
	State       string `json:"state"`
	Tasks       int    `json:"tasks"`
	CPUUsed     int64  `json:"cpu_used"`     // thousandths of a core
	CPUCapacity int64  `json:"cpu_capacity"` // thousandths of a core
}

// WireWaves is the response body of GET /v1/waves.
type WireWaves struct {
	Waves []WireWave `json:"waves"`
}

// WireWave is an entry of GET /v1/waves: the progress of a maintenance wave.
type WireWave struct {
	Number   int    `json:"number"`
	State    string `json:"state"`
	Machines int    `json:"machines"` // number of machines in the wave
	Done     int    `json:"done"`     // number of them whose maintenance has begun
}

// WriteProblem writes p to w as a problem document with its status.
func WriteProblem(w http.ResponseWriter, p Problem) { writeProblem(w, &p) }

func jobPath(queue, id string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(id)
}

// SubmitJob submits a job, given as JSON text, and returns its state. Submitting a job again
// under the same id changes nothing. All methods that concern jobs need a team's key as the
// credential of the client, in place of that of operators.
func (c *Client) SubmitJob(ctx context.Context, queue, id string, text []byte) (caller.WireJob, error) {
	var out caller.WireJob
	err := c.call(ctx, http.MethodPut, jobPath(queue, id), text, &out)
	return out, err
}

// Job returns the state of a job.
func (c *Client) Job(ctx context.Context, queue, id string) (caller.WireJob, error) {
	var out caller.WireJob
	err := c.call(ctx, http.MethodGet, jobPath(queue, id), nil, &out)
	return out, err
}

// WaitingJobs returns the number of jobs of a queue of which no task has started.
func (c *Client) WaitingJobs(ctx context.Context, queue string) (caller.WireQueue, error) {
	var out caller.WireQueue
	err := c.call(ctx, http.MethodGet, "/v1/queues/"+url.PathEscape(queue), nil, &out)
	return out, err
}

// CancelJob cancels a job and returns its state.
func (c *Client) CancelJob(ctx context.Context, queue, id string) (caller.WireJob, error) {
	var out caller.WireJob
	err := c.call(ctx, http.MethodDelete, jobPath(queue, id), nil, &out)
	return out, err
}
