package entry

import (
	"errors"
	"net/http"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/target"
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
	problem := &caller.Problem{
		Status: http.StatusBadGateway, Title: "no answer from a target", Detail: err.Error(), Run: caller.Unknown, Reason: "target",
	}
	var te *target.Error
	if errors.As(err, &te) && !te.Sent {
		problem.Run, problem.FailedStarts = caller.NotRun, te.Attempts
		problem.Status = http.StatusServiceUnavailable
	}
	return problem.Run, problem
}
