package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/platform"
)

// Time and retry limits of a caller's call.
const (
	defaultCallDeadline clock.Millis = 3000 // deadline of a call that names none
	responseReserve     clock.Millis = 100  // part of the deadline that is reserved for the response to the caller
	ownerRetryDelay     clock.Millis = 100  // between two attempts, for example while a pool has no owner
	attemptTimeout      clock.Millis = 1000 // of one attempt at another member, which may be unresponsive
	maxAttempts                      = 12
)

// callerHandler returns the HTTP handler for callers that use the platform's job interface.
func (p *Process) callerHandler() http.Handler {
	return &platform.ClientHandler{Admit: p.admit, Submit: p.submit, Cancel: p.cancelJob, State: p.state, Pending: p.pending, OnUnknownField: p.logSkippedField}
}

// admit decides whether a call is allowed: that requires a configuration, a queue for the path and,
// unless the queue is open, a valid key. It returns the largest accepted size of the body in bytes,
// or the answer to a refused call. It is the only function that checks the keys of callers
// of the platform's job interface.
func (p *Process) admit(c *platform.ClientRequest) (int64, job.Answer, bool) {
	catalog := p.catalog.Load()
	if catalog == nil {
		return 0, job.Answer{Outcome: job.OutcomeNotAccepted, RetryAfter: 1000, Detail: "no configuration yet"}, false
	}
	queue, _ := catalog.Find(c.Host, c.Path)
	if queue == nil {
		p.logRefusedCall(c, catalog, "no_queue")
		return 0, job.Answer{Outcome: job.OutcomeNoQueue, Detail: "no queue has this path"}, false
	}
	if !queue.Open {
		if _, ok := catalog.Keys[fleet.HashKey(c.Key)]; !ok {
			p.logRefusedCall(c, catalog, "no_key")
			return 0, job.Answer{Outcome: job.OutcomeNoKey, Detail: "the key is missing or unknown"}, false
		}
	}
	limit := catalog.MaxBodyBytes
	if limit <= 0 {
		limit = caller.DefaultMaxJobBytes
	}
	return limit, job.Answer{}, true
}

func (p *Process) logSkippedField(c *platform.ClientRequest, field string) {
	p.Log.Warn("hosted: ignored an unknown field of a job", "path", c.Path, "host", c.Host, "field", field)
}

func (p *Process) logRefusedCall(c *platform.ClientRequest, catalog *job.Catalog, reason string) {
	p.metrics.callerCalls.WithLabelValues("admit", reason).Inc()
	p.Log.Info("hosted: refused a call", "path", c.Path, "host", c.Host, "reason", reason, "config_version", uint64(catalog.Version))
}

// jobRef names the queue of a call and the job in it, with the caller's team and the version of the
// configuration that was used. The id is empty in calls on the queue as a whole.
type jobRef struct {
	queue         *job.Queue
	team          fleet.TeamID
	id            job.ID
	configVersion fleet.Version
}

// resolve finds the queue and the job of a call. It returns false if no queue has the path.
func (p *Process) resolve(c *platform.ClientRequest) (jobRef, bool) {
	catalog := p.catalog.Load()
	queue, suffix := catalog.Find(c.Host, c.Path)
	if queue == nil {
		return jobRef{}, false
	}
	ref := jobRef{queue: queue, id: job.ID(suffix), configVersion: catalog.Version}
	if !queue.Open {
		ref.team = catalog.Keys[fleet.HashKey(c.Key)]
	}
	return ref, true
}

// withDeadline returns a context that ends shortly before the deadline of a call, given in
// milliseconds from now. 0 means the default deadline.
func withDeadline(ctx context.Context, deadline clock.Millis) (context.Context, context.CancelFunc) {
	if deadline <= 0 {
		deadline = defaultCallDeadline
	}
	return context.WithTimeout(ctx, max(deadline-responseReserve, responseReserve).Duration())
}

// poolCall is one operation on a pool, which the pool's owner performs.
type poolCall struct {
	pool fleet.PoolID
	// local performs the operation at an owner in this process.
	local func(ctx context.Context, o *owner.Owner) (job.Answer, error)
	// remote performs the operation at the member with the given address.
	remote func(ctx context.Context, address string) (job.Answer, error)
}

// perform makes a call at the pool's owner. It retries a failed attempt, since the pool may be
// changing its owner. An attempt without a response may have had an effect: after it the outcome is
// unknown, even if later attempts are refused, unless one of them succeeds.
func (p *Process) perform(ctx context.Context, c poolCall) job.Answer {
	mayHaveRun := false
	var last job.Answer
	for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			sleep(ctx, ownerRetryDelay)
		}
		answer, err := p.attempt(ctx, c)
		if err == nil {
			return answer
		}
		var unknown *owner.UnknownError
		var refused *owner.RefusedError
		switch {
		case errors.As(err, &unknown):
			mayHaveRun = true
			last = job.Answer{Detail: err.Error()}
		case errors.As(err, &refused):
			last = job.Answer{RetryAfter: refused.RetryAfter, Detail: refused.Reason}
			if refused.Final {
				attempt = maxAttempts
			}
		default:
			last = job.Answer{RetryAfter: 1000, Detail: err.Error()}
		}
	}
	last.Outcome = job.OutcomeNotAccepted
	if mayHaveRun {
		last.Outcome = job.OutcomeUnknown
	}
	return last
}

// attempt performs a call once, in this process or at the member that owns the pool.
func (p *Process) attempt(ctx context.Context, c poolCall) (job.Answer, error) {
	p.mu.Lock()
	own := p.owners[c.pool]
	p.mu.Unlock()
	if own != nil {
		return c.local(ctx, own.owner)
	}
	holder := p.ownerLease(c.pool).Holder()
	if holder.Member == "" || holder.Address == p.memberAddress() {
		return job.Answer{}, &owner.RefusedError{Reason: "the pool has no owner", RetryAfter: 1000}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	return c.remote(ctx, holder.Address)
}

// submit validates and submits the job of a caller.
func (p *Process) submit(ctx context.Context, c *platform.ClientRequest, j *job.Job) job.Answer {
	start := time.Now()
	ref, ok := p.resolve(c)
	if !ok {
		return job.Answer{Outcome: job.OutcomeNoQueue}
	}
	j.ID, j.Queue, j.Team = ref.id, ref.queue.ID, ref.team
	if err := j.Check(); err != nil {
		p.recordOutcome("submit", ref, job.Answer{Outcome: job.OutcomeInvalid, Detail: err.Error()}, start)
		return job.Answer{Outcome: job.OutcomeInvalid, Detail: err.Error()}
	}
	ctx, cancel := withDeadline(ctx, c.Deadline)
	defer cancel()
	answer := p.submitToPool(ctx, ref, j, start)
	p.recordOutcome("submit", ref, answer, start)
	return answer
}

// submitToPool submits a job to its queue's pool. The job gets the policy of its queue here, because the
// owner may have read another configuration. arrival is the time at which the call arrived.
func (p *Process) submitToPool(ctx context.Context, ref jobRef, j *job.Job, arrival time.Time) job.Answer {
	policy := ref.queue.Policy()
	j.Policy = &policy
	if err := p.checkStoredSize(j); err != nil {
		return job.Answer{Outcome: job.OutcomeInvalid, Detail: err.Error()}
	}
	route := owner.Route{Queue: ref.queue.Address(), Version: ref.configVersion}
	accepted := job.Answer{Outcome: job.OutcomeDone, State: job.Queued}
	waited := func() clock.Millis { return clock.Millis(time.Since(arrival).Milliseconds()) }
	return p.perform(ctx, poolCall{
		pool: ref.queue.Pool,
		local: func(ctx context.Context, o *owner.Owner) (job.Answer, error) {
			return accepted, o.Submit(ctx, j, route, waited())
		},
		remote: func(ctx context.Context, address string) (job.Answer, error) {
			return accepted, p.members.submit(ctx, address, ref.queue.Pool, j, route, waited())
		},
	})
}

// checkStoredSize returns a *job.FieldError if the store does not take the row of a job.
func (p *Process) checkStoredSize(j *job.Job) error {
	limit := p.Settings.MaxRowBytes
	if limit == 0 {
		limit = owner.DefaultMaxRowBytes
	}
	encoded, err := j.Encode()
	if err != nil {
		return err
	}
	if len(encoded)+acceptedTimeBytes > limit {
		return &job.FieldError{Field: "job", Value: fmt.Sprintf("%d bytes as stored", len(encoded)), Accepted: fmt.Sprintf("at most %d bytes", limit-acceptedTimeBytes)}
	}
	return nil
}

// acceptedTimeBytes is what the time of acceptance adds to the stored job.
const acceptedTimeBytes = 40

func (p *Process) stateCall(pool fleet.PoolID, id job.ID) poolCall {
	return poolCall{
		pool: pool,
		local: func(ctx context.Context, o *owner.Owner) (job.Answer, error) {
			status, found, err := o.Status(ctx, id)
			return statusAnswer(status, found), err
		},
		remote: func(ctx context.Context, address string) (job.Answer, error) {
			status, found, err := p.members.status(ctx, address, pool, id)
			return statusAnswer(status, found), err
		},
	}
}

func statusAnswer(status owner.JobStatus, found bool) job.Answer {
	if !found {
		return job.Answer{Outcome: job.OutcomeNoSuchJob, Detail: "no such job"}
	}
	return job.Answer{Outcome: job.OutcomeDone, State: status.State, Detail: status.Cause}
}

func (p *Process) cancelCall(pool fleet.PoolID, id job.ID) poolCall {
	return poolCall{
		pool: pool,
		local: func(ctx context.Context, o *owner.Owner) (job.Answer, error) {
			found, err := o.Cancel(ctx, id)
			return statusAnswer(owner.JobStatus{State: job.Cancelled}, found), err
		},
		remote: func(ctx context.Context, address string) (job.Answer, error) {
			found, err := p.members.cancel(ctx, address, pool, id)
			return statusAnswer(owner.JobStatus{State: job.Cancelled}, found), err
		},
	}
}

// handleJobCall performs a caller's call on an existing job within its deadline, and logs the
// outcome. newCall returns the call for one pool.
func (p *Process) handleJobCall(ctx context.Context, name string, c *platform.ClientRequest, newCall func(fleet.PoolID, job.ID) poolCall) job.Answer {
	start := time.Now()
	ref, ok := p.resolve(c)
	if !ok {
		return job.Answer{Outcome: job.OutcomeNoQueue}
	}
	if !job.ValidID(ref.id) {
		return job.Answer{Outcome: job.OutcomeNoSuchJob, Detail: "no such job"}
	}
	ctx, cancel := withDeadline(ctx, c.Deadline)
	defer cancel()
	answer := p.performOnPools(ctx, ref, newCall)
	p.recordOutcome(name, ref, answer, start)
	return answer
}

// performOnPools performs a call at the queue's pool and, while the job is not found, at the other
// pools that can have it.
func (p *Process) performOnPools(ctx context.Context, ref jobRef, newCall func(fleet.PoolID, job.ID) poolCall) job.Answer {
	answer := p.perform(ctx, newCall(ref.queue.Pool, ref.id))
	if answer.Outcome != job.OutcomeNoSuchJob {
		return answer
	}
	for _, pool := range p.otherPools(ref) {
		if answer = p.perform(ctx, newCall(pool, ref.id)); answer.Outcome != job.OutcomeNoSuchJob {
			return answer
		}
	}
	return answer
}

// otherPools returns the pools other than a queue's own that can have jobs of the queue. These are
// all pools but the spare one: a queue may have been in any of them.
func (p *Process) otherPools(ref jobRef) []fleet.PoolID {
	var pools []fleet.PoolID
	for id, pool := range p.catalog.Load().Pools {
		if id != ref.queue.Pool && !pool.Spare {
			pools = append(pools, id)
		}
	}
	return pools
}

func (p *Process) state(ctx context.Context, c *platform.ClientRequest) job.Answer {
	return p.handleJobCall(ctx, "state", c, p.stateCall)
}

func (p *Process) cancelJob(ctx context.Context, c *platform.ClientRequest) job.Answer {
	return p.handleJobCall(ctx, "cancel", c, p.cancelCall)
}

func (p *Process) pending(ctx context.Context, c *platform.ClientRequest) job.Answer {
	start := time.Now()
	ref, ok := p.resolve(c)
	if !ok {
		return job.Answer{Outcome: job.OutcomeNoQueue}
	}
	ctx, cancel := withDeadline(ctx, c.Deadline)
	defer cancel()
	answer := p.perform(ctx, p.pendingCall(ref))
	p.recordOutcome("pending", ref, answer, start)
	return answer
}

// pendingCall returns the call that counts a queue's jobs of which no task has started.
func (p *Process) pendingCall(ref jobRef) poolCall {
	return poolCall{
		pool: ref.queue.Pool,
		local: func(_ context.Context, o *owner.Owner) (job.Answer, error) {
			count, err := o.Pending(ref.queue.ID)
			return job.Answer{Outcome: job.OutcomeDone, Pending: count}, err
		},
		remote: func(ctx context.Context, address string) (job.Answer, error) {
			count, err := p.members.pending(ctx, address, ref.queue.Pool, ref.queue.ID)
			return job.Answer{Outcome: job.OutcomeDone, Pending: count}, err
		},
	}
}

// recordOutcome logs and counts the outcome of a call.
func (p *Process) recordOutcome(name string, ref jobRef, answer job.Answer, start time.Time) {
	duration := time.Since(start)
	outcome := answer.Outcome.String()
	p.metrics.callerCalls.WithLabelValues(name, outcome).Inc()
	p.metrics.callSeconds.Observe(duration.Seconds())
	if name == "state" && answer.Outcome == job.OutcomeDone {
		return // state queries change nothing and are frequent
	}
	holder := p.ownerLease(ref.queue.Pool).Holder()
	p.Log.Info("hosted: call finished", "call", name, "job", ref.id, "queue", ref.queue.ID, "team", ref.team, "pool", ref.queue.Pool,
		"owner", holder.Member, "fence", holder.Fence, "config_version", uint64(ref.configVersion), "outcome", outcome, "state", string(answer.State),
		"detail", answer.Detail, "retry_after_ms", int64(answer.RetryAfter), "took_ms", duration.Milliseconds())
}
