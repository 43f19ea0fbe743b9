package experiment

import (
	"fmt"
	"slices"
)

// Spread holds one figure of several repetitions.
type Spread []float64

// Median returns the middle figure, or 0 without figures.
func (s Spread) Median() float64 { return percentile(s, 50) }

// String shows the median and the smallest and largest figure.
func (s Spread) String() string {
	if len(s) == 0 {
		return "none"
	}
	return fmt.Sprintf("%.3g (%.3g to %.3g)", s.Median(), slices.Min(s), slices.Max(s))
}

// percentile returns the nearest-rank percentile, or 0 without values.
func percentile[T int64 | float64](values []T, percent int) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}
