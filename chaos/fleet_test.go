//go:build chaos

// Package chaos_test runs the programs of citronknot as separate processes, induces failures under
// load, and then compares the responses that callers received with the runs that targets recorded.
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
	credential         = "chaos-operator-credential"
	platformURL        = "http://127.0.0.1:21000"
	memberCount        = 4
	targetCount        = 8
	effectBoundSeconds = 3 // limit for the withdrawal of a key or a target to take effect
)

// teamLimits are the limits of the teams' running requests. Each team has four callers, so only
// alpha reaches its limit.
var teamLimits = map[fleet.TeamID]fleet.Slots{"alpha": 3, "beta": 12, "gamma": 12}

var teamKeys = map[fleet.TeamID]string{"alpha": "alpha-chaos-key", "beta": "beta-chaos-key", "gamma": "gamma-chaos-key"}

// process is a program that the test started; done is closed when it ends.
type process struct {
	name string
	args []string
	env  []string
	cmd  *exec.Cmd
	done chan struct{}
}

// cluster is the set of processes of a test: the platform, the targets and the members.
type cluster struct {
	t               *testing.T
	dir             string
	platform        *process
	targets         []*process
	members         []*process
	keyWithdrawnAt  time.Time // when the withdrawal of gamma's key was accepted
	targetLeavingAt time.Time // when the list showed target t8 as leaving
}

// newCluster starts all processes, waits until the members are ready and applies the initial
// release note. The processes are killed when the test ends.
func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	c.platform = c.startProcess("platformd", nil, "--listen", "127.0.0.1:21000")
	for i := range targetCount {
		c.targets = append(c.targets, c.startProcess("targetd", nil, "--listen", fmt.Sprintf("127.0.0.1:%d", 21101+i), "--slots", "8", "--work", "10ms"))
	}
	for i := range memberCount {
		c.members = append(c.members, c.startProcess("citronknotd", []string{
			"CITRONKNOT_OPERATOR_CREDENTIAL=" + credential, "CITRONKNOT_PEER_CREDENTIAL=chaos-peer-credential", "CITRONKNOT_PLATFORM=" + platformURL,
		}, "--member", fmt.Sprintf("m%d", i+1), "--zone", zoneForIndex(i),
			"--caller-listen", fmt.Sprintf("127.0.0.1:%d", 21201+i),
			"--operator-listen", fmt.Sprintf("127.0.0.1:%d", 21301+i),
			"--peer-listen", fmt.Sprintf("127.0.0.1:%d", 21401+i)))
	}
	t.Cleanup(c.close)
	c.waitUntil(10*time.Second, "members ready", func() bool { return c.readyCount() == memberCount })
	for i := range targetCount {
		must.NoError(t, c.post(platformURL+"/instances", rowstore.WireInstance{ID: fmt.Sprintf("t%d", i+1), Zone: zoneForIndex(i), State: "live"}))
	}
	c.apply(c.initialNote())
	c.waitUntil(10*time.Second, "note in force", func() bool { return c.inForce(1) })
	return c
}

// zoneForIndex returns the zone of the target or member with index i.
func zoneForIndex(i int) string { return []string{"zone-a", "zone-b"}[i%2] }

// initialNote returns the release note that configures the pools, queues, teams, keys and
// instances of the cluster.
func (c *cluster) initialNote() fleet.ReleaseNote {
	n := fleet.ReleaseNote{ID: "chaos-1", Added: fleet.Items{
		Pools: []fleet.Pool{{ID: "sorting", MaxAbsent: 1}, {ID: "records", MaxAbsent: 1}},
		Queues: []fleet.Queue{
			{ID: "sort", Pool: "sorting", Idempotent: true, DefaultDeadline: 4000, MaxDeadline: 10_000, MaxWaiting: 200},
			{ID: "dispatch", Pool: "records", DefaultDeadline: 4000, MaxDeadline: 10_000, MaxWaiting: 200},
			{ID: "open", Pool: "sorting", Open: true, Idempotent: true, DefaultDeadline: 4000, MaxDeadline: 10_000, MaxWaiting: 200},
		},
		Teams: []fleet.Team{{ID: "alpha", Share: 5000, Limit: teamLimits["alpha"]}, {ID: "beta", Share: 3000, Limit: teamLimits["beta"]}, {ID: "gamma", Share: 1000, Limit: teamLimits["gamma"]}},
	}}
	for team, key := range teamKeys {
		n.Added.Keys = append(n.Added.Keys, fleet.Key{Hash: fleet.HashKey(key), Team: team})
	}
	for i := range targetCount {
		n.Added.Instances = append(n.Added.Instances, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("t%d", i+1)), Zone: fleet.ZoneID(zoneForIndex(i)), Rack: fleet.RackID(fmt.Sprintf("r%d", i/2)),
			Address: fmt.Sprintf("127.0.0.1:%d", 21101+i), Slots: 8, Connections: 64, Pool: []fleet.PoolID{"sorting", "records"}[i/2%2],
		})
	}
	return n
}

func (c *cluster) startProcess(name string, env []string, args ...string) *process {
	p := &process{name: name, args: args, env: env}
	c.launch(p)
	return p
}

// launch starts the program of p and writes its standard error to a log file.
func (c *cluster) launch(p *process) {
	p.cmd = exec.Command(filepath.Join("..", "bin", p.name), p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	log, err := os.CreateTemp(c.dir, p.name+"-*.log")
	must.NoError(c.t, err)
	p.cmd.Stderr = log
	must.NoError(c.t, p.cmd.Start())
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(done)
	}()
}

func (c *cluster) signal(p *process, s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// restart waits until a process has ended and starts it again.
func (c *cluster) restart(p *process) {
	<-p.done
	c.launch(p)
}

// close kills all processes. A paused one is resumed first.
func (c *cluster) close() {
	all := append([]*process{c.platform}, c.targets...)
	for _, p := range append(all, c.members...) {
		c.signal(p, syscall.SIGCONT)
		c.signal(p, syscall.SIGKILL)
		<-p.done
	}
}

func (c *cluster) setPlatformFaults(f standin.Faults) {
	must.NoError(c.t, c.post(platformURL+"/faults", f))
}

func (c *cluster) setTargetFaults(i int, f standin.TargetFaults) {
	must.NoError(c.t, c.post(fmt.Sprintf("http://127.0.0.1:%d/faults", 21101+i), f))
}

func (c *cluster) post(url string, v any) error {
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

func (c *cluster) operator(i int) *operator.Client {
	return &operator.Client{URL: fmt.Sprintf("http://127.0.0.1:%d", 21301+i), Credential: credential}
}

// apply applies a release note and fails the test if it is not accepted within 10 s.
func (c *cluster) apply(n fleet.ReleaseNote) {
	text, err := note.Encode(n)
	must.NoError(c.t, err)
	// A new member accepts release notes once every member has acknowledged it.
	c.waitUntil(10*time.Second, "note accepted", func() bool {
		_, err = c.operator(0).Apply(context.Background(), text)
		return err == nil
	})
}

// configVersion returns the configuration version of member i, or -1 if it does not respond.
func (c *cluster) configVersion(i int) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var status struct {
		Version int `json:"version"`
	}
	text, err := c.operator(i).Get(ctx, "/v1/status")
	if err != nil || json.Unmarshal(text, &status) != nil {
		return -1
	}
	return status.Version
}

// inForce reports whether all members have configuration version v or a newer one.
func (c *cluster) inForce(v int) bool {
	for i := range c.members {
		if c.configVersion(i) < v {
			return false
		}
	}
	return true
}

func (c *cluster) ready(i int) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/readyz", 21301+i))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) readyCount() int {
	n := 0
	for i := range memberCount {
		if c.ready(i) {
			n++
		}
	}
	return n
}

// waitUntil waits until holds returns true, and returns how long that took. It fails the test
// after timeout.
func (c *cluster) waitUntil(timeout time.Duration, condition string, holds func() bool) time.Duration {
	begin := time.Now()
	for !holds() {
		if time.Since(begin) > timeout {
			c.t.Fatalf("%s: not within %v", condition, timeout)
		}
		sleepRealTime(50 * time.Millisecond)
	}
	return time.Since(begin)
}

// sleepRealTime waits in real time, because the processes under test use the real clock.
func sleepRealTime(d time.Duration) { <-time.After(d) }
