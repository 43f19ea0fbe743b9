package hosted_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a job that fails after one of three attempts because its route was away when a member took
// its pool over: the new owner took a queue that it does not know for one with a single attempt.
func TestJobKeepsItsAttemptsWithoutItsRoute(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2)
	runs := func() int { return len(c.workers[0].Runs()) + len(c.workers[1].Runs()) }
	c.submit(c.otherMember(), jobID(1), `{"spec":"2500 fail","steps":[{"count":1,"cpu":500,"memMb":100,"estMs":2500}]}`)
	c.waitFor(5*time.Second, "the task runs", func() bool { return runs() == 1 })

	c.configureRoutes(2, advisedRoute)
	c.waitFor(5*time.Second, "the route is removed at all members", func() bool {
		for _, m := range c.members {
			if status, _ := c.call(m, http.MethodGet, jobID(1), ""); status != http.StatusNotFound {
				return false
			}
		}
		return true
	})
	owner := c.waitForOwner()
	owner.Close()
	owner.stopped = true
	c.waitForOwner()
	c.configure(3)
	c.waitFor(20*time.Second, "job 1 has failed", func() bool {
		_, answer := c.call(c.otherMember(), http.MethodGet, jobID(1), "")
		return answer["state"] == "failed"
	})
	must.Eq(t, 3, runs())
}
