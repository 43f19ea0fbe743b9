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
	// startTimeout limits the wait until a process accepts its first release note and a request.
	startTimeout = 15 * time.Second
)

// loopbackSystem is an entry process with a platform stand-in and targets, which all listen on the
// loopback interface.
type loopbackSystem struct {
	queueURL string
	targets  []*httptest.Server
	closers  []func() // called in reverse order
}

// echo is the handler of a target that returns the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	_, _ = w.Write(body)
}

// startLoopbackSystem starts the platform stand-in, the targets and the entry process, and
// configures them. On an error it stops what it started.
func startLoopbackSystem(ctx context.Context) (system *loopbackSystem, err error) {
	system = &loopbackSystem{}
	defer func() {
		if err != nil {
			system.close()
		}
	}()
	platform := httptest.NewServer(&standin.Platform{})
	system.closers = append(system.closers, platform.Close)
	for range loopbackTargets {
		server := httptest.NewServer(http.HandlerFunc(echo))
		system.targets = append(system.targets, server)
		system.closers = append(system.closers, server.Close)
	}
	addresses, err := freeAddresses(3)
	if err != nil {
		return system, err
	}
	process, err := entry.New(entry.Settings{
		Member: "measure", Zone: "zone-a", Region: "default", Platform: platform.URL,
		CallerAddr: addresses[0], OperatorAddr: addresses[1], PeerAddr: addresses[2],
		OperatorCredential: loopbackCredential, PeerCredential: loopbackCredential,
		MaxStaleness: 3 * time.Second, ShutdownTimeout: 5 * time.Second, LogFormat: "text", LogLevel: "error",
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return system, eris.Wrap(err, "experiment: create entry process")
	}
	if err := process.Start(); err != nil {
		return system, eris.Wrap(err, "experiment: start entry process")
	}
	system.closers = append(system.closers, process.Close)
	system.queueURL = "http://" + addresses[0] + "/v1/queues/work"
	return system, system.configure(ctx, &operator.Client{URL: "http://" + addresses[1], Credential: loopbackCredential})
}

// configure applies the release note and waits until a request succeeds. It retries because a new
// member accepts release notes only after its registration.
func (s *loopbackSystem) configure(ctx context.Context, client *operator.Client) error {
	text, err := note.Encode(s.releaseNote())
	if err != nil {
		return eris.Wrap(err, "experiment: encode release note")
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if _, err = client.ApplyResolved(ctx, text); err == nil {
			if err = send(ctx, http.DefaultClient, s.queueURL, "probe"); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(err, "experiment: configure entry process")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// releaseNote returns the release note that adds one queue, one team and all targets.
func (s *loopbackSystem) releaseNote() fleet.ReleaseNote {
	release := fleet.ReleaseNote{ID: "measure-1"}
	release.Added.Pools = []fleet.Pool{{ID: "pool", MaxAbsent: 1}}
	release.Added.Queues = []fleet.Queue{{
		ID: "work", Pool: "pool", Idempotent: true, DefaultDeadline: 5_000, MaxDeadline: 30_000, MaxWaiting: 100,
	}}
	release.Added.Teams = []fleet.Team{{ID: "team", Share: fleet.FullShare, Limit: loopbackTargets * loopbackSlots}}
	release.Added.Keys = []fleet.Key{{Hash: fleet.HashKey(loopbackKey), Team: "team"}}
	for i, server := range s.targets {
		release.Added.Instances = append(release.Added.Instances, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprint("t", i)), Zone: "zone-a", Rack: "r1", Address: server.Listener.Addr().String(),
			Slots: loopbackSlots, Connections: 64, Pool: "pool",
		})
	}
	return release
}

// close stops everything that was started, the last first.
func (s *loopbackSystem) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// freeAddresses returns n loopback addresses with ports that were free when it checked. Another
// process can take one before it is used.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "experiment: listen")
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
