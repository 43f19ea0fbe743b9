package hosted_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/hosted"
	"citronknot/standin/deployment"
)

// Guards against a pool that stays with a low-CPU member although another member has enough CPU,
// and against task runs that the change of owner ends or starts a second time.
func TestLowCPUOwnerHandsPoolOver(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0, 2)
	lowCPU := c.startMember("weak", 0.192)
	c.members = append(c.members, lowCPU)
	must.Eq(t, lowCPU, c.waitForOwner())
	c.submit(lowCPU, jobID(1), jobBody(3, 4000))
	highCPU := c.startMember("strong", 0.8)
	c.members = append(c.members, highCPU)
	c.waitFor(8*time.Second, "the member with enough CPU owns the pool", func() bool {
		return len(highCPU.Dump().Pools) == 1 && len(lowCPU.Dump().Pools) == 0
	})
	c.waitComplete(lowCPU, jobID(1), 10*time.Second)
	must.SliceEmpty(t, deployment.DuplicateRuns(c.workers))
	must.Len(t, 3, append(c.workers[0].Runs(), c.workers[1].Runs()...))
}

// Guards against an owner with too little CPU for its pool. In an enlarged deployment a member with
// 0.192 cores owned the largest pool: its polls were late, and task leases expired without any
// other fault.
func TestMembersWithEnoughCPUClaimFirst(t *testing.T) {
	for _, tc := range []struct {
		name          string
		sooner, later [2]float64 // pools owned, cores
		first         bool
	}{
		{"a member without pools claims first", [2]float64{0, 0.4}, [2]float64{1, 0.4}, false},
		{"a member with enough CPU and a pool claims before a low-CPU member", [2]float64{1, 0.8}, [2]float64{0, 0.192}, false},
		{"a low-CPU member claims before a member with four pools", [2]float64{0, 0.192}, [2]float64{4, 0.8}, false},
		{"low-CPU members wait longer for a pool that never had an owner", [2]float64{3, 0.8}, [2]float64{0, 0.192}, true},
		{"a member with unknown CPU does not wait", [2]float64{0, 0}, [2]float64{0, 0.192}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wait := func(x [2]float64) int64 {
				return int64(hosted.Claimant{OwnedPools: int(x[0]), CPUCores: x[1], NeverOwned: tc.first}.Wait())
			}
			must.Less(t, wait(tc.later), wait(tc.sooner))
		})
	}
	must.Eq(t, 0, hosted.Claimant{CPUCores: 0.4, NeverOwned: true}.Wait())
}
