package hosted

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
)

// deadlineHeader is the HTTP header with the remaining time of a call between members, in
// milliseconds.
const deadlineHeader = "Citronknot-Deadline"

// wireResponse is the body of the response to a call between members.
type wireResponse struct {
	State      string `json:"state,omitempty"`
	Cause      string `json:"cause,omitempty"` // of the state failed
	Found      bool   `json:"found,omitempty"`
	Count      int    `json:"count,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Final      bool   `json:"final,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

// memberHandler returns the HTTP handler for other members: calls on pools that this member owns,
// calls to the fleet leader, and relayed calls to the row store.
func (p *Process) memberHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pools/{pool}/jobs", p.serveOwner(p.serveSubmit))
	mux.HandleFunc("GET /v1/pools/{pool}/jobs/{id}", p.serveOwner(p.serveState))
	mux.HandleFunc("DELETE /v1/pools/{pool}/jobs/{id}", p.serveOwner(p.serveCancel))
	mux.HandleFunc("GET /v1/pools/{pool}/queues/{queue}/pending", p.serveOwner(p.servePending))
	mux.HandleFunc("GET /v1/pools/{pool}/state", p.servePoolState)
	mux.HandleFunc("POST /v1/pools/{pool}/hand-over", p.serveHandOver)
	mux.HandleFunc("POST /v1/pools/{pool}/dispatch/next", p.serveNextBatch)
	mux.HandleFunc("POST /v1/pools/{pool}/dispatch/results", p.serveResults)
	mux.HandleFunc("GET /v1/fleet/waves", p.serveMemberWaves)
	mux.HandleFunc("POST /v1/fleet/report", p.serveReport)
	mux.HandleFunc("POST /v1/store", p.serveStore)
	return mux
}

// ownerCallHandler performs a call of another member at the owner of a pool.
type ownerCallHandler func(ctx context.Context, o *owner.Owner, r *http.Request) (wireResponse, error)

// serveOwner returns a handler that finds the owner of the pool in the path, calls handle within
// the caller's deadline and writes its result. It responds with status 421 if this member doesn't
// own the pool, 503 if the owner refused the call, and 504 after any other error.
func (p *Process) serveOwner(handle ownerCallHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		own := p.owners[fleet.PoolID(r.PathValue("pool"))]
		p.mu.Unlock()
		if own == nil {
			writeResponse(w, http.StatusMisdirectedRequest, wireResponse{Reason: "this member does not own the pool"})
			return
		}
		remaining, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
		if err != nil || remaining <= 0 {
			remaining = int64(defaultCallDeadline)
		}
		ctx, cancel := context.WithTimeout(r.Context(), clock.Millis(remaining).Duration())
		defer cancel()
		result, err := handle(ctx, own.owner, r)
		var refused *owner.RefusedError
		switch {
		case err == nil:
			writeResponse(w, http.StatusOK, result)
		case errors.As(err, &refused):
			writeResponse(w, http.StatusServiceUnavailable, wireResponse{Reason: refused.Reason, Final: refused.Final, RetryAfter: int64(refused.RetryAfter)})
		default:
			writeResponse(w, http.StatusGatewayTimeout, wireResponse{Reason: err.Error()})
		}
	}
}

func writeResponse(w http.ResponseWriter, status int, response wireResponse) {
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the member has disconnected, which needs no handling
}

// maxJobBytes is the largest size of an encoded job between members: its spec, its steps and their
// field names. It also limits a pool's report to the fleet leader.
const maxJobBytes = 1 << 20

func (p *Process) serveSubmit(ctx context.Context, o *owner.Owner, r *http.Request) (wireResponse, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxJobBytes))
	if err != nil {
		return wireResponse{}, &owner.RefusedError{Reason: "the job did not arrive whole"}
	}
	j, err := job.Decode(body)
	if err != nil {
		return wireResponse{}, &owner.RefusedError{Reason: err.Error(), Final: true}
	}
	params := r.URL.Query()
	return wireResponse{}, o.Submit(ctx, j, parseRoute(params), parseWaited(params.Get(waitedParam)))
}

// Parameters of a submission between members: how long the call has been in the system, in milliseconds, the
// address of the queue, and the version of the configuration that sends its jobs to the pool. Members of
// earlier versions neither send nor read the last two.
const (
	waitedParam  = "waited_ms"
	queueParam   = "queue_address"
	versionParam = "config_version"
)

// parseRoute decodes queueParam and versionParam. The route is unknown unless both are valid.
func parseRoute(params url.Values) owner.Route {
	version, err := strconv.ParseUint(params.Get(versionParam), 10, 64)
	if err != nil {
		return owner.Route{}
	}
	return owner.Route{Queue: fleet.QueueAddress(params.Get(queueParam)), Version: fleet.Version(version)}
}

// maxWaited is the longest time for which a call is believed to have been in the system. Callers do not wait
// longer for an answer.
const maxWaited clock.Millis = 10_000

// parseWaited decodes waitedParam. Without a valid value the call counts as new.
func parseWaited(text string) clock.Millis {
	waited, err := strconv.ParseInt(text, 10, 64)
	if err != nil || waited < 0 {
		return 0
	}
	return min(clock.Millis(waited), maxWaited)
}

func (p *Process) serveState(ctx context.Context, o *owner.Owner, r *http.Request) (wireResponse, error) {
	status, found, err := o.Status(ctx, job.ID(r.PathValue("id")))
	return wireResponse{State: string(status.State), Cause: status.Cause, Found: found}, err
}

func (p *Process) serveCancel(ctx context.Context, o *owner.Owner, r *http.Request) (wireResponse, error) {
	found, err := o.Cancel(ctx, job.ID(r.PathValue("id")))
	return wireResponse{Found: found}, err
}

func (p *Process) servePending(_ context.Context, o *owner.Owner, r *http.Request) (wireResponse, error) {
	count, err := o.Pending(fleet.QueueID(r.PathValue("queue")))
	return wireResponse{Count: count}, err
}

// maxResponseBytes is the largest size of a response between members. The largest response is a
// page of a table.
const maxResponseBytes = 8 << 20

// memberClient makes calls to other members.
type memberClient struct {
	http *http.Client
}

// poolPath returns the URL of a pool at a member.
func poolPath(address string, pool fleet.PoolID) string {
	return fmt.Sprintf("http://%s/v1/pools/%s", address, pool)
}

// submit submits a job at the member that owns its pool. waited is how long the call has been in the system.
func (m *memberClient) submit(ctx context.Context, address string, pool fleet.PoolID, j *job.Job, route owner.Route, waited clock.Millis) error {
	body, err := j.Encode()
	if err != nil {
		return err
	}
	params := url.Values{
		waitedParam: {strconv.FormatInt(int64(waited), 10)}, queueParam: {string(route.Queue)}, versionParam: {strconv.FormatUint(uint64(route.Version), 10)},
	}
	_, err = m.call(ctx, http.MethodPost, poolPath(address, pool)+"/jobs?"+params.Encode(), body)
	return err
}

func (m *memberClient) status(ctx context.Context, address string, pool fleet.PoolID, id job.ID) (owner.JobStatus, bool, error) {
	response, err := m.call(ctx, http.MethodGet, fmt.Sprintf("%s/jobs/%s", poolPath(address, pool), id), nil)
	return owner.JobStatus{State: job.State(response.State), Cause: response.Cause}, response.Found, err
}

func (m *memberClient) cancel(ctx context.Context, address string, pool fleet.PoolID, id job.ID) (bool, error) {
	response, err := m.call(ctx, http.MethodDelete, fmt.Sprintf("%s/jobs/%s", poolPath(address, pool), id), nil)
	return response.Found, err
}

func (m *memberClient) pending(ctx context.Context, address string, pool fleet.PoolID, queue fleet.QueueID) (int, error) {
	response, err := m.call(ctx, http.MethodGet, fmt.Sprintf("%s/queues/%s/pending", poolPath(address, pool), queue), nil)
	return response.Count, err
}

// call makes one call on a pool. It fails like callInto.
func (m *memberClient) call(ctx context.Context, method, url string, body []byte) (wireResponse, error) {
	var response wireResponse
	err := m.callInto(ctx, method, url, body, &response)
	return response, err
}

// callInto makes one call and decodes the response body into response. It passes on the deadline of
// ctx. It fails with *owner.RefusedError if the call certainly had no effect, and with
// *owner.UnknownError if the call may have had an effect.
func (m *memberClient) callInto(ctx context.Context, method, url string, requestBody []byte, response any) error {
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, method, url, bytes.NewReader(requestBody))
	if err != nil {
		return eris.Wrap(err, "hosted: request")
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(deadlineHeader, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	httpResponse, err := m.http.Do(request)
	if err != nil {
		if !sent.Load() {
			return &owner.RefusedError{Reason: "the member can't be reached", RetryAfter: 1000}
		}
		return &owner.UnknownError{Err: eris.Wrap(err, "hosted: call")}
	}
	defer httpResponse.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return &owner.UnknownError{Err: eris.Wrap(err, "hosted: answer")}
	}
	if httpResponse.StatusCode == http.StatusOK {
		if err := json.Unmarshal(responseBody, response); err != nil {
			return &owner.UnknownError{Err: eris.Wrap(err, "hosted: answer")}
		}
		return nil
	}
	var failure wireResponse
	if err := json.Unmarshal(responseBody, &failure); err != nil {
		return &owner.UnknownError{Err: eris.Wrap(err, "hosted: answer")}
	}
	switch httpResponse.StatusCode {
	case http.StatusServiceUnavailable, http.StatusMisdirectedRequest:
		return &owner.RefusedError{Reason: failure.Reason, Final: failure.Final, RetryAfter: clock.Millis(failure.RetryAfter)}
	}
	return &owner.UnknownError{Err: eris.Errorf("hosted: status %d: %s", httpResponse.StatusCode, failure.Reason)}
}
