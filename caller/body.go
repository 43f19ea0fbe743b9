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
	// maxBody bounds the body of a request.
	maxBody = 64 << 20
	// maxEarlyBody is read before admission, so that most slow or broken bodies hold no slot.
	maxEarlyBody = 16 << 10
	// maxBodyPause bounds the wait for the next part of a body.
	maxBodyPause clock.Millis = 10_000
	// refusedBodyTime bounds the reading of what is left of the body of a refused request.
	// net/http reads some of it, to keep the connection.
	refusedBodyTime = time.Second
)

// requestBody reads the body of a request within bounds of time and size. It keeps the first
// part, so that a request whose body is that short can be sent more than once.
type requestBody struct {
	source   io.ReadCloser
	control  *http.ResponseController
	clock    clock.Clock
	deadline clock.Millis
	early    []byte
	complete bool // early is all of it
	problem  atomic.Pointer[Problem]
}

// readEarly reads the first part of the body. It fails with *Problem and the outcome not_run.
func (b *requestBody) readEarly(length int64) error {
	if length == 0 {
		b.complete = true
		b.unbound()
		return nil
	}
	if length > maxBody {
		return b.failed(&http.MaxBytesError{Limit: maxBody})
	}
	size := int64(maxEarlyBody)
	if length > 0 && length < size {
		size = length
	}
	// The byte beyond makes room for the read that finds the end.
	b.early = make([]byte, 0, size+1)
	for len(b.early) < maxEarlyBody {
		n, err := b.readSource(b.early[len(b.early):min(cap(b.early), maxEarlyBody)])
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

// reader returns the whole body, from its start. It may be called again only while repeatable.
func (b *requestBody) reader() io.ReadCloser {
	if b.complete {
		return io.NopCloser(bytes.NewReader(b.early))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.early), readerFunc(b.readSource)))
}

// repeatable reports whether reader can start at the beginning again.
func (b *requestBody) repeatable() bool { return b.complete }

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// readSource reads once, bounded in time by the request's deadline and the longest pause.
func (b *requestBody) readSource(p []byte) (int, error) {
	left := min(b.deadline-b.clock.Now(), maxBodyPause)
	// Writers without deadlines, as in tests, read without a bound.
	_ = b.control.SetReadDeadline(time.Now().Add(left.Duration()))
	n, err := b.source.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.unbound()
	case err != nil:
		return n, b.failed(err)
	}
	return n, err
}

// unbound lifts the bound after the end of the body. A read deadline that passes later would
// cancel the context of a running request, because net/http reads on to notice a closed
// connection.
func (b *requestBody) unbound() { _ = b.control.SetReadDeadline(time.Time{}) }

// failed keeps the reason why the body could not be read.
func (b *requestBody) failed(err error) *Problem {
	var tooLarge *http.MaxBytesError
	var p *Problem
	switch {
	case errors.As(err, &tooLarge):
		p = badField(http.StatusRequestEntityTooLarge, "body", fmt.Sprintf("more than %d bytes", maxBody), fmt.Sprintf("up to %d bytes", maxBody))
	case errors.Is(err, os.ErrDeadlineExceeded):
		p = badField(http.StatusRequestTimeout, "body", "too slow",
			fmt.Sprintf("a next part within %d milliseconds, and all of it before the deadline", maxBodyPause))
	default:
		p = badField(http.StatusBadRequest, "body", "incomplete or malformed", "as many bytes as announced")
	}
	b.problem.CompareAndSwap(nil, p)
	return b.problem.Load()
}
