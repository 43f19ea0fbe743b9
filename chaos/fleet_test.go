//go:build chaos

// Package chaos_test runs the real processes under failures and checks afterwards what callers
// and targets saw.
package chaos_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/note"
	"citronknot/operator"
	"citronknot/rowstore"
	"citronknot/standin"
)

const (
	credential   = "chaos-operator-credential"
	platformURL  = "http://127.0.0.1:21000"
	memberCount  = 4
	targetCount  = 8
	boundSeconds = 3 // of withdrawn keys and of leaving targets
)

// limits are the upper limits of the teams. Each team has four callers, so alpha's limit binds.
var limits = map[fleet.TeamID]fleet.Slots{"alpha": 3, "beta": 12, "gamma": 12}

var keys = map[fleet.TeamID]string{"alpha": "alpha-chaos-key", "beta": "beta-chaos-key", "gamma": "gamma-chaos-key"}

// process is one program that the run started.
type process struct {
	name string
	args []string
	env  []string
	cmd  *exec.Cmd
	done chan struct{}
}

// world is the set of processes of a run.
type world struct {
	t         *testing.T
	dir       string
	platform  *process
	targets   []*process
	members   []*process
	withdrawn time.Time // when the withdrawal of gamma's key was accepted
	left      time.Time // when the list showed target t8 as leaving
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, dir: t.TempDir()}
	w.platform = w.start("platformd", nil, "--listen", "127.0.0.1:21000")
	for i := range targetCount {
		w.targets = append(w.targets, w.start("targetd", nil, "--listen", fmt.Sprintf("127.0.0.1:%d", 21101+i), "--slots", "8", "--work", "10ms"))
	}
	for i := range memberCount {
		w.members = append(w.members, w.start("citronknotd", []string{
			"CITRONKNOT_OPERATOR_CREDENTIAL=" + credential, "CITRONKNOT_PEER_CREDENTIAL=chaos-peer-credential", "CITRONKNOT_PLATFORM=" + platformURL,
		}, "--member", fmt.Sprintf("m%d", i+1), "--zone", zoneOf(i),
			"--caller-listen", fmt.Sprintf("127.0.0.1:%d", 21201+i),
			"--operator-listen", fmt.Sprintf("127.0.0.1:%d", 21301+i),
			"--peer-listen", fmt.Sprintf("127.0.0.1:%d", 21401+i)))
	}
	t.Cleanup(w.close)
	w.eventually(10*time.Second, "members ready", func() bool { return w.readyCount() == memberCount })
	for i := range targetCount {
		must.NoError(t, w.post(platformURL+"/instances", rowstore.WireInstance{ID: fmt.Sprintf("t%d", i+1), Zone: zoneOf(i), State: "live"}))
	}
	w.apply(w.firstNote())
	w.eventually(10*time.Second, "note in force", func() bool { return w.inForce(1) })
	return w
}

func zoneOf(i int) string { return []string{"zone-a", "zone-b"}[i%2] }

func (w *world) firstNote() fleet.ReleaseNote {
	n := fleet.ReleaseNote{ID: "chaos-1", Added: fleet.Items{
		Pools: []fleet.Pool{{ID: "sorting", MaxAbsent: 1}, {ID: "records", MaxAbsent: 1}},
		Queues: []fleet.Queue{
			{ID: "sort", Pool: "sorting", Idempotent: true, DefaultDeadline: 4000, MaxDeadline: 10_000, MaxWaiting: 200},
			{ID: "dispatch", Pool: "records", DefaultDeadline: 4000, MaxDeadline: 10_000, MaxWaiting: 200},
			{ID: "open", Pool: "sorting", Open: true, Idempotent: true, DefaultDeadline: 4000, MaxDeadline: 10_000, MaxWaiting: 200},
		},
		Teams: []fleet.Team{{ID: "alpha", Share: 5000, Limit: limits["alpha"]}, {ID: "beta", Share: 3000, Limit: limits["beta"]}, {ID: "gamma", Share: 1000, Limit: limits["gamma"]}},
	}}
	for team, key := range keys {
		n.Added.Keys = append(n.Added.Keys, fleet.Key{Hash: fleet.HashKey(key), Team: team})
	}
	for i := range targetCount {
		n.Added.Instances = append(n.Added.Instances, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("t%d", i+1)), Zone: fleet.ZoneID(zoneOf(i)), Rack: fleet.RackID(fmt.Sprintf("r%d", i/2)),
			Address: fmt.Sprintf("127.0.0.1:%d", 21101+i), Slots: 8, Connections: 64, Pool: []fleet.PoolID{"sorting", "records"}[i/2%2],
		})
	}
	return n
}

func (w *world) start(name string, env []string, args ...string) *process {
	p := &process{name: name, args: args, env: env}
	w.run(p)
	return p
}

func (w *world) run(p *process) {
	p.cmd = exec.Command(filepath.Join("..", "bin", p.name), p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	log, err := os.CreateTemp(w.dir, p.name+"-*.log")
	must.NoError(w.t, err)
	p.cmd.Stderr = log
	must.NoError(w.t, p.cmd.Start())
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(done)
	}()
}

func (w *world) signal(p *process, s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// restart starts a process again after it ended.
func (w *world) restart(p *process) {
	<-p.done
	w.run(p)
}

func (w *world) close() {
	all := append([]*process{w.platform}, w.targets...)
	for _, p := range append(all, w.members...) {
		w.signal(p, syscall.SIGCONT)
		w.signal(p, syscall.SIGKILL)
		<-p.done
	}
}

func (w *world) faults(f standin.Faults) { must.NoError(w.t, w.post(platformURL+"/faults", f)) }

func (w *world) targetFaults(i int, f standin.TargetFaults) {
	must.NoError(w.t, w.post(fmt.Sprintf("http://127.0.0.1:%d/faults", 21101+i), f))
}

func (w *world) post(url string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (w *world) operator(i int) *operator.Client {
	return &operator.Client{URL: fmt.Sprintf("http://127.0.0.1:%d", 21301+i), Credential: credential}
}

func (w *world) apply(n fleet.ReleaseNote) {
	text, err := note.Encode(n)
	must.NoError(w.t, err)
	// A new member accepts release notes once every member has acknowledged it.
	w.eventually(10*time.Second, "note accepted", func() bool {
		_, err = w.operator(0).Apply(context.Background(), text)
		return err == nil
	})
}

func (w *world) version(i int) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var status struct {
		Version int `json:"version"`
	}
	text, err := w.operator(i).Get(ctx, "/v1/status")
	if err != nil || json.Unmarshal(text, &status) != nil {
		return -1
	}
	return status.Version
}

func (w *world) inForce(v int) bool {
	for i := range w.members {
		if w.version(i) < v {
			return false
		}
	}
	return true
}

func (w *world) ready(i int) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/readyz", 21301+i))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) readyCount() int {
	n := 0
	for i := range memberCount {
		if w.ready(i) {
			n++
		}
	}
	return n
}

func (w *world) eventually(limit time.Duration, what string, ok func() bool) time.Duration {
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > limit {
			w.t.Fatalf("%s: not within %v", what, limit)
		}
		pause(50 * time.Millisecond)
	}
	return time.Since(begin)
}

// pause waits in real time: the processes under test have real clocks.
func pause(d time.Duration) { <-time.After(d) }
