package target

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxBufferedBodyBytes is the size in bytes up to which a request body is buffered, so that the
// request can be retried. A larger body is streamed, and its request is sent only once.
const maxBufferedBodyBytes = 64 << 10

// smallBodyBytes is the size in bytes of the pooled buffers for bodies of a known small length.
const smallBodyBytes = 4 << 10

var (
	smallBuffers = sync.Pool{New: func() any { return new([smallBodyBytes]byte) }}
	largeBuffers = sync.Pool{New: func() any { return new([maxBufferedBodyBytes + 1]byte) }}
)

// body is the body of a caller's request.
type body struct {
	length           int64     // in bytes; -1 if unknown
	prefix           []byte    // the buffered start
	remainder        io.Reader // what follows prefix; nil if prefix is the whole body
	smallBuffer      *[smallBodyBytes]byte
	largeBuffer      *[maxBufferedBodyBytes + 1]byte
	attemptBodies    []*attemptBody
	closesConnection bool // the response began before the whole body was sent
}

// complete reports whether the transport read the whole body.
func (b *body) complete() bool {
	return b.replayable() || len(b.attemptBodies) > 0 && b.attemptBodies[0].complete()
}

// prepareHeader is called before the header of the response is written to the caller. If the
// transport has not read the whole body, it adds Connection: close. Otherwise the server would
// wait for the rest of the body before it writes the response.
func (b *body) prepareHeader(header http.Header) {
	if !b.complete() {
		b.closesConnection = true
		header.Set("Connection", "close")
	}
}

// unblockRead ends a read of the caller's body in which the transport is still blocked, by
// means of a read deadline. It sets no deadline on a connection whose body was completely read:
// the server's own read of the next request would fail and cancel all further requests on that
// connection.
func (b *body) unblockRead(writer http.ResponseWriter, controller *http.ResponseController) {
	if !b.closesConnection {
		b.prepareHeader(writer.Header())
	}
	if b.closesConnection {
		_ = controller.SetReadDeadline(time.Now())
	}
}

// release ends all use of the body, including that by the transport, and returns its buffer to
// the pool.
func (b *body) release() {
	for _, attemptBody := range b.attemptBodies {
		_ = attemptBody.Close()
	}
	switch {
	case b.smallBuffer != nil:
		smallBuffers.Put(b.smallBuffer)
	case b.largeBuffer != nil:
		largeBuffers.Put(b.largeBuffer)
	}
}

// replayable reports whether the body can be sent more than once.
func (b *body) replayable() bool { return b.remainder == nil }

// readBody buffers the start of the body of r. It fails if the body cannot be read or is
// shorter than its Content-Length; at that time nothing was sent to a target.
func readBody(r *http.Request) (*body, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	requestBody := &body{length: r.ContentLength}
	var buffer []byte
	if r.ContentLength > 0 && r.ContentLength <= smallBodyBytes {
		requestBody.smallBuffer = smallBuffers.Get().(*[smallBodyBytes]byte)
		buffer = requestBody.smallBuffer[:r.ContentLength]
	} else {
		requestBody.largeBuffer = largeBuffers.Get().(*[maxBufferedBodyBytes + 1]byte)
		buffer = requestBody.largeBuffer[:]
		if r.ContentLength > 0 {
			buffer = buffer[:min(r.ContentLength, maxBufferedBodyBytes)]
		}
	}
	n, ended, err := readFull(r.Body, buffer)
	requestBody.prefix = buffer[:n]
	switch {
	case err != nil:
		requestBody.release()
		return nil, eris.Wrap(err, "target: read the request body")
	case ended && r.ContentLength >= 0 && int64(n) != r.ContentLength:
		requestBody.release()
		return nil, eris.Errorf("target: the request body ended after %d of %d bytes", n, r.ContentLength)
	case ended:
		requestBody.length = int64(n)
	case int64(n) != r.ContentLength:
		requestBody.remainder = r.Body
	}
	return requestBody, nil
}

// readFull reads until buffer is full or r ends, which ended reports. io.ReadFull cannot be
// used here, because it returns the same error for a chunked body that was cut off as for one
// that ended.
func readFull(r io.Reader, buffer []byte) (n int, ended bool, err error) {
	for n < len(buffer) {
		count, err := r.Read(buffer[n:])
		n += count
		switch {
		case err == io.EOF:
			return n, true, nil
		case err != nil:
			return n, false, err
		}
	}
	return n, false, nil
}

// attemptBody is the request body of one attempt. The transport may still read it after the
// attempt ended, so a read after Close accesses neither the buffer nor the caller's connection.
type attemptBody struct {
	mu         sync.Mutex
	prefix     bytes.Reader
	remainder  io.Reader
	closed     bool
	atEOF      bool
	onProgress func() // called after each read of remainder
}

func (b *body) newAttemptBody(onProgress func()) *attemptBody {
	attemptBody := &attemptBody{remainder: b.remainder, onProgress: onProgress}
	attemptBody.prefix.Reset(b.prefix)
	b.attemptBodies = append(b.attemptBodies, attemptBody)
	return attemptBody
}

// complete reports whether the transport read the whole body. A nil attemptBody is an empty
// body, which is always complete.
func (a *attemptBody) complete() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.prefix.Len() == 0 && (a.remainder == nil || a.atEOF)
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return 0, http.ErrBodyReadAfterClose
	}
	if a.prefix.Len() > 0 {
		defer a.mu.Unlock()
		return a.prefix.Read(p)
	}
	ended := a.remainder == nil || a.atEOF
	a.mu.Unlock()
	if ended {
		// The transport reads once more after the last byte. The server may have closed the
		// caller's body by then, and the error of that read would break the connection while the
		// response arrives.
		return 0, io.EOF
	}
	n, err := a.remainder.Read(p)
	a.onProgress()
	if err == io.EOF {
		a.mu.Lock()
		a.atEOF = true
		a.mu.Unlock()
	}
	return n, err
}

// Close ends the attempt's use of the body. It does not close the caller's body, which the
// server closes. The error is always nil.
func (a *attemptBody) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return nil
}
