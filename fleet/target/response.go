package target

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// copyBufferBytes is in bytes. A response of known length up to this size is read completely
// before the caller receives any of it.
const copyBufferBytes = 32 << 10

var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// errCallerClosed reports that a write of the response to the caller's connection failed.
var errCallerClosed = errors.New("target: the caller closed its connection")

// isRefusal reports whether resp is the refusal of request by the target's guard. A refusal
// without the id of request may belong to another request, so it does not show that request
// was not run.
func isRefusal(resp *http.Response, request *Request) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderRun) == "not_run" &&
		resp.Header.Get(HeaderRequestID) == string(request.ID)
}

// verifyResponse returns an error unless resp is a response to request and its end can be
// recognized. No other code matches a response to its request (invariant I6).
func verifyResponse(resp *http.Response, request *Request) error {
	switch {
	case resp.Header.Get(HeaderRequestID) != string(request.ID):
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

// forwardResponse copies a verified response to the caller. started reports whether the caller
// received any of it. A short response is read completely before the first byte is written to
// the caller, so that a response that ends early can still be replaced by another one.
func forwardResponse(
	writer http.ResponseWriter, resp *http.Response, request *Request, requestBody *body, onProgress func(),
) (started bool, err error) {
	buffer := copyBufferPool.Get().(*[copyBufferBytes]byte)
	defer copyBufferPool.Put(buffer)
	if length := resp.ContentLength; length >= 0 && length <= copyBufferBytes {
		if err := readShort(resp.Body, buffer[:length]); err != nil {
			return false, err
		}
		copyHeader(writer.Header(), resp.Header, request)
		requestBody.prepareHeader(writer.Header())
		writer.WriteHeader(resp.StatusCode)
		if length > 0 {
			_, _ = writer.Write(buffer[:length])
		}
		return true, nil
	}
	copyHeader(writer.Header(), resp.Header, request)
	requestBody.prepareHeader(writer.Header())
	writer.WriteHeader(resp.StatusCode)
	return true, streamResponse(writer, resp, buffer[:], onProgress)
}

// readShort reads a body whose length is that of buffer, and then its end, which lets the
// transport reuse the connection.
func readShort(r io.Reader, buffer []byte) error {
	if len(buffer) == 0 {
		return nil
	}
	if _, err := io.ReadFull(r, buffer); err != nil {
		return eris.Wrap(err, "the response ended early")
	}
	var extra [1]byte
	if _, err := r.Read(extra[:]); err != io.EOF {
		return eris.Wrap(err, "the response did not end")
	}
	return nil
}

// streamResponse copies a long response while it arrives and calls onProgress after each read.
// A response of unknown length is flushed after each read, because its target may pause
// between the parts.
func streamResponse(writer http.ResponseWriter, resp *http.Response, buffer []byte, onProgress func()) error {
	controller := http.NewResponseController(writer)
	for {
		n, err := resp.Body.Read(buffer)
		onProgress()
		if n > 0 {
			if _, werr := writer.Write(buffer[:n]); werr != nil {
				return errCallerClosed
			}
			if resp.ContentLength < 0 {
				_ = controller.Flush()
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
