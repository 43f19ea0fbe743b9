package operator

import (
	"context"
	"net/http"
	"net/url"

	"citronknot/caller"
)

// WireWorkers answers GET /v1/workers.
type WireWorkers struct {
	Workers []WireWorker `json:"workers"`
	Missing []string     `json:"missing,omitempty"` // pools whose owner did not answer, and why
}

// WireWorker is a worker as the owner of its pool sees it.
type WireWorker struct {
	ID    string `json:"id"`
	Pool  string `json:"pool"`
	State string `json:"state"` // ready, silent, draining, cordoned or unlisted
	Tasks int    `json:"tasks"`
	CPU   int64  `json:"cpu_used"` // thousandths of cores
	CPUOf int64  `json:"cpu_capacity"`
}

// WireWaves answers GET /v1/waves.
type WireWaves struct {
	Waves []WireWave `json:"waves"`
}

// WireWave is the progress of a wave of upkeep.
type WireWave struct {
	Number   int    `json:"number"`
	State    string `json:"state"`
	Machines int    `json:"machines"`
	Done     int    `json:"done"`
}

// WriteProblem answers a call with a problem document.
func WriteProblem(w http.ResponseWriter, p Problem) { writeProblem(w, &p) }

func jobPath(queue, id string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(id)
}

// SubmitJob hands a job in. The calls on jobs need a team's key in the place of the operators'
// credential. Handing it in again under the same id changes nothing.
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

// WaitingJobs counts the jobs of a queue of which no task has started.
func (c *Client) WaitingJobs(ctx context.Context, queue string) (caller.WireQueue, error) {
	var out caller.WireQueue
	err := c.call(ctx, http.MethodGet, "/v1/queues/"+url.PathEscape(queue), nil, &out)
	return out, err
}

// CancelJob ends a job.
func (c *Client) CancelJob(ctx context.Context, queue, id string) (caller.WireJob, error) {
	var out caller.WireJob
	err := c.call(ctx, http.MethodDelete, jobPath(queue, id), nil, &out)
	return out, err
}
