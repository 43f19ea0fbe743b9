package caller

import (
	"errors"
	"io"
	"net/http"

	"citronknot/job"
)

// DefaultMaxJob bounds the bytes of a job where the configuration sets no limit: its largest
// spec, steps and field names stay under it.
const DefaultMaxJob int64 = 256 << 10

// submit hands a job in. Handing it in again under the same id changes nothing.
func (j *Jobs) submit(w http.ResponseWriter, r *http.Request, c JobCall) {
	limit := DefaultMaxJob
	if catalog := j.Catalog(); catalog != nil && catalog.MaxBodyBytes > 0 {
		limit = catalog.MaxBodyBytes
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		WriteProblem(w, c.ID, &Problem{Status: http.StatusRequestEntityTooLarge, Title: "the job is too large", Detail: err.Error(), Run: NotRun, Reason: "invalid"})
		return
	}
	if err != nil {
		WriteProblem(w, c.ID, &Problem{Status: http.StatusBadRequest, Title: "the body broke off", Detail: err.Error(), Run: NotRun, Reason: "cancelled"})
		return
	}
	submitted, err := job.DecodeSubmission(text, c.Job, c.Queue.ID, c.Team)
	if err != nil {
		answerJob(w, c, job.Answer{Outcome: job.OutcomeInvalid, Detail: err.Error()})
		return
	}
	answerJob(w, c, j.Submit(r.Context(), c, submitted))
}

// cancel ends a job.
func (j *Jobs) cancel(w http.ResponseWriter, r *http.Request, c JobCall) {
	answerJob(w, c, j.Cancel(r.Context(), c))
}
