package experiment_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/experiment"
	"citronknot/fleet"
)

// TestShareErrors guards against a share error that ignores the slot time that teams below their
// share leave to the others, or that includes those teams.
func TestShareErrors(t *testing.T) {
	shares := []fleet.Share{5000, 3000, 2000}
	tests := []struct {
		name         string
		used, demand []float64
		errors       []float64
	}{
		{"at the shares", []float64{50, 30, 20}, []float64{100, 100, 100}, []float64{0, 0, 0}},
		{"evenly", []float64{40, 30, 30}, []float64{100, 101, 102}, []float64{0.5, 0, 0.2}},
		{"one team below its share", []float64{10, 54, 36}, []float64{10, 100, 100}, []float64{0, 0}},
		{"one team below its share, evenly", []float64{10, 45, 45}, []float64{10, 100, 100}, []float64{1 - 45.0/54, 0.25}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := experiment.ShareErrors(tc.used, tc.demand, shares)
			must.Len(t, len(tc.errors), got)
			// The sums are compared because the order follows the demand over the share.
			sum, want := 0.0, 0.0
			for i := range got {
				sum, want = sum+got[i], want+tc.errors[i]
			}
			must.InDelta(t, want, sum, 1e-9)
		})
	}
}
