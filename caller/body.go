package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"citronknot/clock"
)

const (
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 64 << 20
	// maxEarlyBodyBytes is the number of bytes of the body that are read before admission, so
	// that most slow or malformed bodies occupy no slot.
	maxEarlyBodyBytes = 16 << 10
	// maxBodyReadWait limits the time that one read of a body may wait for data.
	maxBodyReadWait clock.Millis = 10_000
	// refusedBodyReadTimeout limits the time for reading the rest of the body of a refused
	// request. net/http reads some of it so that it can reuse the connection.
	refusedBodyReadTimeout = time.Second
)

// requestBody reads the body of a request within limits of time and size. It keeps the first
// maxEarlyBodyBytes, so that a request with a shorter body can be sent more than once.
type requestBody struct {
	source     io.ReadCloser
	controller *http.ResponseController
	clock      clock.Clock
	deadline   clock.Millis
	early      []byte
	complete   bool // early holds the whole body
	problem    atomic.Pointer[Problem]
}

// readEarly reads the first part of the body; length is its Content-Length, or -1 if that is
// unknown. The error is a *Problem with the outcome not_run.
func (b *requestBody) readEarly(length int64) error {
	if length == 0 {
		b.complete = true
		b.clearReadDeadline()
		return nil
	}
	if length > maxBodyBytes {
		return b.recordProblem(&http.MaxBytesError{Limit: maxBodyBytes})
	}
	size := int64(maxEarlyBodyBytes)
	if length > 0 && length < size {
		size = length
	}
	// The additional byte leaves capacity for the read that returns io.EOF.
	b.early = make([]byte, 0, size+1)
	for len(b.early) < maxEarlyBodyBytes {
		n, err := b.readSource(b.early[len(b.early):min(cap(b.early), maxEarlyBodyBytes)])
		b.early = b.early[:len(b.early)+n]
		if errors.Is(err, io.EOF) {
			b.complete = true
			return nil
		}
		if err != nil {
			return b.problem.Load()
		}
	}
	return nil
}

// reader returns a reader of the whole body from its start. It may be called a second time only
// if repeatable returns true.
func (b *requestBody) reader() io.ReadCloser {
	if b.complete {
		return io.NopCloser(bytes.NewReader(b.early))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.early), readerFunc(b.readSource)))
}

// repeatable reports whether reader can return the body from its start again.
func (b *requestBody) repeatable() bool { return b.complete }

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// readSource does one read from the connection. It waits until the deadline of the request, but
// at most maxBodyReadWait.
func (b *requestBody) readSource(p []byte) (int, error) {
	timeout := min(b.deadline-b.clock.Now(), maxBodyReadWait)
	// Response writers without deadlines, such as those in tests, read without a time limit.
	_ = b.controller.SetReadDeadline(time.Now().Add(timeout.Duration()))
	n, err := b.source.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.clearReadDeadline()
	case err != nil:
		return n, b.recordProblem(err)
	}
	return n, err
}

// clearReadDeadline removes the read deadline after the end of the body. A read deadline that
// passes later would cancel the context of a running request, because net/http keeps reading to
// detect a closed connection.
func (b *requestBody) clearReadDeadline() { _ = b.controller.SetReadDeadline(time.Time{}) }

// recordProblem converts a read error to a Problem and records it. It returns the Problem that
// was recorded first.
func (b *requestBody) recordProblem(err error) *Problem {
	var tooLarge *http.MaxBytesError
	var p *Problem
	switch {
	case errors.As(err, &tooLarge):
		p = invalidField(http.StatusRequestEntityTooLarge, "body", fmt.Sprintf("more than %d bytes", maxBodyBytes), fmt.Sprintf("up to %d bytes", maxBodyBytes))
	case errors.Is(err, os.ErrDeadlineExceeded):
		p = invalidField(http.StatusRequestTimeout, "body", "too slow",
			fmt.Sprintf("a next part within %d milliseconds, and all of it before the deadline", maxBodyReadWait))
	default:
		p = invalidField(http.StatusBadRequest, "body", "incomplete or malformed", "as many bytes as announced")
	}
	b.problem.CompareAndSwap(nil, p)
	return b.problem.Load()
}
