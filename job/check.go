package job

import (
	"fmt"

	"citronknot/clock"
)

// Limits of a submission. They keep one job within a transaction of the row store and within the
// memory of a pool's owner.
const (
	MaxSpecBytes   = 4000                                 // bytes
	MaxSteps       = 64                                   // steps of a job
	MaxTasks       = 10000                                // tasks of one occurrence of a job
	MaxOccurrences = 10000                                // occurrences of a timed job
	maxResource    = 1 << 40                              // in each dimension of a task's needs
	maxDuration    = clock.Millis(365 * 24 * 3600 * 1000) // one year
	latestTime     = clock.Millis(4_102_444_800_000)      // 2100-01-01, in milliseconds since 1970
	idDigits       = 16
)

// Check returns a *FieldError for the first field of j that is not accepted, or nil.
func (j *Job) Check() error {
	if !ValidID(j.ID) {
		return newFieldError("id", j.ID, "16 hexadecimal digits")
	}
	if len(j.Spec) > MaxSpecBytes {
		return newFieldError("spec", fmt.Sprintf("%d bytes", len(j.Spec)), fmt.Sprintf("at most %d bytes", MaxSpecBytes))
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return newFieldError("steps", len(j.Steps), fmt.Sprintf("1 to %d steps", MaxSteps))
	}
	if err := checkRange("runs", int64(j.Runs), 0, MaxOccurrences); err != nil {
		return err
	}
	if err := checkRange("first", int64(j.First), 0, int64(latestTime)); err != nil {
		return err
	}
	if err := checkRange("interval", int64(j.Interval), 0, int64(maxDuration)); err != nil {
		return err
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
	}
	if n := j.Tasks(); n > MaxTasks {
		return newFieldError("steps", n, fmt.Sprintf("at most %d tasks", MaxTasks))
	}
	return nil
}

// ValidID reports whether id has 16 hexadecimal digits.
func ValidID(id ID) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

func (s *Step) check(i int) error {
	fieldName := func(name string) string { return fmt.Sprintf("steps[%d].%s", i, name) }
	for _, r := range []struct {
		name     string
		value    int64
		min, max int64
	}{
		{"count", int64(s.Count), 1, MaxTasks},
		{"cpu", s.Needs.CPU, 0, maxResource},
		{"memory", s.Needs.Memory, 0, maxResource},
		{"gpu", s.Needs.GPU, 0, maxResource},
		{"estimate", int64(s.Estimate), 0, int64(maxDuration)},
		{"max_per_worker", int64(s.MaxPerWorker), 0, MaxTasks},
		{"may_miss", int64(s.MaxUnavailable), 0, MaxTasks},
		{"tail_target", int64(s.TailLatencyTarget), 0, int64(maxDuration)},
	} {
		if err := checkRange(fieldName(r.name), r.value, r.min, r.max); err != nil {
			return err
		}
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return newFieldError(fieldName("after"), a, "numbers of earlier steps")
		}
	}
	return nil
}

func checkRange(name string, value, low, high int64) error {
	if value < low || value > high {
		return newFieldError(name, value, fmt.Sprintf("%d to %d", low, high))
	}
	return nil
}

func newFieldError(name string, value any, accepted string) error {
	return &FieldError{Field: name, Value: fmt.Sprint(value), Accepted: accepted}
}
