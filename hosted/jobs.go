package hosted

import (
	"context"
	"net/http"
	"time"

	"citronknot/caller"
	"citronknot/job"
)

// jobs returns the handler of the product's own interface for callers.
func (p *Process) jobs() http.Handler {
	calls := &caller.Jobs{
		Catalog: p.catalog.Load,
		Submit: func(ctx context.Context, c caller.JobCall, j *job.Job) job.Answer {
			return p.answer(ctx, "submit", c, func(ctx context.Context, l place) job.Answer { return p.submitTo(ctx, l, j) })
		},
		Cancel: func(ctx context.Context, c caller.JobCall) job.Answer {
			return p.answer(ctx, "cancel", c, func(ctx context.Context, l place) job.Answer { return p.everywhere(ctx, l, p.cancelCall) })
		},
		State: func(ctx context.Context, c caller.JobCall) job.Answer {
			return p.answer(ctx, "state", c, func(ctx context.Context, l place) job.Answer { return p.everywhere(ctx, l, p.stateCall) })
		},
		Waiting: func(ctx context.Context, c caller.JobCall) job.Answer {
			return p.answer(ctx, "pending", c, func(ctx context.Context, l place) job.Answer { return p.perform(ctx, p.pendingCall(l)) })
		},
	}
	return calls.Handler()
}

// answer carries a call out within its deadline and logs it.
func (p *Process) answer(ctx context.Context, name string, c caller.JobCall, f func(context.Context, place) job.Answer) job.Answer {
	begun := time.Now()
	l := place{queue: c.Queue, team: c.Team, id: c.Job, version: c.Version}
	ctx, cancel := deadline(ctx, c.Deadline)
	defer cancel()
	a := f(ctx, l)
	p.decided(name, l, a, begun)
	return a
}
