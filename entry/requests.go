package entry

import (
	"context"
	"errors"
	"net/http"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/fleet/target"
	"citronknot/rowstore"
)

// fresh reports whether the configuration is recent enough to accept the keys of a team. It is
// the one place that bounds how long a withdrawn key works (I4).
func (p *Process) fresh(t fleet.Team) bool {
	age, ok := p.follower.Age()
	return ok && age <= max(clock.Of(p.settings.Staleness), t.MaxStaleness)
}

func (p *Process) share(t fleet.TeamID) fleet.Share { return p.current.Load().Teams[t].Share }

func (p *Process) forward(w http.ResponseWriter, r *http.Request, q *caller.Request) (caller.Outcome, error) {
	err := p.dispatcher.Forward(w, r, target.Request{
		ID: q.ID, Team: q.Team, Queue: q.Queue.ID, Pool: q.Queue.Pool, IdempotencyKey: q.IdempotencyKey,
		Idempotent: q.Queue.Idempotent, Deadline: q.Deadline,
	})
	if err == nil {
		return caller.Ran, nil
	}
	problem := failed(err)
	return problem.Run, problem
}

// failed describes a request that got no answer from a target. A guard's refusal is no failed
// start: it says that the target is full, not that the request cannot run.
func failed(err error) *caller.Problem {
	p := &caller.Problem{
		Status: http.StatusBadGateway, Title: "no answer from a target", Detail: err.Error(), Run: caller.Unknown, Reason: "target",
	}
	var te *target.Error
	if errors.As(err, &te) && !te.Sent {
		p.Status, p.Run, p.FailedStarts = http.StatusServiceUnavailable, caller.NotRun, te.Attempts-te.Refusals
	}
	return p
}

var outcomes = map[caller.Outcome]rowstore.Outcome{
	caller.Ran: rowstore.OutcomeRan, caller.NotRun: rowstore.OutcomeNotRun, caller.Unknown: rowstore.OutcomeUnknown,
}

// claim records that a request that is not idempotent is about to run.
func (p *Process) claim(ctx context.Context, q *caller.Request) (func(caller.Outcome, *caller.Answer), error) {
	c, err := p.claims.Claim(ctx, rowstore.ClaimRequest{
		Team: q.Team, Queue: q.Queue.ID, IdempotencyKey: q.IdempotencyKey, Request: q.ID,
	})
	if err != nil {
		return nil, claimProblem(err)
	}
	return func(o caller.Outcome, a *caller.Answer) {
		var recorded *rowstore.RecordedAnswer
		if a != nil {
			recorded = &rowstore.RecordedAnswer{Status: a.Status, Header: a.Header, Body: a.Body}
		}
		c.Settle(outcomes[o], recorded)
	}, nil
}

// claimProblem answers a repeat of a request, or one that could not be claimed.
func claimProblem(err error) error {
	var ce *rowstore.ClaimError
	if !errors.As(err, &ce) {
		return err
	}
	switch ce.State {
	case rowstore.ClaimRanAlready:
		if ce.Answer != nil {
			return &caller.RecordedError{Answer: caller.Answer{Status: ce.Answer.Status, Header: ce.Answer.Header, Body: ce.Answer.Body}}
		}
		return &caller.Problem{
			Status: http.StatusConflict, Title: "ran already", Run: caller.Ran, Reason: "repeat",
			Detail: "the request ran under this idempotency key; its answer was not recorded",
		}
	case rowstore.ClaimStoreUnavailable:
		return &caller.Problem{
			Status: http.StatusServiceUnavailable, Title: "the request could not be claimed", Run: caller.NotRun, Reason: "claim",
			Detail: "the platform's table service is out of reach",
		}
	}
	return &caller.Problem{
		Status: http.StatusConflict, Title: "claimed by another request", Run: caller.Unknown, Reason: "repeat",
		Detail: "a request with this idempotency key is running, or its outcome is unknown",
	}
}
