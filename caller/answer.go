package caller

import (
	"net/http"
	"strconv"

	"citronknot/fleet"
)

// maxAnswer bounds the body of an answer that is recorded.
const maxAnswer = 16 << 10

// Answer is a complete response of a target, recorded for repeats of its request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// RecordedError reports that a request ran before and that its answer was recorded. The Server
// replays the answer.
type RecordedError struct {
	Answer Answer
}

func (e *RecordedError) Error() string {
	return "caller: the request ran already; its answer of status " + strconv.Itoa(e.Answer.Status) + " is recorded"
}

// replay writes a recorded answer as the response to the request with the given id.
func replay(w http.ResponseWriter, id fleet.RequestID, a *Answer) {
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	h.Set(HeaderRun, string(Ran))
	h.Set(HeaderRepeat, "true")
	h.Set(HeaderRequestID, string(id))
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// capture passes a response on and keeps a copy of it if it is small.
type capture struct {
	http.ResponseWriter
	answer Answer
	over   bool // too large, or not written in full
}

// Unwrap gives http.ResponseController the underlying writer.
func (c *capture) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader passes the status on. Informational responses are not part of the answer.
func (c *capture) WriteHeader(status int) {
	if status >= http.StatusOK && c.answer.Status == 0 {
		c.answer.Status = status
		c.answer.Header = c.Header().Clone()
	}
	c.ResponseWriter.WriteHeader(status)
}

func (c *capture) Write(b []byte) (int, error) {
	if c.answer.Status == 0 {
		c.WriteHeader(http.StatusOK)
	}
	if len(c.answer.Body)+len(b) > maxAnswer {
		c.over, c.answer.Body = true, nil
	}
	if !c.over {
		c.answer.Body = append(c.answer.Body, b...)
	}
	return c.ResponseWriter.Write(b)
}

// whole returns the answer if all of it was captured, else nil. A body that the caller did not
// receive in full still counts: the repeat is how the caller gets it.
func (c *capture) whole() *Answer {
	if c.over || c.answer.Status == 0 {
		return nil
	}
	if n := c.answer.Header.Get("Content-Length"); n != "" && n != strconv.Itoa(len(c.answer.Body)) {
		return nil
	}
	return &c.answer
}
