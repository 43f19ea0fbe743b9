package experiment_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/experiment"
)

// Guards against requests that are refused or find no target, and against more allocations than
// the goal of the design allows.
func TestDecision(t *testing.T) {
	r, err := experiment.Decision{Seed: 1, Repetitions: 3, Requests: 20_000, Teams: 150, Pools: 82, Workers: 910, Members: 150}.Run(t.Context())
	must.NoError(t, err)
	must.Len(t, 3, r.Nanos)
	must.LessEq(t, 2.1, r.Allocations.Median())
}
