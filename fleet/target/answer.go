package target

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

const copyBuffer = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// errCallerGone reports that the caller's connection takes no more of the response.
var errCallerGone = errors.New("the caller is gone")

// refused reports whether resp is the refusal of q by the target's guard. A refusal without
// the id of q may belong to another request and proves nothing about q.
func refused(resp *http.Response, q *Request) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderRun) == "not_run" &&
		resp.Header.Get(HeaderRequestID) == string(q.ID)
}

// verify checks that resp is a response to q whose end can be recognized. It is the one place
// that matches a response to its request (I6).
func verify(resp *http.Response, q *Request) error {
	switch {
	case resp.Header.Get(HeaderRequestID) != string(q.ID):
		return eris.Errorf("the response is for request %q", resp.Header.Get(HeaderRequestID))
	case resp.StatusCode < http.StatusOK:
		return eris.Errorf("the response has status %d", resp.StatusCode)
	case resp.Header.Get(HeaderRun) == "not_run":
		return eris.Errorf("the response says not_run with status %d instead of 503", resp.StatusCode)
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return eris.New("the response has no length, so that its end cannot be verified")
	}
	return nil
}

// pass copies a verified response to the caller. started reports whether the caller received
// any of it. A short response is read completely before the caller gets the first byte, so
// that one that ends early can still be replaced by another response.
func pass(w http.ResponseWriter, resp *http.Response, q *Request, b *body, progress func()) (started bool, err error) {
	buffer := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buffer)
	if n := resp.ContentLength; n >= 0 && n <= copyBuffer {
		if err := readShort(resp.Body, buffer[:n]); err != nil {
			return false, err
		}
		copyHeader(w.Header(), resp.Header, q)
		b.responding(w.Header())
		w.WriteHeader(resp.StatusCode)
		if n > 0 {
			_, _ = w.Write(buffer[:n])
		}
		return true, nil
	}
	copyHeader(w.Header(), resp.Header, q)
	b.responding(w.Header())
	w.WriteHeader(resp.StatusCode)
	return true, stream(w, resp, buffer[:], progress)
}

// readShort reads a body of known length and its end, which lets the transport reuse the
// connection.
func readShort(r io.Reader, buffer []byte) error {
	if len(buffer) == 0 {
		return nil
	}
	if _, err := io.ReadFull(r, buffer); err != nil {
		return eris.Wrap(err, "the response ended early")
	}
	var one [1]byte
	if _, err := r.Read(one[:]); err != io.EOF {
		return eris.Wrap(err, "the response did not end")
	}
	return nil
}

// stream copies a long response as it arrives. A response of unknown length is flushed after
// each read, because its target may pause between the parts.
func stream(w http.ResponseWriter, resp *http.Response, buffer []byte, progress func()) error {
	rc := http.NewResponseController(w)
	for {
		n, err := resp.Body.Read(buffer)
		progress()
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return errCallerGone
			}
			if resp.ContentLength < 0 {
				_ = rc.Flush()
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return eris.Wrap(err, "the response ended early")
		}
	}
}
