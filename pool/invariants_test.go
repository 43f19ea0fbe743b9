package pool_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/pool"
)

// Guards against an exceeded availability budget, an instance that is routable in two pools,
// a move within the minimum stay and a reboot of an instance in service, when controllers
// hold stale leases, responses are lost, members confirm late or never, and instances fail
// while a wave runs.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := testFleet(3, 6, 6, 2, rapid.IntRange(1, 3).Draw(r, "max absent"))
		w := newWorld(c, 2, 4, pool.Policy{NormalAbsences: 2}, r.Fatalf)
		w.lose = func() (bool, bool) {
			k := rapid.IntRange(0, 9).Draw(r, "lose")
			return k == 0, k == 1
		}
		step := rapid.SampledFrom([]clock.Millis{second, 10 * second, 5 * minute})
		for range 150 {
			w.now += step.Draw(r, "wait")
			w.act(r)
			w.checkOnePool()
			if w.bounces > 0 {
				r.Fatalf("an instance in service was rebooted")
			}
		}
	})
}

func (w *world) act(r *rapid.T) {
	ids := rapid.IntRange(0, len(w.config.Instances)-1)
	switch rapid.SampledFrom([]string{"tick", "tick", "tick", "paused", "late", "learn", "learn", "fail", "mute", "lease", "demand", "due", "drain"}).Draw(r, "action") {
	case "tick":
		_ = w.tick(rapid.IntRange(0, len(w.holders)-1).Draw(r, "controller"))
	case "paused": // one controller is paused between its read and its commit
		other := rapid.IntRange(0, len(w.holders)-1).Draw(r, "other")
		w.pause = func() { _ = w.tick(other) }
		_ = w.tick(rapid.IntRange(0, len(w.holders)-1).Draw(r, "controller"))
		w.pause = nil
	case "late":
		for _, t := range w.late {
			_, _ = w.commit(r.Context(), t)
		}
		w.late = nil
	case "learn":
		for _, n := range w.nodes {
			for z := range 2 {
				if rapid.IntRange(0, 2).Draw(r, "learns") > 0 {
					w.learn(n, fleet.ZoneID(fmt.Sprint("z", z)))
				}
			}
		}
	case "fail":
		id := fleet.InstanceID(fmt.Sprintf("i%04d", ids.Draw(r, "instance")))
		w.down[id] = !w.down[id]
	case "mute":
		n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(r, "member")]
		n.mute = !n.mute
	case "lease":
		w.grant(rapid.IntRange(0, len(w.holders)-1).Draw(r, "controller"))
	case "demand":
		hot := rapid.IntRange(0, 3).Draw(r, "hot")
		for range 7 { // enough history for a need
			w.now += 10 * second
			for i := range 3 {
				l := pool.Load{At: w.now, Running: 4, Finished: 4}
				if i == hot {
					l.Running, l.Finished = 90, 90
				}
				w.load[fleet.PoolID(fmt.Sprintf("p%02d", i))] = l
			}
			_ = w.tick(0)
			_ = w.tick(2)
		}
	case "due":
		w.now += 7 * day
	case "drain":
		id := fleet.InstanceID(fmt.Sprintf("i%04d", ids.Draw(r, "instance")))
		_ = w.holders[0].SetDrain(r.Context(), id, rapid.Bool().Draw(r, "drain"))
	}
}

// Guards against an instance that is not maintained within its pool's period.
func TestEveryInstanceMaintainedInPeriod(t *testing.T) {
	for _, size := range []struct {
		pools, perPool, spares, zones int
		length                        clock.Millis
	}{{5, 9, 5, 4, 43 * day}, {81, 11, 19, 7, 15 * day}} {
		t.Run(fmt.Sprint(size.pools*size.perPool+size.spares), func(t *testing.T) {
			c := testFleet(size.pools, size.perPool, size.spares, size.zones, 1)
			w := newWorld(c, size.zones, size.zones, pool.Policy{}, t.Fatalf)
			for end := w.now + size.length; w.now < end; {
				w.now += 6 * hour
				for w.round(size.zones) {
					w.now += 10 * minute
				}
			}
			for id, at := range w.served {
				if w.now-at > 14*day {
					t.Errorf("%s: last maintained %d ms ago", id, w.now-at)
				}
			}
			if w.worst > 14*day || w.bounces > 0 {
				t.Errorf("longest time without maintenance %d ms, reboots in service %d", w.worst, w.bounces)
			}
		})
	}
}

// round lets every lease holder tick and every member confirm, and reports whether there was
// anything to do.
func (w *world) round(zones int) bool {
	start := w.platform.Writes.Load()
	for z := range zones {
		zone, writes := fleet.ZoneID(fmt.Sprint("z", z)), w.platform.Writes.Load()
		if err := w.tick(2 * z); err != nil {
			w.fail("tick: %v", err)
		}
		if w.platform.Writes.Load() != writes {
			w.learn(w.nodes[0], zone)
		}
		for _, n := range w.nodes {
			n.routes[zone], n.heard[zone] = w.nodes[0].routes[zone], w.now
		}
	}
	for _, r := range w.rows {
		if out(r) {
			return true
		}
	}
	return w.platform.Writes.Load() != start
}
