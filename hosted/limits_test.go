package hosted_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/standin/deployment"
)

// Guards against a gang that waits on idle workers, because its team has a long backlog in another pool and the
// team's limit was divided in proportion to demand. The backlog's worker has little room, so that most of the limit
// is unused.
func TestGangStartsBesideBacklogInAnotherPool(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2)
	c.addWorkerOf("other", "z1").SetCapacity(4000)
	c.teamLimit = map[string]any{"cpu": 20_000}
	c.configureRoutes(2, sortRoute, backlogRoute)
	m := c.otherMember()
	backlog := "backlog/" + jobID(1)
	c.submit(m, backlog, `{"spec":"3000","steps":[{"count":400,"cpu":1000,"memMb":10,"estMs":3000}]}`)
	c.waitFor(15*time.Second, "tasks of the backlog have ended, so that the fleet leader knows of it", func() bool {
		return slices.ContainsFunc(c.workers, func(w *deployment.Worker) bool {
			return slices.ContainsFunc(w.Runs(), func(r deployment.Run) bool { return r.EndReason == "done" })
		})
	})
	c.submit(m, jobID(2), `{"spec":"100","steps":[{"count":12,"cpu":500,"memMb":10,"estMs":100,"gang":true}]}`)
	c.waitComplete(m, jobID(2), 5*time.Second)
	status, _ := c.call(m, http.MethodDelete, backlog, "")
	must.Eq(t, http.StatusOK, status)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
}
