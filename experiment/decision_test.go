package experiment_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/experiment"
)

// TestDecision guards against requests that are refused or find no target, and against more
// allocations for each request than the design goal allows.
func TestDecision(t *testing.T) {
	r, err := experiment.Decision{Seed: 1, Repetitions: 3, Requests: 20_000, Teams: 150, Pools: 82, Workers: 910, Members: 150}.Run(t.Context())
	must.NoError(t, err)
	must.Len(t, 3, r.NanosPerRequest)
	must.LessEq(t, 2.1, r.AllocationsPerRequest.Median())
}
