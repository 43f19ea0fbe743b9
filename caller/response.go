package caller

import (
	"net/http"
	"strconv"

	"citronknot/fleet"
)

// maxRecordedBodyBytes limits the body of a response that is recorded.
const maxRecordedBodyBytes = 16 << 10

// Response is a complete response of a target. It is recorded so that it can be replayed when the
// request is repeated.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// RecordedError reports that a request ran before and that its response was recorded. The Server
// replays that response.
type RecordedError struct {
	Response Response
}

func (e *RecordedError) Error() string {
	return "caller: the request ran already; its response with status " + strconv.Itoa(e.Response.Status) + " is recorded"
}

// replay writes a recorded response as the response to the request with the given id.
func replay(w http.ResponseWriter, id fleet.RequestID, a *Response) {
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

// responseRecorder writes a response through to the ResponseWriter and keeps a copy of it if its
// body has at most maxRecordedBodyBytes.
type responseRecorder struct {
	http.ResponseWriter
	response Response
	tooLarge bool // the body is larger than maxRecordedBodyBytes
}

// Unwrap returns the underlying writer for http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader writes the status through. Informational responses (1xx) are not recorded.
func (r *responseRecorder) WriteHeader(status int) {
	if status >= http.StatusOK && r.response.Status == 0 {
		r.response.Status = status
		r.response.Header = r.Header().Clone()
	}
	r.ResponseWriter.WriteHeader(status)
}

func (r *responseRecorder) Write(b []byte) (int, error) {
	if r.response.Status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if len(r.response.Body)+len(b) > maxRecordedBodyBytes {
		r.tooLarge, r.response.Body = true, nil
	}
	if !r.tooLarge {
		r.response.Body = append(r.response.Body, b...)
	}
	return r.ResponseWriter.Write(b)
}

// complete returns the response if all of it was recorded, and nil otherwise. A body that the
// caller did not receive in full is recorded too, because the caller gets it by repeating the
// request.
func (r *responseRecorder) complete() *Response {
	if r.tooLarge || r.response.Status == 0 {
		return nil
	}
	if n := r.response.Header.Get("Content-Length"); n != "" && n != strconv.Itoa(len(r.response.Body)) {
		return nil
	}
	return &r.response
}
