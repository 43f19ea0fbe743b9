package experiment

import "slices"

// Result is what one run of a scenario under one policy gave.
type Result struct {
	Offered  int // requests that arrived
	InTime   int // finished by their deadlines
	Late     int // started, but cut off at their deadlines
	Lost     int // running on workers that went away
	Refused  int // answered with "not run"
	False    int // of these, would have met their deadlines
	Guards   int // refusals by guards, most of which are tried again elsewhere
	Unplaced int // refused after a slot was granted, because no worker took them

	InUse        []float64 // part of the slots in use, of each pool and full period
	Granted      []float64 // slots that members may fill over the slots there are, likewise
	ShareErrors  []float64 // of each team above its share, pool and full period
	UrgentDelays []float64 // milliseconds from arrival to start, of urgent work that started
	UrgentOpen   int       // urgent requests that did not start
}

// LargestShareError returns the largest share error, or 0 without any.
func (r Result) LargestShareError() float64 {
	if len(r.ShareErrors) == 0 {
		return 0
	}
	return slices.Max(r.ShareErrors)
}

// MeanShareError returns the mean share error, or 0 without any.
func (r Result) MeanShareError() float64 { return mean(r.ShareErrors) }

// MeanInUse returns the mean part of the slots in use while full, or 0 without any.
func (r Result) MeanInUse() float64 { return mean(r.InUse) }

// MeanGranted returns the mean of Granted, or 0 without any.
func (r Result) MeanGranted() float64 { return mean(r.Granted) }

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

// Goodput returns the part of the offered requests that finished in time.
func (r Result) Goodput() float64 { return float64(r.InTime) / float64(max(1, r.Offered)) }

// UrgentDelay returns a percentile of the start delay of urgent work in milliseconds; 100 is
// the largest.
func (r Result) UrgentDelay(percent int) float64 { return percentile(r.UrgentDelays, percent) }
