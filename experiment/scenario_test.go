package experiment_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/experiment"
)

// TestScenario guards against runs that depend on more than the seed, that lose a request or count
// it twice, or that measure no full period.
func TestScenario(t *testing.T) {
	for _, p := range experiment.Policies {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			s := experiment.Agency(3).WithOutage()
			s.ArrivalDuration = 20_000
			r := s.Run(p)
			must.Eq(t, r, s.Run(p))
			must.Eq(t, r.Offered, r.InTime+r.CutOff+r.Lost+r.Refused)
			must.LessEq(t, r.Refused, r.FalseRefusals)
			must.SliceNotEmpty(t, r.ShareErrors)
			must.SliceNotEmpty(t, r.UrgentDelays)
		})
	}
}

// TestScenarioWithLittleDemand guards against refusals by a fleet that is nearly idle, and against
// demand that doesn't rotate through the pools.
func TestScenarioWithLittleDemand(t *testing.T) {
	s := experiment.Association(1)
	s.MeanDemand, s.ArrivalDuration = 0.05, 20_000
	for _, p := range experiment.Policies {
		r := s.Run(p)
		must.Greater(t, 1_000, r.Offered)
		must.Eq(t, 0, r.Refused, must.Sprint(p))
		must.SliceEmpty(t, r.ShareErrors)
	}
}
