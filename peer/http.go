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
	// maxBody bounds the text of a message before compression. It leaves room for one release
	// note of the largest size that operators may send, which is 4 MB.
	maxBody = 8 << 20
	// gzipFrom is the size from which a text is compressed. Below it a message fits one packet.
	gzipFrom = 700
	// gzipLevel is the lowest level with lazy matching, which suits the many numbers of vectors
	// and load summaries.
	gzipLevel = 4
	// maxAnswers bounds the messages that are read and answered at the same time.
	maxAnswers = 64

	defaultCallTimeout clock.Millis = 700
)

// Server serves the peer listener.
type Server struct {
	Credential string // shared by all members; must not be empty
	// Answer returns the answer to a message.
	Answer func(Message) Message

	once  sync.Once
	slots chan struct{}
}

// Handler returns the handler of the peer listener.
func (s *Server) Handler() http.Handler {
	s.once.Do(func() { s.slots = make(chan struct{}, maxAnswers) })
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
	text, err := readBody(http.MaxBytesReader(w, r.Body, maxBody), r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m, err := Decode(text)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := Encode(s.Answer(m))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	out, encoding := pack(out)
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil // not sent; no member reads it
	if encoding != "" {
		w.Header().Set("Content-Encoding", encoding)
	}
	_, _ = w.Write(out)
}

// authorized compares hashes, so that the time taken tells nothing of the credential.
func (s *Server) authorized(r *http.Request) bool {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	want, got := sha256.Sum256([]byte(s.Credential)), sha256.Sum256([]byte(secret))
	return ok && s.Credential != "" && subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// NewTransport returns a transport for calls to other members. A member meets each of 149 peers
// every 25 s on average, so that connections are kept only for the messages of an exchange and
// for its repeat in a small fleet.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        32,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true, // Client packs and unpacks within its bounds
	}
}

// Client sends messages to the peer listeners of other members.
type Client struct {
	Credential string
	Scheme     string       // "http" or "https"; empty means "http"
	Timeout    clock.Millis // of one call; 0 means 700
	HTTP       *http.Client // nil means http.DefaultClient; see [NewTransport]
}

// Call sends m to a member and returns its answer.
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
	text, encoding := pack(text)
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+to.Address+exchangePath, bytes.NewReader(text))
	if err != nil {
		return Message{}, eris.Wrap(err, "peer: request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	// Set by hand, so that net/http neither sends its own header nor unpacks without a bound.
	req.Header.Set("Accept-Encoding", "gzip")
	req.Header.Set("User-Agent", "") // not sent; members know each other
	if encoding != "" {
		req.Header.Set("Content-Encoding", encoding)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Message{}, eris.Wrap(err, "peer: call")
	}
	defer resp.Body.Close()
	out, err := readBody(io.LimitReader(resp.Body, maxBody), resp.Header)
	if err != nil {
		return Message{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Message{}, eris.Errorf("peer: member %s answered with status %d", to.ID, resp.StatusCode)
	}
	return Decode(out)
}

// readBody reads a text of at most maxBody bytes after decompression.
func readBody(r io.Reader, h http.Header) ([]byte, error) {
	if h.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(r)
		if err != nil {
			return nil, eris.Wrap(err, "peer: decompress")
		}
		r = z
	}
	text, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err != nil {
		return nil, eris.Wrap(err, "peer: read")
	}
	if len(text) > maxBody {
		return nil, eris.Errorf("peer: message longer than %d bytes", maxBody)
	}
	return text, nil
}

// Writers are reused, because each one allocates more than 1 MB.
var writers = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(io.Discard, gzipLevel)
	return z
}}

// pack compresses a long text and returns its content encoding.
func pack(text []byte) (out []byte, encoding string) {
	if len(text) < gzipFrom {
		return text, ""
	}
	z := writers.Get().(*gzip.Writer)
	defer writers.Put(z)
	var b bytes.Buffer
	z.Reset(&b)
	if _, err := z.Write(text); err != nil {
		return text, ""
	}
	if err := z.Close(); err != nil {
		return text, ""
	}
	return b.Bytes(), "gzip"
}
