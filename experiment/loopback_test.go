package experiment_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/experiment"
)

// TestLoopback guards against a measurement that stops early, leaves listeners or goroutines
// behind, or drops repetitions.
func TestLoopback(t *testing.T) {
	r, err := experiment.Loopback{Repetitions: 2, Requests: 40, Callers: 4, BodyBytes: 10}.Run(t.Context())
	must.NoError(t, err)
	must.Len(t, 2, r.P50)
	must.Len(t, 2, r.CPU)
	must.Positive(t, r.P50.Median())
	must.Positive(t, r.TotalCPU.Median())
}
