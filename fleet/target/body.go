package target

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// bufferedBody is the size up to which a request body is buffered, so that the request can be
// tried again. Larger bodies are streamed and tried once.
const bufferedBody = 64 << 10

// smallBody is the size of the pooled buffers for bodies of a known small length.
const smallBody = 4 << 10

var (
	smallBuffers = sync.Pool{New: func() any { return new([smallBody]byte) }}
	largeBuffers = sync.Pool{New: func() any { return new([bufferedBody + 1]byte) }}
)

// body is the body of a caller's request.
type body struct {
	length  int64     // -1 if unknown
	head    []byte    // the buffered start
	rest    io.Reader // what follows head; nil if head is complete
	small   *[smallBody]byte
	large   *[bufferedBody + 1]byte
	senders []*sender
	cut     bool // the response began before the whole body was sent
}

// complete reports whether the transport read the whole body.
func (b *body) complete() bool {
	return b.replayable() || len(b.senders) > 0 && b.senders[0].complete()
}

// responding is called before the header of the response is written to the caller. If the body
// is not complete, the caller's connection is not used again. Without that, the server would
// wait for the rest of the body before it writes the response.
func (b *body) responding(h http.Header) {
	if !b.complete() {
		b.cut = true
		h.Set("Connection", "close")
	}
}

// endStream ends a read of the caller's body that the transport still waits in. A connection
// whose body is complete must not get this deadline: the server's own read of the next request
// would fail and cancel all further requests on that connection.
func (b *body) endStream(w http.ResponseWriter, rc *http.ResponseController) {
	if !b.cut {
		b.responding(w.Header())
	}
	if b.cut {
		_ = rc.SetReadDeadline(time.Now())
	}
}

// release ends all use of the body, also by the transport, and returns its buffer.
func (b *body) release() {
	for _, s := range b.senders {
		_ = s.Close()
	}
	switch {
	case b.small != nil:
		smallBuffers.Put(b.small)
	case b.large != nil:
		largeBuffers.Put(b.large)
	}
}

// replayable reports whether the body can be sent more than once.
func (b *body) replayable() bool { return b.rest == nil }

// readBody buffers the start of the body of r. If it fails, nothing was sent to a target.
func readBody(r *http.Request) (*body, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	b := &body{length: r.ContentLength}
	var buffer []byte
	if r.ContentLength > 0 && r.ContentLength <= smallBody {
		b.small = smallBuffers.Get().(*[smallBody]byte)
		buffer = b.small[:r.ContentLength]
	} else {
		b.large = largeBuffers.Get().(*[bufferedBody + 1]byte)
		buffer = b.large[:]
		if r.ContentLength > 0 {
			buffer = buffer[:min(r.ContentLength, bufferedBody)]
		}
	}
	n, ended, err := fill(r.Body, buffer)
	b.head = buffer[:n]
	switch {
	case err != nil:
		b.release()
		return nil, eris.Wrap(err, "target: read the request body")
	case ended && r.ContentLength >= 0 && int64(n) != r.ContentLength:
		b.release()
		return nil, eris.Errorf("target: the request body ended after %d of %d bytes", n, r.ContentLength)
	case ended:
		b.length = int64(n)
	case int64(n) != r.ContentLength:
		b.rest = r.Body
	}
	return b, nil
}

// fill reads until buffer is full or r ends. io.ReadFull does not serve here: it reports a
// chunked body that broke off with the same error as one that ended.
func fill(r io.Reader, buffer []byte) (n int, ended bool, err error) {
	for n < len(buffer) {
		k, err := r.Read(buffer[n:])
		n += k
		switch {
		case err == io.EOF:
			return n, true, nil
		case err != nil:
			return n, false, err
		}
	}
	return n, false, nil
}

// sender is the body of one attempt. The transport may still read it after the attempt ended,
// so after Close no read reaches the buffer or the caller.
type sender struct {
	mu       sync.Mutex
	head     bytes.Reader
	rest     io.Reader
	closed   bool
	ended    bool
	progress func() // called for each read of rest
}

func (b *body) sender(progress func()) *sender {
	s := &sender{rest: b.rest, progress: progress}
	s.head.Reset(b.head)
	b.senders = append(b.senders, s)
	return s
}

// complete reports whether the transport read the whole body; nil is an empty body.
func (s *sender) complete() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head.Len() == 0 && (s.rest == nil || s.ended)
}

// Read implements io.Reader.
func (s *sender) Read(p []byte) (int, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return 0, http.ErrBodyReadAfterClose
	}
	if s.head.Len() > 0 {
		defer s.mu.Unlock()
		return s.head.Read(p)
	}
	ended := s.rest == nil || s.ended
	s.mu.Unlock()
	if ended {
		// The transport looks for the end again after the last byte. The caller's body may be
		// closed by then, and the error would break the connection during the response.
		return 0, io.EOF
	}
	n, err := s.rest.Read(p)
	s.progress()
	if err == io.EOF {
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
	}
	return n, err
}

// Close ends the attempt's use of the body. The caller's body stays open: its server closes it.
func (s *sender) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return nil
}
