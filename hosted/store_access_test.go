package hosted_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/hosted"
	"citronknot/standin/deployment"
)

// Guards against a pool that stays with a member that the store refuses while its commits through other
// members hold callers up, and against a change of the owner that would not help.
func TestLeasesWithSlowRelayedCommitsAreReleased(t *testing.T) {
	for _, c := range []struct {
		name   string
		access hosted.StoreAccess
		want   bool
	}{
		{"slow relayed commits", hosted.StoreAccess{DirectDownFor: 1500, Relayed: true, CommitTime: 700}, true},
		{"fast relayed commits", hosted.StoreAccess{DirectDownFor: 9000, Relayed: true, CommitTime: 40}, false},
		{"a short outage", hosted.StoreAccess{DirectDownFor: 500, Relayed: true, CommitTime: 700}, false},
		{"a slow store", hosted.StoreAccess{Relayed: true, CommitTime: 900}, false},
		{"the store is down for all members", hosted.StoreAccess{DirectDownFor: 5000, CommitTime: 5000}, false},
	} {
		must.Eq(t, c.want, c.access.ReleasesLease(), must.Sprint(c.name))
	}
	must.Less(t, hosted.Claimant{StoreDown: true}.Wait(), hosted.Claimant{OwnedPools: 2}.Wait())
}

// Guards against the same with real processes, and against runs that the change of the owner ends or repeats.
func TestOwnerWithSlowRelaysGivesPoolUp(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2)
	owner := c.waitForOwner()
	m := c.otherMember()
	c.submit(m, jobID(1), jobBody(4, 5000))
	owner.storeCut.Store(true)
	c.store.SetFaults(deployment.StoreFaults{Delay: 430 * time.Millisecond})
	n := 2
	c.waitFor(12*time.Second, "another member owns the pool", func() bool {
		c.call(m, "POST", jobID(n), jobBody(1, 50))
		n++
		return len(owner.Dump().Pools) == 0 && c.waitForOwner() != owner
	})
	c.store.SetFaults(deployment.StoreFaults{})
	c.submit(m, jobID(n), jobBody(1, 50))
	c.waitComplete(m, jobID(n), 8*time.Second)
	c.waitComplete(m, jobID(1), 12*time.Second)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
}

// Guards against commits that wait for a connection to the store, because calls of other members that wait for changes
// hold all of them.
func TestRelayedFeedsDoNotHoldConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 8, 1)
	owner := c.waitForOwner()
	for _, m := range c.members {
		m.storeCut.Store(m != owner)
	}
	id := jobID(1)
	c.submit(owner, id, jobBody(1, 50))
	c.waitFor(6*time.Second, "all members follow the configuration through the owner", func() bool {
		c.configure(2)
		for _, m := range c.members {
			if m.Dump().ConfigVersion != 2 {
				return false
			}
		}
		return true
	})
	owner.mostWaiting.Store(0)
	time.Sleep(3 * time.Second)
	must.LessEq(t, 1, owner.mostWaiting.Load(), must.Sprint("only its own feed of the configuration waits"))
	c.waitComplete(owner, id, 5*time.Second)
}
