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
	return fmt.Sprintf("%s (%s to %s)", figure(s.Median()), figure(slices.Min(s)), figure(slices.Max(s)))
}

// figure shows three digits, or all before the decimal point.
func figure(v float64) string {
	if v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// percentile returns the nearest-rank percentile, or 0 without values.
func percentile[T int64 | float64](values []T, percent int) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}
