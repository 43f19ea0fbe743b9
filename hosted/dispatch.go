package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/dispatcher"
	"citronknot/fleet"
	"citronknot/owner"
	"citronknot/rowstore"
	"citronknot/schedule"
	"citronknot/worker"
)

// Probabilities with which a member that could dispatch for a pool offers it at one reading of the
// owner leases. All idle members read at the same rate, and an owner needs few of them; those with
// more CPU come first.
const (
	offerProbability       = 0.5
	lowCPUOfferProbability = 0.15
)

// poolDispatcher is a dispatcher of this member that runs in the background.
type poolDispatcher struct {
	dispatcher *dispatcher.Dispatcher
	cancel     context.CancelFunc
	done       chan struct{}
}

// offerDispatch offers to dispatch for a pool whose owner asks for dispatchers, if this member has no
// other task in the fleet.
func (p *Process) offerDispatch() {
	probability := offerProbability
	if isLowCPU(p.Settings.CPUCores) {
		probability = lowCPUOfferProbability
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing.Load() || len(p.owners) > 0 || len(p.dispatchers) > 0 || p.fleetLeader != nil || rand.Float64() >= probability {
		return
	}
	var pools []fleet.PoolID
	for id, lease := range p.ownerLeases {
		if holder := lease.Holder(); holder.DispatchersWanted > 0 && holder.Address != p.memberAddress() {
			pools = append(pools, id)
		}
	}
	if len(pools) > 0 {
		p.startDispatcher(pools[rand.IntN(len(pools))])
	}
}

// startDispatcher runs a dispatcher for the owner of a pool. The caller holds p.mu.
func (p *Process) startDispatcher(pool fleet.PoolID) {
	holder := p.ownerLeases[pool].Holder()
	ctx, cancel := context.WithCancel(p.ctx)
	running := &poolDispatcher{cancel: cancel, done: make(chan struct{})}
	running.dispatcher = dispatcher.New(dispatcher.Config{
		Pool: pool, Self: p.Settings.Member, CPUCores: p.Settings.CPUCores, Calls: p.calls, Clock: p.Clock, Log: p.Log, PollWait: p.workerPollWait(),
		MayStart: p.evacuations.MayStart,
		Poll: func(ctx context.Context, r dispatcher.PollRequest) (dispatcher.Batch, error) {
			return p.members.nextBatch(ctx, holder, pool, r)
		},
		Send: func(ctx context.Context, r dispatcher.Results) error {
			return p.members.sendResults(ctx, holder, pool, r)
		},
		OnOrder: func(kind schedule.OrderKind, result worker.Result, took time.Duration) {
			p.metrics.owner.Orders.WithLabelValues(kind.String(), result.String()).Inc()
			p.metrics.owner.OrderTime.Observe(took.Seconds())
		},
	})
	p.dispatchers[pool] = running
	p.wg.Go(func() {
		defer close(running.done)
		defer cancel()
		err := running.dispatcher.Run(ctx)
		p.mu.Lock()
		delete(p.dispatchers, pool)
		p.mu.Unlock()
		p.Log.Info("hosted: stopped dispatching", "pool", pool, "owner", holder.Member, "fence", holder.Fence, "err", err)
	})
}

// findOwner returns the owner of the pool in the path, or responds with status 421 and returns nil.
func (p *Process) findOwner(w http.ResponseWriter, r *http.Request) *owner.Owner {
	p.mu.Lock()
	own := p.owners[fleet.PoolID(r.PathValue("pool"))]
	p.mu.Unlock()
	if own == nil {
		writeResponse(w, http.StatusMisdirectedRequest, wireResponse{Reason: "this member does not own the pool"})
		return nil
	}
	return own.owner
}

// maxResultsBytes is the largest size of the results of a dispatcher.
const maxResultsBytes = 8 << 20

// readBody decodes the JSON body of a request, or responds with status 503 and returns false.
func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	encoded, err := io.ReadAll(io.LimitReader(r.Body, maxResultsBytes))
	if err == nil {
		err = json.Unmarshal(encoded, body)
	}
	if err != nil {
		writeResponse(w, http.StatusServiceUnavailable, wireResponse{Reason: err.Error()})
		return false
	}
	return true
}

// serveNextBatch responds to a dispatcher with its next batch.
func (p *Process) serveNextBatch(w http.ResponseWriter, r *http.Request) {
	o := p.findOwner(w, r)
	var request wirePollRequest
	if o == nil || !readBody(w, r, &request) {
		return
	}
	batch, err := o.NextBatch(r.Context(), request.decode())
	var refused *owner.RefusedError
	switch {
	case errors.As(err, &refused):
		writeResponse(w, http.StatusServiceUnavailable, wireResponse{Reason: refused.Reason, RetryAfter: int64(refused.RetryAfter)})
		return
	case err != nil:
		writeResponse(w, http.StatusGatewayTimeout, wireResponse{Reason: err.Error()})
		return
	}
	encoded, err := json.Marshal(encodeBatch(&batch))
	if err != nil {
		writeResponse(w, http.StatusGatewayTimeout, wireResponse{Reason: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded) // an error means that the dispatcher has disconnected; it asks for the batch again
}

// serveResults applies the results of a dispatcher.
func (p *Process) serveResults(w http.ResponseWriter, r *http.Request) {
	o := p.findOwner(w, r)
	var wire wireResults
	if o == nil || !readBody(w, r, &wire) {
		return
	}
	results, err := wire.decode()
	if err != nil {
		p.Log.Warn("hosted: refused invalid results of a dispatcher", "dispatcher", wire.Member, "err", err)
		o.EndDispatcher(fleet.MemberID(wire.Member), "its results are invalid")
		writeResponse(w, http.StatusServiceUnavailable, wireResponse{Reason: err.Error(), Final: true})
		return
	}
	o.TakeResults(results)
	writeResponse(w, http.StatusOK, wireResponse{})
}

// nextBatch asks the owner of a pool for the next batch.
func (m *memberClient) nextBatch(ctx context.Context, holder rowstore.Holder, pool fleet.PoolID, r dispatcher.PollRequest) (dispatcher.Batch, error) {
	body, err := json.Marshal(encodePollRequest(&r))
	if err != nil {
		return dispatcher.Batch{}, eris.Wrap(err, "hosted: encode request for a batch")
	}
	var wire wireBatch
	if err := m.callInto(ctx, http.MethodPost, poolPath(holder.Address, pool)+"/dispatch/next", body, &wire); err != nil {
		return dispatcher.Batch{}, err
	}
	return wire.decode()
}

// sendResults sends results to the owner of a pool.
func (m *memberClient) sendResults(ctx context.Context, holder rowstore.Holder, pool fleet.PoolID, r dispatcher.Results) error {
	body, err := json.Marshal(encodeResults(&r))
	if err != nil {
		return eris.Wrap(err, "hosted: encode results")
	}
	var response wireResponse
	return m.callInto(ctx, http.MethodPost, poolPath(holder.Address, pool)+"/dispatch/results", body, &response)
}
