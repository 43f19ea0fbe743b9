package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"citronknot/clock"
	"citronknot/fleet"
)

// Outcome says whether a request ran.
type Outcome string

// The outcomes. NotRun is given only if no byte of the request can have reached a target, or if
// the target's guard refused the request. Unknown means that the request may have run.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Problem is an error response that citronknot itself gives, instead of a response of a target.
type Problem struct {
	Status   int
	Title    string
	Detail   string
	Outcome  Outcome
	Field    string // for invalid input: the name of the header or path element
	Accepted string // for invalid input: the values that are accepted
	Reason   string // short name of the cause, a label of the metrics
	// FailedStarts is the number of targets on which the request failed before it ran. The
	// Server tries the request again if FailedStarts is above 0 and Outcome is NotRun.
	FailedStarts int
	RetryAfter   clock.Millis // sent as the Retry-After header, rounded up to seconds; 0 for none
}

func (p *Problem) Error() string {
	return fmt.Sprintf("caller: %s (status %d, %s)", p.Title, p.Status, p.Outcome)
}

type wireProblem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Run       string `json:"run"`
	RequestID string `json:"request_id,omitempty"`
	Field     string `json:"field,omitempty"`
	Accepted  string `json:"accepted,omitempty"`
}

// maxShownValueBytes limits how much of an invalid value a response repeats.
const maxShownValueBytes = 64

func invalidField(status int, field, value, accepted string) *Problem {
	if len(value) > maxShownValueBytes {
		value = value[:maxShownValueBytes] + "..."
	}
	return &Problem{
		Status: status, Title: "invalid " + field, Outcome: NotRun, Field: field, Accepted: accepted, Reason: "invalid",
		Detail: fmt.Sprintf("%s %q is not accepted; accepted: %s", field, value, accepted),
	}
}

// WriteProblem writes p as the response to the request with the given id. An empty id is omitted.
func WriteProblem(w http.ResponseWriter, id fleet.RequestID, p *Problem) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	h.Set(HeaderRun, string(p.Outcome))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((p.RetryAfter+999)/1000), 10))
	}
	if id != "" {
		h.Set(HeaderRequestID, string(id))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(wireProblem{
		Type: "about:blank", Title: p.Title, Status: p.Status, Detail: p.Detail, Run: string(p.Outcome),
		RequestID: string(id), Field: p.Field, Accepted: p.Accepted,
	})
}
