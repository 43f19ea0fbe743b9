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

// configFresh reports whether the configuration is recent enough to accept the keys of a team.
// No other check bounds how long a withdrawn key is accepted (invariant I4).
func (p *Process) configFresh(t fleet.Team) bool {
	age, ok := p.follower.Age()
	return ok && age <= max(clock.MillisOf(p.settings.MaxStaleness), t.MaxStaleness)
}

func (p *Process) share(t fleet.TeamID) fleet.Share { return p.current.Load().Teams[t].Share }

// forward sends a request to a target and reports whether it ran.
func (p *Process) forward(w http.ResponseWriter, r *http.Request, request *caller.Request) (caller.Outcome, error) {
	err := p.dispatcher.Forward(w, r, target.Request{
		ID: request.ID, Team: request.Team, Queue: request.Queue.ID, Pool: request.Queue.Pool, IdempotencyKey: request.IdempotencyKey,
		Idempotent: request.Queue.Idempotent, Deadline: request.Deadline,
	})
	if err == nil {
		return caller.Ran, nil
	}
	problem := forwardProblem(err)
	return problem.Outcome, problem
}

// forwardProblem describes a request that got no response from a target. A refusal by a
// target's admission check is not counted as a failed start: it means that the target is full,
// not that the request can't run.
func forwardProblem(err error) *caller.Problem {
	problem := &caller.Problem{
		Status: http.StatusBadGateway, Title: "no answer from a target", Detail: err.Error(), Outcome: caller.Unknown, Reason: "target",
	}
	var targetErr *target.Error
	if errors.As(err, &targetErr) && !targetErr.Sent {
		problem.Status, problem.Outcome, problem.FailedStarts = http.StatusServiceUnavailable, caller.NotRun, targetErr.Attempts-targetErr.Refusals
	}
	return problem
}

// claimOutcomes maps the outcome of a request to the one that is recorded with its claim.
var claimOutcomes = map[caller.Outcome]rowstore.Outcome{
	caller.Ran: rowstore.OutcomeRan, caller.NotRun: rowstore.OutcomeNotRun, caller.Unknown: rowstore.OutcomeUnknown,
}

// claim records that a request that is not idempotent is about to run. It returns the function
// that records its outcome.
func (p *Process) claim(ctx context.Context, request *caller.Request) (func(caller.Outcome, *caller.Response), error) {
	claim, err := p.claims.Claim(ctx, rowstore.ClaimRequest{
		Team: request.Team, Queue: request.Queue.ID, IdempotencyKey: request.IdempotencyKey, Request: request.ID,
	})
	if err != nil {
		return nil, claimProblem(err)
	}
	return func(outcome caller.Outcome, answer *caller.Response) {
		var recorded *rowstore.RecordedAnswer
		if answer != nil {
			recorded = &rowstore.RecordedAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
		}
		claim.Settle(claimOutcomes[outcome], recorded)
	}, nil
}

// claimProblem returns the response to a request that could not be claimed, such as one whose
// idempotency key was used before.
func claimProblem(err error) error {
	var claimErr *rowstore.ClaimError
	if !errors.As(err, &claimErr) {
		return err
	}
	switch claimErr.State {
	case rowstore.ClaimRanAlready:
		if claimErr.Answer != nil {
			return &caller.RecordedError{Response: caller.Response{Status: claimErr.Answer.Status, Header: claimErr.Answer.Header, Body: claimErr.Answer.Body}}
		}
		return &caller.Problem{
			Status: http.StatusConflict, Title: "ran already", Outcome: caller.Ran, Reason: "repeat",
			Detail: "the request ran under this idempotency key; its answer was not recorded",
		}
	case rowstore.ClaimStoreUnavailable:
		return &caller.Problem{
			Status: http.StatusServiceUnavailable, Title: "the request could not be claimed", Outcome: caller.NotRun, Reason: "claim",
			Detail: "the platform's table service is out of reach",
		}
	}
	return &caller.Problem{
		Status: http.StatusConflict, Title: "claimed by another request", Outcome: caller.Unknown, Reason: "repeat",
		Detail: "a request with this idempotency key is running, or its outcome is unknown",
	}
}
