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
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
)

// deadlineHeader carries the milliseconds that are left for a call between members.
const deadlineHeader = "Citronknot-Deadline"

// wireResult answers a call between members.
type wireResult struct {
	State      string `json:"state,omitempty"`
	Found      bool   `json:"found,omitempty"`
	Count      int    `json:"count,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Final      bool   `json:"final,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

// memberHandler serves the calls of other members to the pools that this one owns.
func (p *Process) memberHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pools/{pool}/jobs", p.serveOwner(p.serveSubmit))
	mux.HandleFunc("GET /v1/pools/{pool}/jobs/{id}", p.serveOwner(p.serveState))
	mux.HandleFunc("DELETE /v1/pools/{pool}/jobs/{id}", p.serveOwner(p.serveCancel))
	mux.HandleFunc("GET /v1/pools/{pool}/queues/{queue}/pending", p.serveOwner(p.servePending))
	mux.HandleFunc("GET /v1/pools/{pool}/state", p.servePoolState)
	mux.HandleFunc("POST /v1/pools/{pool}/hand-over", p.serveHandOver)
	mux.HandleFunc("GET /v1/fleet/waves", p.serveWaves)
	mux.HandleFunc("POST /v1/fleet/report", p.serveReport)
	mux.HandleFunc("POST /v1/store", p.serveStore)
	return mux
}

type ownerHandler func(ctx context.Context, o *owner.Owner, r *http.Request) (wireResult, error)

// serveOwner finds the owner of the pool in the path and answers with what h returns.
func (p *Process) serveOwner(h ownerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		own := p.owners[fleet.PoolID(r.PathValue("pool"))]
		p.mu.Unlock()
		if own == nil {
			writeResult(w, http.StatusMisdirectedRequest, wireResult{Reason: "this member does not own the pool"})
			return
		}
		left, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
		if err != nil || left <= 0 {
			left = int64(defaultDeadline)
		}
		ctx, cancel := context.WithTimeout(r.Context(), clock.Millis(left).Duration())
		defer cancel()
		result, err := h(ctx, own.owner, r)
		var refused *owner.RefusedError
		switch {
		case err == nil:
			writeResult(w, http.StatusOK, result)
		case errors.As(err, &refused):
			writeResult(w, http.StatusServiceUnavailable, wireResult{Reason: refused.Reason, Final: refused.Final, RetryAfter: int64(refused.RetryAfter)})
		default:
			writeResult(w, http.StatusGatewayTimeout, wireResult{Reason: err.Error()})
		}
	}
}

func writeResult(w http.ResponseWriter, status int, r wireResult) {
	text, err := json.Marshal(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // the member may have gone, which changes nothing here
}

// maxJobBytes bounds a job between members: its spec, its steps and their field names.
const maxJobBytes = 1 << 20

func (p *Process) serveSubmit(ctx context.Context, o *owner.Owner, r *http.Request) (wireResult, error) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxJobBytes))
	if err != nil {
		return wireResult{}, &owner.RefusedError{Reason: "the job did not arrive whole"}
	}
	j, err := job.Decode(text)
	if err != nil {
		return wireResult{}, &owner.RefusedError{Reason: err.Error(), Final: true}
	}
	return wireResult{}, o.Submit(ctx, j)
}

func (p *Process) serveState(ctx context.Context, o *owner.Owner, r *http.Request) (wireResult, error) {
	state, found, err := o.State(ctx, job.ID(r.PathValue("id")))
	return wireResult{State: string(state), Found: found}, err
}

func (p *Process) serveCancel(ctx context.Context, o *owner.Owner, r *http.Request) (wireResult, error) {
	found, err := o.Cancel(ctx, job.ID(r.PathValue("id")))
	return wireResult{Found: found}, err
}

func (p *Process) servePending(_ context.Context, o *owner.Owner, r *http.Request) (wireResult, error) {
	n, err := o.Pending(fleet.QueueID(r.PathValue("queue")))
	return wireResult{Count: n}, err
}

// maxAnswerBytes bounds an answer between members: a page of a table is the largest.
const maxAnswerBytes = 8 << 20

// memberClient calls other members.
type memberClient struct {
	http *http.Client
}

func poolPath(address string, pool fleet.PoolID) string {
	return fmt.Sprintf("http://%s/v1/pools/%s", address, pool)
}

func (m *memberClient) submit(ctx context.Context, address string, pool fleet.PoolID, j *job.Job) error {
	text, err := j.Encode()
	if err != nil {
		return err
	}
	_, err = m.call(ctx, http.MethodPost, poolPath(address, pool)+"/jobs", text)
	return err
}

func (m *memberClient) state(ctx context.Context, address string, pool fleet.PoolID, id job.ID) (job.State, bool, error) {
	r, err := m.call(ctx, http.MethodGet, fmt.Sprintf("%s/jobs/%s", poolPath(address, pool), id), nil)
	return job.State(r.State), r.Found, err
}

func (m *memberClient) cancel(ctx context.Context, address string, pool fleet.PoolID, id job.ID) (bool, error) {
	r, err := m.call(ctx, http.MethodDelete, fmt.Sprintf("%s/jobs/%s", poolPath(address, pool), id), nil)
	return r.Found, err
}

func (m *memberClient) pending(ctx context.Context, address string, pool fleet.PoolID, q fleet.QueueID) (int, error) {
	r, err := m.call(ctx, http.MethodGet, fmt.Sprintf("%s/queues/%s/pending", poolPath(address, pool), q), nil)
	return r.Count, err
}

// call makes one call on a pool.
func (m *memberClient) call(ctx context.Context, method, url string, body []byte) (wireResult, error) {
	var r wireResult
	err := m.callInto(ctx, method, url, body, &r)
	return r, err
}

// callInto makes one call and decodes the answer to out. It fails with *owner.RefusedError if
// the call certainly had no effect, and with *owner.UnknownError otherwise.
func (m *memberClient) callInto(ctx context.Context, method, url string, body []byte, out any) error {
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(traced, method, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "hosted: request")
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(deadlineHeader, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	resp, err := m.http.Do(req)
	if err != nil {
		if !sent.Load() {
			return &owner.RefusedError{Reason: "the member can't be reached", RetryAfter: 1000}
		}
		return &owner.UnknownError{Err: eris.Wrap(err, "hosted: call")}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &owner.UnknownError{Err: eris.Wrap(err, "hosted: answer")}
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(text, out); err != nil {
			return &owner.UnknownError{Err: eris.Wrap(err, "hosted: answer")}
		}
		return nil
	}
	var r wireResult
	if err := json.Unmarshal(text, &r); err != nil {
		return &owner.UnknownError{Err: eris.Wrap(err, "hosted: answer")}
	}
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusMisdirectedRequest:
		return &owner.RefusedError{Reason: r.Reason, Final: r.Final, RetryAfter: clock.Millis(r.RetryAfter)}
	}
	return &owner.UnknownError{Err: eris.Errorf("hosted: status %d: %s", resp.StatusCode, r.Reason)}
}
