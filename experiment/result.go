package experiment

import "slices"

// Result holds the figures of one run of a scenario under one policy. A full period of a pool is a
// time in which its slots are in use or have requests waiting for them.
type Result struct {
	Offered       int // requests that arrived
	InTime        int // requests that finished by their deadlines
	CutOff        int // requests that started, but were cut off at their deadlines
	Lost          int // requests that ran on workers that failed
	Refused       int // requests that were refused with the outcome "not run"
	FalseRefusals int // refused requests that would have met their deadlines
	GuardRefusals int // attempts refused by the guards of workers; most are retried on another worker
	Unplaced      int // requests refused after admission because no worker accepted them

	UsedFractions    []float64 // fraction of the slots in use, for each pool and full period
	GrantedFractions []float64 // slots that members may use over existing slots, for each pool and full period
	ShareErrors      []float64 // see ShareErrors; for each pool, full period and team with more demand than its share
	UrgentDelays     []float64 // milliseconds from arrival to start, for each urgent request that started
	UrgentNotStarted int       // urgent requests that did not start
}

// LargestShareError returns the largest share error, or 0 if there is none.
func (r Result) LargestShareError() float64 {
	if len(r.ShareErrors) == 0 {
		return 0
	}
	return slices.Max(r.ShareErrors)
}

// MeanShareError returns the mean share error, or 0 if there is none.
func (r Result) MeanShareError() float64 { return mean(r.ShareErrors) }

// MeanUsedFraction returns the mean of UsedFractions, or 0 without a full period.
func (r Result) MeanUsedFraction() float64 { return mean(r.UsedFractions) }

// MeanGrantedFraction returns the mean of GrantedFractions, or 0 without a full period.
func (r Result) MeanGrantedFraction() float64 { return mean(r.GrantedFractions) }

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

// Goodput returns the fraction of the offered requests that finished by their deadlines.
func (r Result) Goodput() float64 { return float64(r.InTime) / float64(max(1, r.Offered)) }

// UrgentDelay returns a percentile of the start delays of urgent requests in milliseconds. The
// percentile 100 is the largest delay.
func (r Result) UrgentDelay(percent int) float64 { return percentile(r.UrgentDelays, percent) }
