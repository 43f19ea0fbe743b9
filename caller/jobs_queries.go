package caller

import "net/http"

// state tells the state of a job.
func (j *Jobs) state(w http.ResponseWriter, r *http.Request, c JobCall) {
	answerJob(w, c, j.State(r.Context(), c))
}

// waiting tells how many jobs of a queue wait.
func (j *Jobs) waiting(w http.ResponseWriter, r *http.Request, c JobCall) {
	a := j.Waiting(r.Context(), c)
	if p := jobProblem(a); p != nil {
		WriteProblem(w, c.ID, p)
		return
	}
	writeDone(w, WireQueue{Queue: string(c.Queue.ID), Pool: string(c.Queue.Pool), Waiting: a.Pending})
}
