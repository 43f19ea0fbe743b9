package owner_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/job"
	"citronknot/owner"
)

// Guards against a job that fails although nothing is wrong with it: one crash of a worker, with 2,000 of its
// tasks, was recorded for each of them, and the record outgrew a row of the store.
func TestWideJobOutlivesCrashOfWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := newFakeFleet(3)
		workers.runTime = 8 * time.Second
		var log bytes.Buffer
		poolOwner := startOwner(t, owner.Config{
			Table: newStore().table(), Calls: workers.calls(), FinalStateRetention: 120_000, Log: slog.New(slog.NewTextHandler(&log, nil)),
		})
		capacity := job.Resources{CPU: 2000, Memory: 2000}
		poolOwner.SetWorkers(workers.list(capacity))
		time.Sleep(time.Second)
		wide := &job.Job{ID: "00000000000000aa", Queue: "q", Steps: []job.Step{{Count: 4000, Needs: job.Resources{CPU: 1, Memory: 1}, Estimate: 8000}}}
		must.NoError(t, poolOwner.Submit(t.Context(), wide, owner.Route{}, 0))
		time.Sleep(5 * time.Second)
		workers.restart("w0")
		poolOwner.SetWorkers(workers.list(capacity))
		time.Sleep(60 * time.Second)
		status, _, err := poolOwner.Status(t.Context(), wide.ID)
		must.NoError(t, err)
		must.Eq(t, job.Complete, status.State, must.Sprint(status.Cause))
		must.Eq(t, "", workers.doubled())
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
		must.True(t, strings.Contains(log.String(), "cause=crash"))
		must.False(t, strings.Contains(log.String(), "not recorded in full"))
	})
}
