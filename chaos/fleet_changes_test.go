//go:build chaos

package chaos_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/operator"
)

// phases returns the phase of each instance by its ID, as reported by one member.
func (c *cluster) phases(member int) map[string]string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var list operator.WireInstances
	text, err := c.operator(member).Get(ctx, "/v1/instances")
	must.NoError(c.t, err)
	must.NoError(c.t, json.Unmarshal(text, &list))
	out := map[string]string{}
	for _, in := range list.Instances {
		out[in.ID] = in.Phase
	}
	return out
}

// awaitAssignments waits until the controllers of both zones have written the first assignment.
func (c *cluster) awaitAssignments() {
	c.waitUntil(20*time.Second, "first assignment", func() bool {
		var state struct {
			Peers struct {
				Zones map[string]int `json:"zones"`
			} `json:"peers"`
		}
		text, err := c.operator(0).Get(context.Background(), "/debug/state")
		return err == nil && json.Unmarshal(text, &state) == nil && len(state.Peers.Zones) == 2
	})
}

// Guards against a drain that interrupts a request or admits new ones, and against the controllers
// of two zones that together take more instances of a pool out of service than its availability
// budget allows.
func TestDrainsKeepDisruptionBudget(t *testing.T) {
	c := newCluster(t)
	c.awaitAssignments()
	l := c.load("drain")
	sleepRealTime(time.Second)
	ctx := context.Background()
	requestedAt := time.Now()
	// The pool has the instances t1, t2, t5 and t6 in two zones, and an availability budget of 1.
	poolInstances := []string{"t1", "t2", "t5", "t6"}
	must.NoError(t, c.operator(0).SetDrain(ctx, "t1", true))
	must.NoError(t, c.operator(1).SetDrain(ctx, "t2", true))
	outOfService := func() (names []string) {
		for _, id := range poolInstances {
			if p := c.phases(0)[id]; p != string(fleet.Serving) {
				names = append(names, id)
			}
		}
		return names
	}
	var first string
	c.waitUntil(40*time.Second, "one instance drained", func() bool {
		now := outOfService()
		must.LessEq(t, 1, len(now))
		if len(now) == 1 && c.phases(0)[now[0]] == string(fleet.Absent) {
			first = now[0]
		}
		return first != ""
	})
	t.Logf("%s drained after %v", first, time.Since(requestedAt).Round(100*time.Millisecond))
	drainedAt := time.Now()
	sleepRealTime(3 * time.Second)
	index := slices.Index([]string{"t1", "t2"}, first)
	must.GreaterEq(t, 0, index)
	must.NoError(t, c.operator(0).SetDrain(ctx, fleet.InstanceID(first), false))
	c.waitUntil(45*time.Second, "the other instance drained", func() bool {
		now := outOfService()
		must.LessEq(t, 1, len(now))
		return len(now) == 1 && now[0] != first && c.phases(0)[now[0]] == string(fleet.Absent)
	})
	all, runs := l.finish(), c.runs()
	r := c.check(all, runs)
	t.Logf("%+v", r)
	must.Eq(t, 0, r.violations()+r.unknown+r.broken)
	for _, x := range runs {
		if x.target == index {
			at := time.UnixMilli(x.StartMS)
			must.False(t, at.After(drainedAt) && at.Before(drainedAt.Add(2*time.Second)), must.Sprint("a drained instance got a request"))
			must.False(t, x.Cancelled)
		}
	}
}

// Guards against an instance that serves two pools at once, because members receive the
// assignment that moves it at different times.
func TestMoveServesOnePool(t *testing.T) {
	c := newCluster(t)
	c.awaitAssignments()
	l := c.load("move")
	sleepRealTime(time.Second)
	movedInstance := c.initialNote().Added.Instances[0]
	movedInstance.Pool = "records"
	movedAt := time.Now()
	c.apply(fleet.ReleaseNote{ID: "move", Base: 1, Changed: fleet.Items{Instances: []fleet.Instance{movedInstance}}})
	servesNewPool := func() bool {
		for _, x := range c.runs() {
			if x.target == 0 && x.Queue == "dispatch" {
				return true
			}
		}
		return false
	}
	took := c.waitUntil(60*time.Second, "instance serves its new pool", servesNewPool)
	sleepRealTime(time.Second)
	all, runs := l.finish(), c.runs()
	r := c.check(all, runs)
	t.Logf("moved after %v; %+v", took.Round(100*time.Millisecond), r)
	must.Eq(t, 0, r.violations())
	var lastOldPoolMS, firstNewPoolMS int64
	for _, x := range runs {
		if x.target != 0 || x.StartMS < movedAt.UnixMilli() {
			continue
		}
		if x.Queue == "dispatch" && (firstNewPoolMS == 0 || x.StartMS < firstNewPoolMS) {
			firstNewPoolMS = x.StartMS
		}
		if x.Queue != "dispatch" {
			lastOldPoolMS = max(lastOldPoolMS, x.StartMS)
		}
	}
	must.LessEq(t, firstNewPoolMS, lastOldPoolMS, must.Sprint("the old pool was served after the new one"))
}
