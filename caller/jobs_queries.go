package caller

import "net/http"

// state serves the state of a job.
func (j *Jobs) state(w http.ResponseWriter, r *http.Request, c JobCall) {
	writeJobAnswer(w, c, j.State(r.Context(), c))
}

// waiting serves the number of waiting jobs of a queue.
func (j *Jobs) waiting(w http.ResponseWriter, r *http.Request, c JobCall) {
	a := j.CountWaiting(r.Context(), c)
	if p := jobProblem(a); p != nil {
		WriteProblem(w, c.ID, p)
		return
	}
	writeJSON(w, WireQueue{Queue: string(c.Queue.ID), Pool: string(c.Queue.Pool), Waiting: a.Pending})
}
