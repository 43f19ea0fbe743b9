package experiment_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/experiment"
)

// TestBound guards against a result that is no lower bound: a plan that leaves a need unmet, or one
// that costs more than a constant capacity at the maximum or than a capacity that follows the need.
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
			b := experiment.Bound{MachineCapacity: 1000, SampleInterval: 1000, MoveCost: tc.moveCost}
			must.Eq(t, experiment.Plan{MachineSeconds: tc.seconds, Moves: tc.moves}, b.CheapestPlan(tc.needs))
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		b := experiment.Bound{MachineCapacity: 1000, SampleInterval: 500, MoveCost: rapid.Float64Range(0, 4).Draw(t, "move")}
		machines := rapid.SliceOfN(rapid.Int64Range(0, 6), 1, 12).Draw(t, "machines")
		constant, exact := make([]int64, len(machines)), make([]int64, len(machines))
		for i, n := range machines {
			exact[i] = 1000 * n
			for j := range constant {
				constant[j] = max(constant[j], exact[i])
			}
		}
		optimum := b.CheapestPlan(exact).Cost(b)
		const rounding = 1e-9
		must.LessEq(t, b.Evaluate(exact).Cost(b)+rounding, optimum)
		must.LessEq(t, b.Evaluate(constant).Cost(b)+rounding, optimum)
		machineSeconds := 0.0
		for _, n := range machines {
			machineSeconds += float64(n) * 0.5
		}
		must.GreaterEq(t, machineSeconds-rounding, optimum)
	})
}
