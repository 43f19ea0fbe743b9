package experiment

import (
	"fmt"
	"slices"
)

// Spread holds the values of one figure in several repetitions.
type Spread []float64

// Median returns the middle value, or 0 without values.
func (s Spread) Median() float64 { return percentile(s, 50) }

// String returns the median, the smallest and the largest value as text, or "none" without values.
func (s Spread) String() string {
	if len(s) == 0 {
		return "none"
	}
	return fmt.Sprintf("%s (%s to %s)", formatFigure(s.Median()), formatFigure(slices.Min(s)), formatFigure(slices.Max(s)))
}

// formatFigure returns a value with three significant digits, or from 100 on without decimals.
func formatFigure(v float64) string {
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
