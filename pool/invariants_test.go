package pool_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/pool"
)

// TestInvariantsUnderFaults guards against an exceeded availability budget, an instance that is
// routable in two pools, a move within the minimum stay and a reboot of an instance in service.
// The faults are controllers with stale leases, lost responses, late commits, members that
// confirm late or never, and instances that fail during a wave of maintenance.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := testFleet(3, 6, 6, 2, rapid.IntRange(1, 3).Draw(r, "max absent"))
		sim := newSimulation(c, 2, 4, pool.Policy{NormalAbsences: 2}, r.Fatalf)
		sim.loseCommit = func() (bool, bool) {
			k := rapid.IntRange(0, 9).Draw(r, "lose")
			return k == 0, k == 1
		}
		step := rapid.SampledFrom([]clock.Millis{second, 10 * second, 5 * minute})
		for range 150 {
			sim.now += step.Draw(r, "wait")
			sim.randomAction(r)
			sim.checkOnePool()
			if sim.rebootsInService > 0 {
				r.Fatalf("an instance in service was rebooted")
			}
		}
	})
}

// randomAction performs one action or fault that r draws.
func (s *simulation) randomAction(r *rapid.T) {
	ids := rapid.IntRange(0, len(s.config.Instances)-1)
	switch rapid.SampledFrom([]string{"tick", "tick", "tick", "paused", "late", "learn", "learn", "fail", "mute", "lease", "demand", "due", "drain"}).Draw(r, "action") {
	case "tick":
		_ = s.tick(rapid.IntRange(0, len(s.controllers)-1).Draw(r, "controller"))
	case "paused": // one controller is paused between its reads and its commit
		other := rapid.IntRange(0, len(s.controllers)-1).Draw(r, "other")
		s.beforeCommit = func() { _ = s.tick(other) }
		_ = s.tick(rapid.IntRange(0, len(s.controllers)-1).Draw(r, "controller"))
		s.beforeCommit = nil
	case "late": // lost commits arrive late
		for _, t := range s.lostCommits {
			_, _ = s.commit(r.Context(), t)
		}
		s.lostCommits = nil
	case "learn": // members receive and confirm the newest assignments
		for _, n := range s.simMembers {
			for z := range 2 {
				if rapid.IntRange(0, 2).Draw(r, "learns") > 0 {
					s.deliverAssignment(n, fleet.ZoneID(fmt.Sprint("z", z)))
				}
			}
		}
	case "fail":
		id := fleet.InstanceID(fmt.Sprintf("i%04d", ids.Draw(r, "instance")))
		s.down[id] = !s.down[id]
	case "mute": // a member stops or resumes responding
		n := s.simMembers[rapid.IntRange(0, len(s.simMembers)-1).Draw(r, "member")]
		n.unresponsive = !n.unresponsive
	case "lease":
		s.grantLease(rapid.IntRange(0, len(s.controllers)-1).Draw(r, "controller"))
	case "demand":
		hot := rapid.IntRange(0, 3).Draw(r, "hot")
		for range 7 { // enough history to compute a need
			s.now += 10 * second
			for i := range 3 {
				l := pool.Load{At: s.now, Running: 4, Finished: 4}
				if i == hot {
					l.Running, l.Finished = 90, 90
				}
				s.load[fleet.PoolID(fmt.Sprintf("p%02d", i))] = l
			}
			_ = s.tick(0)
			_ = s.tick(2)
		}
	case "due":
		s.now += 7 * day
	case "drain":
		id := fleet.InstanceID(fmt.Sprintf("i%04d", ids.Draw(r, "instance")))
		_ = s.controllers[0].SetDrain(r.Context(), id, rapid.Bool().Draw(r, "drain"))
	}
}

// TestEveryInstanceMaintainedInPeriod guards against an instance that is not maintained within
// its pool's period.
func TestEveryInstanceMaintainedInPeriod(t *testing.T) {
	for _, size := range []struct {
		pools, perPool, spares, zones int
		length                        clock.Millis
	}{{5, 9, 5, 4, 43 * day}, {81, 11, 19, 7, 15 * day}} {
		t.Run(fmt.Sprint(size.pools*size.perPool+size.spares), func(t *testing.T) {
			c := testFleet(size.pools, size.perPool, size.spares, size.zones, 1)
			sim := newSimulation(c, size.zones, size.zones, pool.Policy{}, t.Fatalf)
			for end := sim.now + size.length; sim.now < end; {
				sim.now += 6 * hour
				for sim.round(size.zones) {
					sim.now += 10 * minute
				}
			}
			for id, at := range sim.maintainedAt {
				if sim.now-at > 14*day {
					t.Errorf("%s: last maintained %d ms ago", id, sim.now-at)
				}
			}
			if sim.maxUnmaintained > 14*day || sim.rebootsInService > 0 {
				t.Errorf("longest time without maintenance %d ms, reboots in service %d", sim.maxUnmaintained, sim.rebootsInService)
			}
		})
	}
}

// round runs a tick of each zone's lease holder and lets every member confirm. It reports
// whether a controller wrote rows or an instance is out of service.
func (s *simulation) round(zones int) bool {
	start := s.platform.Writes.Load()
	for z := range zones {
		zone, writes := fleet.ZoneID(fmt.Sprint("z", z)), s.platform.Writes.Load()
		if err := s.tick(2 * z); err != nil {
			s.fail("tick: %v", err)
		}
		if s.platform.Writes.Load() != writes {
			s.deliverAssignment(s.simMembers[0], zone)
		}
		for _, n := range s.simMembers {
			n.assignments[zone], n.confirmedAt[zone] = s.simMembers[0].assignments[zone], s.now
		}
	}
	for _, r := range s.rows {
		if outOfService(r) {
			return true
		}
	}
	return s.platform.Writes.Load() != start
}
