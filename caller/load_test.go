package caller_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
)

// portions returns the portion that each member computes from the same summaries.
func portions(slots fleet.Slots, loads []caller.Load, age func(from, to int) clock.Millis) (out []fleet.Slots) {
	for i := range loads {
		v := caller.View{Slots: slots, Members: len(loads), Self: fleet.MemberID(fmt.Sprint(i)), Own: loads[i]}
		for j, l := range loads {
			if j != i {
				v.Peers = append(v.Peers, caller.PeerLoad{Member: fleet.MemberID(fmt.Sprint(j)), Load: l, Age: age(j, i)})
			}
		}
		var s caller.Scheduler
		s.SetView(0, v)
		out = append(out, s.Portion())
	}
	return out
}

// Guards against members that together use more slots than the pool has, against slots that no
// member may use, and against negative portions.
func TestPortionsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := fleet.Slots(rapid.IntRange(0, 100).Draw(t, "slots"))
		left := slots
		var loads []caller.Load
		for range rapid.IntRange(2, 20).Draw(t, "members") {
			l := caller.Load{Teams: map[fleet.TeamID]caller.TeamLoad{}}
			for i := range rapid.IntRange(0, 5).Draw(t, "teams") {
				n := min(left, fleet.Slots(rapid.IntRange(0, 10).Draw(t, "running")))
				left -= n
				l.InFlight += n
				l.Teams[teamID(i)] = caller.TeamLoad{Running: n, Waiting: rapid.IntRange(0, 50).Draw(t, "waiting")}
			}
			loads = append(loads, l)
		}
		got := portions(slots, loads, func(int, int) clock.Millis { return 0 })
		var sum, peak fleet.Slots
		for i, n := range got {
			sum += n
			peak += max(n, loads[i].InFlight)
			must.GreaterEq(t, 0, n)
		}
		must.LessEq(t, slots, sum)
		must.LessEq(t, slots, peak)
		must.Eq(t, slots, peak, must.Sprint("some slots may be used by no member"))
	})
}

// Guards against a member without network connection to the others that uses more than an even
// portion, against connected members that give away the portion of a member from which they
// receive no summaries, and against a member without a slot where there are enough slots.
func TestPortionsWithStaleSummaries(t *testing.T) {
	busy := caller.Load{Teams: map[fleet.TeamID]caller.TeamLoad{"t000": {Waiting: 100}}}
	loads := []caller.Load{busy, {}, {}, {}}
	tests := []struct {
		name string
		age  func(from, to int) clock.Millis
		want []fleet.Slots
	}{
		{"all summaries are current", func(int, int) clock.Millis { return 3_000 }, []fleet.Slots{37, 1, 1, 1}},
		{"all summaries are too old", func(int, int) clock.Millis { return 3_001 }, []fleet.Slots{10, 10, 10, 10}},
		{"the last member is partitioned", func(from, to int) clock.Millis {
			if from == 3 || to == 3 {
				return 3_001
			}
			return 0
		}, []fleet.Slots{28, 1, 1, 10}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, portions(40, loads, tc.age)) })
	}
	must.Eq(t, []fleet.Slots{1, 1, 1, 1}, portions(2, loads, func(int, int) clock.Millis { return 9_000 }))
	// With fewer slots than members, the members with the longest wait come first.
	loads[2] = caller.Load{Teams: busy.Teams, LongestWait: 500}
	loads[3] = caller.Load{Teams: busy.Teams, LongestWait: 900}
	must.Eq(t, []fleet.Slots{0, 0, 1, 1}, portions(2, loads, func(int, int) clock.Millis { return 0 }))
}
