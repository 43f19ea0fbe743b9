package runtimes

import "math"

// Buckets of a histogram. Bucket 0 begins at a ratio of 2 to the power of lowestOctave, and each
// bucket ends at 2 to the power of 1/bucketsPerOctave times its begin, so that a quantile is off by
// at most 4.4%. The range covers estimates that are off by nine tenths in either direction and runs
// that take seven times as long as others, on a worker that is far from their data. Values outside
// of the range count in the first or last bucket.
const (
	bucketsPerOctave = 8
	lowestOctave     = -6
	highestOctave    = 8
	buckets          = (highestOctave - lowestOctave) * bucketsPerOctave
)

// halveAt is the number of observations at which the weight of all of them is halved. Once the run
// times of a key have shifted, the median follows after at most this many observations.
const halveAt = 128

// histogram counts the ratios of one key.
type histogram struct {
	counts [buckets]uint8 // halveAt fits
	total  int
}

// add counts a ratio, and halves the counts once there are halveAt of them.
func (h *histogram) add(ratio float64) {
	h.counts[bucketOf(ratio)]++
	h.total++
	if h.total < halveAt {
		return
	}
	h.total = 0
	var odd uint8 // so that every second single observation fades, not all of them or none
	for i, n := range h.counts {
		h.counts[i], odd = (n+odd)/2, (n+odd)%2
		h.total += int(h.counts[i])
	}
}

// bucketOf returns the bucket of a ratio.
func bucketOf(ratio float64) int {
	i := int(math.Floor((math.Log2(ratio) - lowestOctave) * bucketsPerOctave))
	return max(0, min(buckets-1, i))
}

// middle returns the ratio in the geometric middle of a bucket.
func middle(bucket int) float64 {
	return math.Exp2(lowestOctave + (float64(bucket)+0.5)/bucketsPerOctave)
}

// quantile returns the ratio that a part q of the observations from the given bucket on do not
// exceed. It returns false if there are no such observations.
func (h *histogram) quantile(q float64, from int) (ratio float64, ok bool) {
	above := 0
	for _, n := range h.counts[from:] {
		above += int(n)
	}
	if above == 0 {
		return 0, false
	}
	need := max(1, int(math.Ceil(q*float64(above))))
	for i := from; ; i++ {
		if need -= int(h.counts[i]); need <= 0 {
			return middle(i), true
		}
	}
}
