package hosted_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// packingRoute returns the route that sends the paths of sortRoute to another pool.
func packingRoute(name string) route {
	return route{"name": name, "host": sortRoute["host"], "pathPrefix": sortRoute["pathPrefix"], "backend": "packing", "attempts": 3, "stretch": 1.6, "sloMs": 600}
}

// Guards against a job that runs twice because its route was away, and then led to another pool, when the
// client sent its request once more: to the same route, to one under another name, or to a member that started
// after the change, while the former pool has no owner.
func TestRepeatedRequestRunsOnceAfterItsRouteMoved(t *testing.T) {
	for _, c := range []struct {
		name       string
		route      string
		newMembers bool
	}{{"same name", "sort", false}, {"other name", "sort-again", false}, {"members that started since", "sort", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 2, 1)
			cluster.addWorkerOf("packing", "z1")
			sorting, packing := cluster.workers[0], cluster.workers[1]
			cluster.submit(cluster.members[0], jobID(1), jobBody(3, 100))
			cluster.waitComplete(cluster.members[0], jobID(1), 10*time.Second)

			cluster.configureRoutes(2, advisedRoute)
			gone := func(m *member) bool {
				status, _ := cluster.call(m, http.MethodGet, jobID(1), "")
				return status == http.StatusNotFound
			}
			cluster.waitFor(5*time.Second, "the route is removed", func() bool { return gone(cluster.members[0]) && gone(cluster.members[1]) })
			cluster.configureRoutes(3, advisedRoute, packingRoute(c.route))
			if c.newMembers {
				for _, m := range cluster.members {
					m.Close()
					m.stopped = true
				}
				cluster.members = append(cluster.members, cluster.startWithUnknownCPU("member-2"), cluster.startWithUnknownCPU("member-3"))
			}
			last := cluster.members[len(cluster.members)-1]
			cluster.submit(last, jobID(1), jobBody(3, 100))
			cluster.submit(last, jobID(2), jobBody(3, 100))
			cluster.waitComplete(last, jobID(2), 20*time.Second)
			must.Len(t, 3, sorting.Runs(), must.Sprint("job 1"))
			must.Len(t, 3, packing.Runs(), must.Sprint("job 2"))
			cluster.waitFor(10*time.Second, "job 1 is found in its pool", func() bool {
				status, _ := cluster.call(last, http.MethodDelete, jobID(1), "")
				return status == http.StatusOK
			})
		})
	}
}
