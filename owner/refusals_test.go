package owner_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/schedule"
)

// Guards against refusals of accepted jobs and of repeats of them, against refusals that are tried again inside, against a
// row or a state of a job that was refused, and against a log line for each of thousands of refusals.
func TestRefusedJobsLeaveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		var log bytes.Buffer
		metrics := owner.NewMetrics()
		poolOwner := startOwner(t, owner.Config{
			Table: store.table(), Log: slog.New(slog.NewTextHandler(&log, nil)), Metrics: metrics, FinalStateRetention: 60_000,
			Policy:    func(fleet.QueueID) (job.Policy, bool) { return job.Policy{Attempts: 1, Stretch: 1.5}, true },
			MayRefuse: func(team fleet.TeamID, _ clock.Millis) bool { return team == "alpha" },
		})
		ctx := t.Context()
		poolOwner.SetWorkers([]owner.ListedWorker{{Worker: schedule.Worker{ID: "w1", Incarnation: 1, Capacity: job.Resources{CPU: 1000}}, Address: "a"}})
		time.Sleep(3 * time.Second)
		submit := func(n int, team fleet.TeamID) error {
			step := job.Step{Count: 1, Needs: job.Resources{CPU: 1000}, Estimate: 1000}
			return poolOwner.Submit(ctx, &job.Job{ID: job.ID(fmt.Sprintf("%016x", n)), Queue: "q", Team: team, Steps: []job.Step{step}}, owner.Route{}, 0)
		}
		for n := range 12 {
			must.NoError(t, submit(n, "beta"), must.Sprint("only jobs of alpha may be refused"))
		}
		time.Sleep(200 * time.Millisecond)
		for n := range 200 {
			var refused *owner.RefusedError
			must.True(t, errors.As(submit(1000+n, "alpha"), &refused))
			must.True(t, refused.Final, must.Sprint("members do not try again inside"))
			must.Between(t, 1000, refused.RetryAfter, 8000)
		}
		must.NoError(t, submit(3, "alpha"), must.Sprint("the repeat of an accepted job"))
		registry := prometheus.NewRegistry()
		registry.MustRegister(metrics.Refusals)
		families, err := registry.Gather()
		must.NoError(t, err)
		must.Eq(t, 200, families[0].GetMetric()[0].GetCounter().GetValue())
		must.Eq(t, 20, strings.Count(log.String(), "owner: refused a job"))
		must.Eq(t, 200, poolOwner.Dump().Schedule.Admission.Refused)
		_, found, err := poolOwner.Status(ctx, "00000000000003e8")
		must.NoError(t, err)
		must.False(t, found)
		time.Sleep(1100 * time.Millisecond)
		for n := range 12 {
			must.NoError(t, submit(100+n, "beta"))
		}
		must.Error(t, submit(1000, "alpha"))
		must.StrContains(t, log.String(), "unlogged=180")
		poolOwner.Direct(owner.Direction{Arriving: []owner.Arrival{{In: 200, Capacity: job.Resources{CPU: 64_000}}}})
		must.NoError(t, submit(1000, "alpha"), must.Sprint("machines are on their way"))
		poolOwner.Direct(owner.Direction{})
		must.Error(t, submit(1001, "alpha"))
		for ref := range store.rows {
			must.StrNotContains(t, ref.Key, "00000000000003e9")
		}
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}
