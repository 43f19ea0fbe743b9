package experiment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/entry"
	"citronknot/fleet"
	"citronknot/fleet/target"
	"citronknot/note"
	"citronknot/operator"
	"citronknot/standin"
)

const (
	loopbackKey        = "measure-key"
	loopbackCredential = "measure-credential"
	loopbackTargets    = 4
	loopbackSlots      = 16
	// startBound bounds the wait until a process accepts its first release note and requests.
	startBound = 15 * time.Second
)

// system is an entry process with a platform and targets, all with listeners on loopback.
type system struct {
	url     string // of the queue
	targets []*httptest.Server
	stop    []func()
}

// echo is a target that answers with the request's body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	_, _ = w.Write(body)
}

func startSystem(ctx context.Context) (s *system, err error) {
	s = &system{}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	platform := httptest.NewServer(&standin.Platform{})
	s.stop = append(s.stop, platform.Close)
	for range loopbackTargets {
		t := httptest.NewServer(http.HandlerFunc(echo))
		s.targets = append(s.targets, t)
		s.stop = append(s.stop, t.Close)
	}
	addresses, err := freeAddresses(3)
	if err != nil {
		return s, err
	}
	p, err := entry.New(entry.Settings{
		Member: "measure", Zone: "zone-a", Region: "default", Platform: platform.URL,
		CallerAddr: addresses[0], OperatorAddr: addresses[1], PeerAddr: addresses[2],
		Credential: loopbackCredential, PeerCredential: loopbackCredential,
		Staleness: 3 * time.Second, ShutdownBound: 5 * time.Second, LogFormat: "text", LogLevel: "error",
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return s, eris.Wrap(err, "experiment: process")
	}
	if err := p.Start(); err != nil {
		return s, eris.Wrap(err, "experiment: start")
	}
	s.stop = append(s.stop, p.Close)
	s.url = "http://" + addresses[0] + "/v1/queues/work"
	return s, s.configure(ctx, &operator.Client{URL: "http://" + addresses[1], Credential: loopbackCredential})
}

// configure applies the release note and waits until requests are answered. A new member
// accepts notes only once it is registered.
func (s *system) configure(ctx context.Context, c *operator.Client) error {
	text, err := note.Encode(s.note())
	if err != nil {
		return eris.Wrap(err, "experiment: note")
	}
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	for {
		if _, err = c.ApplyResolved(ctx, text); err == nil {
			if err = send(ctx, http.DefaultClient, s.url, "probe"); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(err, "experiment: configure")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (s *system) note() fleet.ReleaseNote {
	n := fleet.ReleaseNote{ID: "measure-1"}
	n.Added.Pools = []fleet.Pool{{ID: "pool", MaxAbsent: 1}}
	n.Added.Queues = []fleet.Queue{{
		ID: "work", Pool: "pool", Idempotent: true, DefaultDeadline: 5_000, MaxDeadline: 30_000, MaxWaiting: 100,
	}}
	n.Added.Teams = []fleet.Team{{ID: "team", Share: fleet.FullShare, Limit: loopbackTargets * loopbackSlots}}
	n.Added.Keys = []fleet.Key{{Hash: fleet.HashKey(loopbackKey), Team: "team"}}
	for i, t := range s.targets {
		n.Added.Instances = append(n.Added.Instances, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprint("t", i)), Zone: "zone-a", Rack: "r1", Address: t.Listener.Addr().String(),
			Slots: loopbackSlots, Connections: 64, Pool: "pool",
		})
	}
	return n
}

func (s *system) close() {
	for i := len(s.stop) - 1; i >= 0; i-- {
		s.stop[i]()
	}
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "experiment: listen")
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}
