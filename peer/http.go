package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
)

const (
	exchangePath = "/v1/exchange"
	// maxBodyBytes limits the encoded size of a message before compression. It is large enough
	// for a release note of the largest size that operators may send, which is 4 MB.
	maxBodyBytes = 8 << 20
	// minGzipBytes is the size from which a message is compressed. A smaller message fits into
	// one packet.
	minGzipBytes = 700
	// gzipLevel is the lowest level with lazy matching, which suits the many numbers in vectors
	// and load summaries.
	gzipLevel = 4
	// maxConcurrentRequests limits the requests that are served at the same time.
	maxConcurrentRequests = 64

	defaultCallTimeout clock.Millis = 700
)

// Server serves the HTTP endpoint for messages from other members.
type Server struct {
	Credential string // shared by all members; must not be empty
	// Respond returns the response to a message.
	Respond func(Message) Message

	once  sync.Once
	slots chan struct{}
}

// Handler returns the HTTP handler for the peer listener. It requires the credential of s, and
// responds with status 503 while too many requests are in progress.
func (s *Server) Handler() http.Handler {
	s.once.Do(func() { s.slots = make(chan struct{}, maxConcurrentRequests) })
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+exchangePath, s.exchange)
	return mux
}

func (s *Server) exchange(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(r) {
		http.Error(w, "peer: credential missing or wrong", http.StatusUnauthorized)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		http.Error(w, "peer: too many messages at once", http.StatusServiceUnavailable)
		return
	}
	text, err := readBody(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m, err := Decode(text)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := Encode(s.Respond(m))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	out, encoding := compress(out)
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil // omitted because no member reads it
	if encoding != "" {
		w.Header().Set("Content-Encoding", encoding)
	}
	_, _ = w.Write(out)
}

// authorized compares hashes in constant time, so that the response time reveals nothing about
// the credential.
func (s *Server) authorized(r *http.Request) bool {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	want, got := sha256.Sum256([]byte(s.Credential)), sha256.Sum256([]byte(secret))
	return ok && s.Credential != "" && subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// NewTransport returns a transport for calls to other members. In a fleet of 150, a member calls
// each of its 149 peers every 25 s on average, so connections are kept open only for the
// messages of one exchange, and in a small fleet for the next exchange.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        32,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true, // Client compresses, and decompresses up to a size limit
	}
}

// Client sends messages to the peer listeners of other members.
type Client struct {
	Credential string
	Scheme     string       // "http" or "https"; empty means "http"
	Timeout    clock.Millis // limit for one call; 0 means 700
	HTTP       *http.Client // nil means http.DefaultClient; see [NewTransport]
}

// Call sends m to a member and returns the response. It fails if the member does not respond
// within the timeout, responds with a status other than 200, or sends an invalid message.
func (c *Client) Call(ctx context.Context, to Member, m Message) (Message, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	text, err := Encode(m)
	if err != nil {
		return Message{}, err
	}
	text, encoding := compress(text)
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+to.Address+exchangePath, bytes.NewReader(text))
	if err != nil {
		return Message{}, eris.Wrap(err, "peer: create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	// Setting the header explicitly stops net/http from adding its own and from decompressing
	// without a size limit.
	req.Header.Set("Accept-Encoding", "gzip")
	req.Header.Set("User-Agent", "") // omitted because no member reads it
	if encoding != "" {
		req.Header.Set("Content-Encoding", encoding)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Message{}, eris.Wrap(err, "peer: send request")
	}
	defer resp.Body.Close()
	out, err := readBody(io.LimitReader(resp.Body, maxBodyBytes), resp.Header)
	if err != nil {
		return Message{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Message{}, eris.Errorf("peer: member %s responded with status %d", to.ID, resp.StatusCode)
	}
	return Decode(out)
}

// readBody reads a body of at most maxBodyBytes after decompression.
func readBody(r io.Reader, h http.Header) ([]byte, error) {
	if h.Get("Content-Encoding") == "gzip" {
		decompressed, err := gzip.NewReader(r)
		if err != nil {
			return nil, eris.Wrap(err, "peer: decompress")
		}
		r = decompressed
	}
	text, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "peer: read")
	}
	if len(text) > maxBodyBytes {
		return nil, eris.Errorf("peer: message longer than %d bytes", maxBodyBytes)
	}
	return text, nil
}

// gzipWriters reuses writers, because each one allocates more than 1 MB.
var gzipWriters = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(io.Discard, gzipLevel)
	return z
}}

// compress returns text compressed with gzip and its content encoding. It returns a short text
// unchanged, with an empty encoding.
func compress(text []byte) (out []byte, encoding string) {
	if len(text) < minGzipBytes {
		return text, ""
	}
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	var buffer bytes.Buffer
	writer.Reset(&buffer)
	if _, err := writer.Write(text); err != nil {
		return text, ""
	}
	if err := writer.Close(); err != nil {
		return text, ""
	}
	return buffer.Bytes(), "gzip"
}
