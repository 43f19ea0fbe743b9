package caller

import (
	"errors"
	"io"
	"net/http"

	"citronknot/job"
)

// DefaultMaxJobBytes is the limit in bytes of a submitted job where the configuration sets no limit. A
// job with the largest valid spec, steps and field names is smaller.
const DefaultMaxJobBytes int64 = 256 << 10

// submit serves the submission of a job. It is idempotent: a repeated submission under the same
// id changes nothing.
func (j *Jobs) submit(w http.ResponseWriter, r *http.Request, c JobCall) {
	limit := DefaultMaxJobBytes
	if catalog := j.Catalog(); catalog != nil && catalog.MaxBodyBytes > 0 {
		limit = catalog.MaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		WriteProblem(w, c.ID, &Problem{Status: http.StatusRequestEntityTooLarge, Title: "the job is too large", Detail: err.Error(), Outcome: NotRun, Reason: "invalid"})
		return
	}
	if err != nil {
		WriteProblem(w, c.ID, &Problem{Status: http.StatusBadRequest, Title: "the body broke off", Detail: err.Error(), Outcome: NotRun, Reason: "cancelled"})
		return
	}
	submitted, err := job.DecodeSubmission(body, c.Job, c.Queue.ID, c.Team)
	if err != nil {
		writeJobAnswer(w, c, job.Answer{Outcome: job.OutcomeInvalid, Detail: err.Error()})
		return
	}
	writeJobAnswer(w, c, j.Submit(r.Context(), c, submitted))
}

// cancel serves the cancellation of a job.
func (j *Jobs) cancel(w http.ResponseWriter, r *http.Request, c JobCall) {
	writeJobAnswer(w, c, j.Cancel(r.Context(), c))
}
