package owner_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/schedule"
)

// Guards against a machine that is taken down with the tasks of a new owner, because the former owner, which
// can't reach the store and has not noticed that it was replaced, reports the worker as drained.
func TestOwnerThatMayBeReplacedReportsNoWorkerAsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		poolOwner := startOwner(t, owner.Config{Table: store.table()})
		poolOwner.SetWorkers([]owner.ListedWorker{{Worker: schedule.Worker{ID: "w1", Incarnation: 1, Capacity: job.Resources{CPU: 10}}, Address: "a"}})
		time.Sleep(time.Second)
		poolOwner.Direct(owner.Direction{Cordon: []fleet.InstanceID{"w1"}})
		drained := func() bool {
			report, ok := poolOwner.Report()
			must.True(t, ok)
			must.Len(t, 1, report.Workers)
			return report.Workers[0].Drained
		}
		must.True(t, drained())
		store.mu.Lock()
		store.unreachable = true
		store.mu.Unlock()
		time.Sleep(3 * time.Second)
		must.True(t, poolOwner.lease.Authorized())
		must.False(t, drained())
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}

// Guards against tasks that start on a machine to which an order of the former fleet leader is on its way, and
// end with it: the new leader does not know that the worker was drained for the order.
func TestCordonsOutlastTheFleetLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newZonedPool(t)
		cordoned := func() bool {
			report, ok := p.owner.Report()
			must.True(t, ok)
			return report.Workers[0].Drained
		}
		p.owner.Direct(owner.Direction{Cordon: []fleet.InstanceID{"w1"}})
		must.True(t, cordoned())
		p.owner.Direct(owner.Direction{KeepCordons: true})
		must.True(t, cordoned())
		p.owner.Direct(owner.Direction{})
		must.False(t, cordoned())
	})
}
