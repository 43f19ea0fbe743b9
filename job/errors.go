package job

import "fmt"

// FieldError reports a field of a job that is not accepted.
type FieldError struct {
	Field    string // its name in the JSON form
	Value    string
	Accepted string // description of the accepted values
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("job: %s: %q is not accepted; accepted: %s", e.Field, e.Value, e.Accepted)
}
