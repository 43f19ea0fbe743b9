package experiment_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/experiment"
)

// Guards against a bound that is not one: a plan that leaves a need unmet, or that is dearer
// than holding the most or following each need.
func TestBound(t *testing.T) {
	for _, tc := range []struct {
		name     string
		needs    []int64
		moveCost float64
		seconds  float64
		moves    int
	}{
		{"nothing", nil, 1, 0, 0},
		{"constant", []int64{1500, 1500, 1500}, 1, 6, 0},
		{"a gap too short to move", []int64{2000, 0, 2000}, 1.5, 6, 0},
		{"a gap worth two moves", []int64{2000, 0, 0, 0, 2000}, 1, 4, 4},
		{"growth", []int64{1000, 3000}, 5, 6, 0},
		{"growth for a while", []int64{1000, 1000, 1000, 3000}, 0.5, 6, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := experiment.Bound{Machine: 1000, Step: 1000, MoveCost: tc.moveCost}
			must.Eq(t, experiment.BoundResult{MachineSeconds: tc.seconds, Moves: tc.moves}, b.Least(tc.needs))
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		b := experiment.Bound{Machine: 1000, Step: 500, MoveCost: rapid.Float64Range(0, 4).Draw(t, "move")}
		machines := rapid.SliceOfN(rapid.Int64Range(0, 6), 1, 12).Draw(t, "machines")
		most, follow := make([]int64, len(machines)), make([]int64, len(machines))
		for i, n := range machines {
			follow[i] = 1000 * n
			for j := range most {
				most[j] = max(most[j], follow[i])
			}
		}
		least := b.Least(follow).Cost(b)
		const rounding = 1e-9
		must.LessEq(t, b.Held(follow).Cost(b)+rounding, least)
		must.LessEq(t, b.Held(most).Cost(b)+rounding, least)
		needed := 0.0
		for _, n := range machines {
			needed += float64(n) * 0.5
		}
		must.GreaterEq(t, needed-rounding, least)
	})
}
