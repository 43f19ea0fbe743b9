package hosted

import (
	"context"
	"errors"
	"net/http"
	"time"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/platform"
)

// Times and bounds of a call.
const (
	defaultDeadline clock.Millis = 3000 // of a call that names none
	answerReserve   clock.Millis = 100  // of the deadline that is kept for the way back to the caller
	ownerPause      clock.Millis = 100  // between tries while a pool has no owner
	tryWait         clock.Millis = 1000 // of one try at a member that may be silent
	maxTries                     = 12
)

// front returns the handler for callers.
func (p *Process) front() http.Handler {
	return &platform.Front{Admit: p.admit, Submit: p.submit, Cancel: p.cancelJob, State: p.state, Pending: p.pending, Skipped: p.skipped}
}

// admit decides whether a call may be made: it needs a configuration, a queue and, unless the
// queue is open, a key. It is the one place that checks keys of the platform's clients.
func (p *Process) admit(c *platform.Call) (int64, job.Answer, bool) {
	cat := p.catalog.Load()
	if cat == nil {
		return 0, job.Answer{Outcome: job.OutcomeNotAccepted, RetryAfter: 1000, Detail: "no configuration yet"}, false
	}
	q, _ := cat.Find(c.Host, c.Path)
	if q == nil {
		p.refused(c, cat, "no_queue")
		return 0, job.Answer{Outcome: job.OutcomeNoQueue, Detail: "no queue has this path"}, false
	}
	if !q.Open {
		if _, ok := cat.Keys[fleet.HashKey(c.Key)]; !ok {
			p.refused(c, cat, "no_key")
			return 0, job.Answer{Outcome: job.OutcomeNoKey, Detail: "the key is missing or unknown"}, false
		}
	}
	limit := cat.MaxBodyBytes
	if limit <= 0 {
		limit = caller.DefaultMaxJob
	}
	return limit, job.Answer{}, true
}

func (p *Process) skipped(c *platform.Call, field string) {
	p.Log.Warn("hosted: field of a job skipped", "path", c.Path, "host", c.Host, "field", field)
}

func (p *Process) refused(c *platform.Call, cat *job.Catalog, why string) {
	p.metrics.calls.WithLabelValues("admit", why).Inc()
	p.Log.Info("hosted: call refused", "path", c.Path, "host", c.Host, "reason", why, "config_version", uint64(cat.Version))
}

// place is the queue of a call and what it names there.
type place struct {
	queue   *job.Queue
	team    fleet.TeamID
	id      job.ID
	version fleet.Version
}

func (p *Process) locate(c *platform.Call) (place, bool) {
	cat := p.catalog.Load()
	q, rest := cat.Find(c.Host, c.Path)
	if q == nil {
		return place{}, false
	}
	l := place{queue: q, id: job.ID(rest), version: cat.Version}
	if !q.Open {
		l.team = cat.Keys[fleet.HashKey(c.Key)]
	}
	return l, true
}

// deadline ends ctx before the time within which a call is to be answered; 0 means that the
// caller named none.
func deadline(ctx context.Context, d clock.Millis) (context.Context, context.CancelFunc) {
	if d <= 0 {
		d = defaultDeadline
	}
	return context.WithTimeout(ctx, max(d-answerReserve, answerReserve).Duration())
}

// call is one operation on a pool, at its owner.
type call struct {
	name  string
	pool  fleet.PoolID
	id    job.ID
	local func(ctx context.Context, o *owner.Owner) (job.Answer, error)
	// remote makes the call at a member.
	remote func(ctx context.Context, address string) (job.Answer, error)
}

// perform makes a call at the pool's owner. It tries again while the pool changes its owner.
// A try without an answer may have had an effect, so that no later refusal is certain.
func (p *Process) perform(ctx context.Context, c call) job.Answer {
	maybe := false
	var last job.Answer
	for try := 0; try < maxTries && ctx.Err() == nil; try++ {
		if try > 0 {
			pause(ctx, ownerPause)
		}
		answer, err := p.try(ctx, c)
		if err == nil {
			return answer
		}
		var unknown *owner.UnknownError
		var refused *owner.RefusedError
		switch {
		case errors.As(err, &unknown):
			maybe = true
			last = job.Answer{Detail: err.Error()}
		case errors.As(err, &refused):
			last = job.Answer{RetryAfter: refused.RetryAfter, Detail: refused.Reason}
			if refused.Final {
				try = maxTries
			}
		default:
			last = job.Answer{RetryAfter: 1000, Detail: err.Error()}
		}
	}
	last.Outcome = job.OutcomeNotAccepted
	if maybe {
		last.Outcome = job.OutcomeUnknown
	}
	return last
}

// try makes a call once, here or at the member that owns the pool.
func (p *Process) try(ctx context.Context, c call) (job.Answer, error) {
	p.mu.Lock()
	own := p.owners[c.pool]
	p.mu.Unlock()
	if own != nil {
		return c.local(ctx, own.owner)
	}
	h := p.tenure(c.pool).Holder()
	if h.Member == "" || h.Address == p.memberAddress() {
		return job.Answer{}, &owner.RefusedError{Reason: "the pool has no owner", RetryAfter: 1000}
	}
	ctx, cancel := context.WithTimeout(ctx, tryWait.Duration())
	defer cancel()
	return c.remote(ctx, h.Address)
}

// submit hands a job in.
func (p *Process) submit(ctx context.Context, c *platform.Call, j *job.Job) job.Answer {
	begun := time.Now()
	l, ok := p.locate(c)
	if !ok {
		return job.Answer{Outcome: job.OutcomeNoQueue}
	}
	j.ID, j.Queue, j.Team = l.id, l.queue.ID, l.team
	if err := j.Check(); err != nil {
		p.decided("submit", l, job.Answer{Outcome: job.OutcomeInvalid, Detail: err.Error()}, begun)
		return job.Answer{Outcome: job.OutcomeInvalid, Detail: err.Error()}
	}
	ctx, cancel := deadline(ctx, c.Deadline)
	defer cancel()
	a := p.submitTo(ctx, l, j)
	p.decided("submit", l, a, begun)
	return a
}

// submitTo makes sure first that no pool that the queue had before holds the job.
func (p *Process) submitTo(ctx context.Context, l place, j *job.Job) job.Answer {
	for _, pool := range p.formerPools(l) {
		if a := p.perform(ctx, p.stateCall(pool, l.id)); a.Outcome != job.OutcomeNoSuchJob {
			return a
		}
	}
	done := job.Answer{Outcome: job.OutcomeDone, State: job.Queued}
	return p.perform(ctx, call{
		name: "submit", pool: l.queue.Pool, id: l.id,
		local: func(ctx context.Context, o *owner.Owner) (job.Answer, error) { return done, o.Submit(ctx, j) },
		remote: func(ctx context.Context, address string) (job.Answer, error) {
			return done, p.members.submit(ctx, address, l.queue.Pool, j)
		},
	})
}

func (p *Process) formerPools(l place) []fleet.PoolID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fleet.PoolID
	for _, pool := range p.formerly[l.queue.ID] {
		if pool != l.queue.Pool {
			out = append(out, pool)
		}
	}
	return out
}

func (p *Process) stateCall(pool fleet.PoolID, id job.ID) call {
	return call{
		name: "state", pool: pool, id: id,
		local: func(ctx context.Context, o *owner.Owner) (job.Answer, error) {
			state, found, err := o.State(ctx, id)
			return stateAnswer(state, found), err
		},
		remote: func(ctx context.Context, address string) (job.Answer, error) {
			state, found, err := p.members.state(ctx, address, pool, id)
			return stateAnswer(state, found), err
		},
	}
}

func stateAnswer(state job.State, found bool) job.Answer {
	if !found {
		return job.Answer{Outcome: job.OutcomeNoSuchJob, Detail: "no such job"}
	}
	return job.Answer{Outcome: job.OutcomeDone, State: state}
}

func (p *Process) cancelCall(pool fleet.PoolID, id job.ID) call {
	return call{
		name: "cancel", pool: pool, id: id,
		local: func(ctx context.Context, o *owner.Owner) (job.Answer, error) {
			found, err := o.Cancel(ctx, id)
			return stateAnswer(job.Cancelled, found), err
		},
		remote: func(ctx context.Context, address string) (job.Answer, error) {
			found, err := p.members.cancel(ctx, address, pool, id)
			return stateAnswer(job.Cancelled, found), err
		},
	}
}

// anywhere answers a caller's call on a job.
func (p *Process) anywhere(ctx context.Context, name string, c *platform.Call, f func(fleet.PoolID, job.ID) call) job.Answer {
	begun := time.Now()
	l, ok := p.locate(c)
	if !ok {
		return job.Answer{Outcome: job.OutcomeNoQueue}
	}
	if !job.ValidID(l.id) {
		return job.Answer{Outcome: job.OutcomeNoSuchJob, Detail: "no such job"}
	}
	ctx, cancel := deadline(ctx, c.Deadline)
	defer cancel()
	a := p.everywhere(ctx, l, f)
	p.decided(name, l, a, begun)
	return a
}

// everywhere makes a call at the queue's pool and, if the job is not there, at the others that
// can hold it.
func (p *Process) everywhere(ctx context.Context, l place, f func(fleet.PoolID, job.ID) call) job.Answer {
	a := p.perform(ctx, f(l.queue.Pool, l.id))
	if a.Outcome != job.OutcomeNoSuchJob {
		return a
	}
	for _, pool := range p.otherPools(l) {
		if a = p.perform(ctx, f(pool, l.id)); a.Outcome != job.OutcomeNoSuchJob {
			return a
		}
	}
	return a
}

// otherPools returns the pools besides a queue's own that can hold its jobs: a member that
// started after the queue's pool changed does not know which it had.
func (p *Process) otherPools(l place) []fleet.PoolID {
	var out []fleet.PoolID
	for id, pool := range p.catalog.Load().Pools {
		if id != l.queue.Pool && !pool.Spare {
			out = append(out, id)
		}
	}
	return out
}

func (p *Process) state(ctx context.Context, c *platform.Call) job.Answer {
	return p.anywhere(ctx, "state", c, p.stateCall)
}

func (p *Process) cancelJob(ctx context.Context, c *platform.Call) job.Answer {
	return p.anywhere(ctx, "cancel", c, p.cancelCall)
}

func (p *Process) pending(ctx context.Context, c *platform.Call) job.Answer {
	begun := time.Now()
	l, ok := p.locate(c)
	if !ok {
		return job.Answer{Outcome: job.OutcomeNoQueue}
	}
	ctx, cancel := deadline(ctx, c.Deadline)
	defer cancel()
	a := p.perform(ctx, p.pendingCall(l))
	p.decided("pending", l, a, begun)
	return a
}

// pendingCall counts a queue's jobs of which no task has started.
func (p *Process) pendingCall(l place) call {
	return call{
		name: "pending", pool: l.queue.Pool,
		local: func(_ context.Context, o *owner.Owner) (job.Answer, error) {
			n, err := o.Pending(l.queue.ID)
			return job.Answer{Outcome: job.OutcomeDone, Pending: n}, err
		},
		remote: func(ctx context.Context, address string) (job.Answer, error) {
			n, err := p.members.pending(ctx, address, l.queue.Pool, l.queue.ID)
			return job.Answer{Outcome: job.OutcomeDone, Pending: n}, err
		},
	}
}

// decided logs and counts the outcome of a call.
func (p *Process) decided(name string, l place, a job.Answer, begun time.Time) {
	took := time.Since(begun)
	outcome := a.Outcome.String()
	p.metrics.calls.WithLabelValues(name, outcome).Inc()
	p.metrics.callTime.Observe(took.Seconds())
	if name == "state" && a.Outcome == job.OutcomeDone {
		return // readings change nothing and are many
	}
	h := p.tenure(l.queue.Pool).Holder()
	p.Log.Info("hosted: call answered", "call", name, "job", l.id, "queue", l.queue.ID, "team", l.team, "pool", l.queue.Pool,
		"owner", h.Member, "fence", h.Fence, "config_version", uint64(l.version), "outcome", outcome, "state", string(a.State),
		"detail", a.Detail, "retry_after_ms", int64(a.RetryAfter), "took_ms", took.Milliseconds())
}
