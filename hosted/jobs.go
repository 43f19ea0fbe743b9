package hosted

import (
	"context"
	"net/http"
	"time"

	"citronknot/caller"
	"citronknot/job"
)

// jobsHandler returns the HTTP handler for callers that use citronknot's own job interface, in
// package caller.
func (p *Process) jobsHandler() http.Handler {
	handler := &caller.Jobs{
		Catalog: p.catalog.Load,
		Submit: func(ctx context.Context, c caller.JobCall, j *job.Job) job.Answer {
			arrival := time.Now()
			return p.handleCallerCall(ctx, "submit", c, func(ctx context.Context, ref jobRef) job.Answer {
				return p.submitToPool(ctx, ref, j, arrival)
			})
		},
		Cancel: func(ctx context.Context, c caller.JobCall) job.Answer {
			return p.handleCallerCall(ctx, "cancel", c, func(ctx context.Context, ref jobRef) job.Answer { return p.performOnPools(ctx, ref, p.cancelCall) })
		},
		State: func(ctx context.Context, c caller.JobCall) job.Answer {
			return p.handleCallerCall(ctx, "state", c, func(ctx context.Context, ref jobRef) job.Answer { return p.performOnPools(ctx, ref, p.stateCall) })
		},
		CountWaiting: func(ctx context.Context, c caller.JobCall) job.Answer {
			return p.handleCallerCall(ctx, "pending", c, func(ctx context.Context, ref jobRef) job.Answer { return p.perform(ctx, p.pendingCall(ref)) })
		},
	}
	return handler.Handler()
}

// handleCallerCall runs a call within its deadline and logs its outcome.
func (p *Process) handleCallerCall(ctx context.Context, name string, c caller.JobCall, run func(context.Context, jobRef) job.Answer) job.Answer {
	start := time.Now()
	ref := jobRef{queue: c.Queue, team: c.Team, id: c.Job, configVersion: c.Version}
	ctx, cancel := withDeadline(ctx, c.Deadline)
	defer cancel()
	answer := run(ctx, ref)
	p.recordOutcome(name, ref, answer, start)
	return answer
}
