package hosted_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/standin/deployment"
)

// smallMemberCPU is the CPU, in cores, of a member that serves at most three workers itself.
const smallMemberCPU = 0.04

// newDividedCluster starts small members and eight workers, and waits until the owner has passed all
// workers to dispatchers. One member owns the pool and one leads the fleet, so the others dispatch.
func newDividedCluster(t *testing.T, members int) *cluster {
	c := newCluster(t, 0, 8)
	for i := range members {
		c.members = append(c.members, c.startMember(memberName(i), smallMemberCPU))
	}
	c.waitDivided()
	return c
}

func memberName(i int) string { return string(rune('a'+i)) + "-small" }

// waitDivided waits until dispatchers serve all workers of the pool and have responded.
func (c *cluster) waitDivided() {
	c.t.Helper()
	c.waitFor(15*time.Second, "dispatchers serve all workers", func() bool {
		owner := c.waitForOwner()
		pool := owner.Dump().Pools["sorting"]
		if pool == nil || pool.Schedule == nil {
			return false
		}
		served := 0
		for _, d := range pool.Dispatchers {
			served += d.Workers
		}
		reachable := 0
		for _, w := range pool.Schedule.Workers {
			if w.Reachable {
				reachable++
			}
		}
		return served == 8 && reachable == 8
	})
}

// dispatchingMember returns a member that dispatches for the pool.
func (c *cluster) dispatchingMember() *member {
	c.t.Helper()
	dispatchers := c.waitForOwner().Dump().Pools["sorting"].Dispatchers
	must.SliceNotEmpty(c.t, dispatchers)
	for _, m := range c.members {
		if !m.stopped && m.settings.Member == dispatchers[0].Member {
			return m
		}
	}
	c.t.Fatal("the dispatcher is not a member")
	return nil
}

// countRuns returns the number of runs that the workers have begun.
func (c *cluster) countRuns() int {
	runs := 0
	for _, w := range c.workers {
		runs += len(w.Runs())
	}
	return runs
}

// checkJob submits a job of tasks of the given duration and waits until it is complete.
func (c *cluster) checkJob(n, tasks, ms int, timeout time.Duration) {
	c.t.Helper()
	m := c.waitForOwner()
	c.submit(m, jobID(n), jobBody(tasks, ms))
	c.waitComplete(m, jobID(n), timeout)
}

// Guards against a pool whose throughput is that of one small member: in an enlarged deployment, one
// owner polled 268 workers while 142 members were idle, and tasks waited for its CPU.
func TestDispatchersServeWorkers(t *testing.T) {
	t.Parallel()
	c := newDividedCluster(t, 3)
	c.checkJob(1, 24, 300, 10*time.Second)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
	must.Eq(t, 24, c.countRuns())
}

// Guards against runs that end, or are started a second time, because the member that polled their
// workers crashed: the owner has to wait for the end of its grant, and another member has to renew the
// leases in time.
func TestRunsOutliveTheirDispatcher(t *testing.T) {
	t.Parallel()
	c := newDividedCluster(t, 3)
	owner := c.waitForOwner()
	c.submit(owner, jobID(1), jobBody(24, 5000))
	c.waitFor(5*time.Second, "all tasks run", func() bool { return c.countRuns() == 24 })
	crashed := c.dispatchingMember()
	crashed.Close()
	crashed.stopped = true
	c.waitComplete(owner, jobID(1), 12*time.Second)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
	c.checkJob(2, 24, 100, 10*time.Second)
}

// Guards against an owner that releases its pool while a dispatcher still calls workers for it, and
// against a planned stop that ends runs.
func TestOwnerStopsItsDispatchers(t *testing.T) {
	t.Parallel()
	c := newDividedCluster(t, 4)
	former := c.waitForOwner()
	c.submit(former, jobID(1), jobBody(24, 4000))
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		former.Shutdown()
	}()
	former.stopped = true
	c.waitDivided()
	c.waitComplete(c.waitForOwner(), jobID(1), 12*time.Second)
	<-stopped
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
	must.Eq(t, 24, c.countRuns())
}

// Guards against two members that call the same workers after their owner crashed: the dispatchers
// of the former owner go on until their grants expire.
func TestOwnerOfDividedPoolCrashes(t *testing.T) {
	t.Parallel()
	c := newDividedCluster(t, 4)
	former := c.waitForOwner()
	c.submit(former, jobID(1), jobBody(24, 6000))
	c.waitFor(5*time.Second, "all tasks run", func() bool { return c.countRuns() == 24 })
	former.Close()
	former.stopped = true
	c.waitDivided()
	c.waitComplete(c.waitForOwner(), jobID(1), 15*time.Second)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
}
