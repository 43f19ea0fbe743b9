package job

import "fmt"

// FieldError reports a field of a job that is not accepted.
type FieldError struct {
	Field    string
	Value    string
	Accepted string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("job: %s: %q is not accepted; accepted: %s", e.Field, e.Value, e.Accepted)
}
