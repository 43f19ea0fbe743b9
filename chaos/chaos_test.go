//go:build chaos

package chaos_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
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

var seed = flag.Uint64("seed", 1, "seed of the order and the pairs of faults")

// fault is a failure that a test induces with begin and ends with end while load runs.
type fault struct {
	name  string
	begin func(c *cluster)
	end   func(c *cluster)
}

var faults = []fault{
	{"none", func(*cluster) {}, func(*cluster) {}},
	{"member killed", func(c *cluster) { c.signal(c.members[1], syscall.SIGKILL) }, func(c *cluster) { c.restart(c.members[1]) }},
	{"member paused", func(c *cluster) { c.signal(c.members[2], syscall.SIGSTOP) }, func(c *cluster) { c.signal(c.members[2], syscall.SIGCONT) }},
	{"planned stop", func(c *cluster) { c.signal(c.members[3], syscall.SIGTERM) }, func(c *cluster) { c.restart(c.members[3]) }},
	{"store down", func(c *cluster) { c.setPlatformFaults(standin.Faults{Down: true}) }, func(c *cluster) { c.setPlatformFaults(standin.Faults{}) }},
	{"store slow", func(c *cluster) { c.setPlatformFaults(standin.Faults{DelayMS: 700}) }, func(c *cluster) { c.setPlatformFaults(standin.Faults{}) }},
	{"store loses responses", func(c *cluster) { c.setPlatformFaults(standin.Faults{LoseResponses: true}) }, func(c *cluster) { c.setPlatformFaults(standin.Faults{}) }},
	{"zone cut from store", func(c *cluster) { c.setPlatformFaults(standin.Faults{PartitionedZones: []string{"zone-b"}}) }, func(c *cluster) { c.setPlatformFaults(standin.Faults{}) }},
	{"target fails all", func(c *cluster) { c.setTargetFaults(0, standin.TargetFaults{FailAll: true}) }, func(c *cluster) { c.setTargetFaults(0, standin.TargetFaults{}) }},
	{"target unresponsive", func(c *cluster) { c.setTargetFaults(2, standin.TargetFaults{Unresponsive: true}) }, func(c *cluster) { c.setTargetFaults(2, standin.TargetFaults{}) }},
	{"target swaps responses", func(c *cluster) { c.setTargetFaults(3, standin.TargetFaults{SwapResponses: true}) }, func(c *cluster) { c.setTargetFaults(3, standin.TargetFaults{}) }},
	{"target truncates", func(c *cluster) { c.setTargetFaults(1, standin.TargetFaults{Truncate: true}) }, func(c *cluster) { c.setTargetFaults(1, standin.TargetFaults{}) }},
	{"target slow", func(c *cluster) { c.setTargetFaults(4, standin.TargetFaults{DelayMS: 2000}) }, func(c *cluster) { c.setTargetFaults(4, standin.TargetFaults{}) }},
}

const (
	faultDuration = 4 * time.Second
	recoverTime   = 20 * time.Second // limit for the return to full service
)

// Guards against requests that are lost, run twice or refused although they ran, and against
// exceeded limits, under one failure at a time and then under two at once.
func TestFaults(t *testing.T) {
	c := newCluster(t)
	random := rand.New(rand.NewPCG(*seed, 0))
	t.Logf("seed %d", *seed)
	// The columns are the counts of scenarioResult: tried is attempted, answered is responded, cut
	// is broken, doubled is duplicated, and false is falselyRefused.
	t.Logf("%-46s %6s %8s %7s %7s %4s %4s %7s %6s %9s %s", "fault", "tried", "answered", "refused", "unknown", "cut", "lost", "doubled", "false", "recov (s)", "maximum running by team")
	for _, f := range faults {
		c.runScenario(f)
	}
	for range 4 {
		a, b := faults[1+random.IntN(len(faults)-1)], faults[1+random.IntN(len(faults)-1)]
		if a.name == b.name {
			continue
		}
		c.runScenario(a, b)
	}
}

// runScenario runs load, induces the faults for faultDuration and ends them, waits until the rate
// of served requests is back at 70% of that before, and checks the result.
func (c *cluster) runScenario(scenarioFaults ...fault) {
	name := scenarioFaults[0].name
	if len(scenarioFaults) > 1 {
		name += " + " + scenarioFaults[1].name
	}
	before := len(c.runs())
	l := c.load(strings.NewReplacer(" ", "_", "+", "and").Replace(name))
	sleepRealTime(2 * time.Second)
	baseline := l.countServed(time.Now().Add(-time.Second))
	must.Positive(c.t, baseline, must.Sprintf("%s: no request was served before the fault", name))
	for _, f := range scenarioFaults {
		f.begin(c)
	}
	sleepRealTime(faultDuration)
	for _, f := range scenarioFaults {
		f.end(c)
	}
	recovery := c.waitUntil(recoverTime, name+": full service", func() bool {
		return l.countServed(time.Now().Add(-time.Second)) >= baseline*7/10
	})
	all := l.finish()
	sleepRealTime(500 * time.Millisecond) // for the end of runs whose callers have timed out
	runs := c.runs()
	if len(runs) < before {
		c.t.Fatalf("%s: targets returned fewer runs than before the scenario", name)
	}
	r := c.check(all, runs)
	c.t.Logf("%-46s %6d %8d %7d %7d %4d %4d %7d %6d %9.1f %v", name, r.attempted, r.responded, r.refused, r.unknown, r.broken, r.lost, r.duplicated, r.falselyRefused, recovery.Seconds(), r.maxRunning)
	if r.violations() > 0 {
		c.t.Errorf("%s: the result has violations: %+v", name, r)
	}
}

// Guards against a planned stop that interrupts a request, even one that runs for longer than
// the balancer needs to stop sending requests to the member.
func TestPlannedStopKeepsRequests(t *testing.T) {
	c := newCluster(t)
	l := c.startLoad("stop", true)
	sleepRealTime(time.Second)
	for i := range memberCount {
		c.signal(c.members[i], syscall.SIGTERM)
		<-c.members[i].done
		must.Eq(t, 0, c.members[i].cmd.ProcessState.ExitCode())
		c.launch(c.members[i])
		c.waitUntil(10*time.Second, "member ready", func() bool { return c.ready(i) })
	}
	r := c.check(l.finish(), c.runs())
	t.Logf("%d members stopped one after the other: %+v", memberCount, r)
	must.Eq(t, 0, r.broken+r.unknown+r.violations())
}

// Guards against concurrent release notes with the same base version of which more than one is
// accepted, or none.
func TestRacingOperators(t *testing.T) {
	c := newCluster(t)
	var maxDelay time.Duration // from the acceptance of a note until it was in force at all members
	for round := range 10 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		accepted, conflicts := 0, 0
		for i := range memberCount {
			wg.Go(func() {
				n := fleet.ReleaseNote{ID: fleet.NoteID(fmt.Sprintf("race-%d-%d", round, i)), Base: fleet.Version(1 + round)}
				n.Added.Teams = []fleet.Team{{ID: fleet.TeamID(fmt.Sprintf("race-%d-%d", round, i)), Limit: 1}}
				text, err := note.Encode(n)
				must.NoError(t, err)
				var p *operator.Problem
				c.waitUntil(10*time.Second, "response to a concurrent note", func() bool {
					_, err = c.operator(i).Apply(context.Background(), text)
					// A new member accepts release notes once every member has acknowledged it.
					return !errors.As(err, &p) || p.Status != http.StatusServiceUnavailable
				})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					accepted++
				case errors.As(err, &p) && p.Status == http.StatusConflict:
					conflicts++
				default:
					t.Errorf("unexpected response: %v", err)
				}
			})
		}
		wg.Wait()
		must.Eq(t, 1, accepted)
		must.Eq(t, memberCount-1, conflicts)
		maxDelay = max(maxDelay, c.waitUntil(2*time.Second, "note in force", func() bool { return c.inForce(2 + round) }))
	}
	t.Logf("10 notes were in force at %d members after at most %v", memberCount, maxDelay.Round(time.Millisecond))
}

// Guards against a withdrawn key that works, or a leaving target that gets requests, more than
// 3 s after the change, with and without some of the members cut off from the store.
func TestWithdrawnKeyAndLeavingTarget(t *testing.T) {
	for _, zoneCut := range []bool{false, true} {
		t.Run(fmt.Sprintf("zone cut %v", zoneCut), func(t *testing.T) {
			c := newCluster(t)
			l := c.load("withdraw")
			sleepRealTime(time.Second)
			if zoneCut {
				c.setPlatformFaults(standin.Faults{PartitionedZones: []string{"zone-b"}})
			}
			c.apply(fleet.ReleaseNote{ID: "withdraw", Base: 1, Withdrawn: fleet.Refs{Keys: []fleet.KeyHash{fleet.HashKey(teamKeys["gamma"])}}})
			c.keyWithdrawnAt = time.Now()
			if !zoneCut {
				must.NoError(t, c.post(platformURL+"/instances", rowstore.WireInstance{ID: fmt.Sprintf("t%d", targetCount), Zone: zoneForIndex(targetCount - 1), State: "leaving"}))
				c.targetLeavingAt = time.Now()
			}
			sleepRealTime((effectBoundSeconds + 2) * time.Second)
			all, runs := l.finish(), c.runs()
			r := c.check(all, runs)
			t.Logf("last run with the withdrawn key after %v, last run on the leaving target after %v; %+v",
				latestAfter(runs, c.keyWithdrawnAt, func(x targetRun) bool { return x.Team == "gamma" }),
				latestAfter(runs, c.targetLeavingAt, func(x targetRun) bool { return x.target == targetCount-1 }), r)
			must.Eq(t, 0, r.violations())
		})
	}
}

// Guards against a member without connection to the store and to peers that accepts a key for
// longer than the bound after its withdrawal, or that refuses requests to open queues.
func TestWithdrawnKeyOnIsolatedMember(t *testing.T) {
	c := newCluster(t)
	// The last member, in zone-b, has another peer credential, so it receives nothing from peers.
	isolated := c.members[memberCount-1]
	c.signal(isolated, syscall.SIGTERM)
	<-isolated.done
	isolated.env = append(isolated.env, "CITRONKNOT_PEER_CREDENTIAL=another-credential")
	c.launch(isolated)
	c.waitUntil(10*time.Second, "members ready", func() bool { return c.readyCount() == memberCount })
	l := c.load("isolated")
	sleepRealTime(3 * time.Second)
	c.setPlatformFaults(standin.Faults{PartitionedZones: []string{"zone-b"}})
	c.apply(fleet.ReleaseNote{ID: "withdraw", Base: 1, Withdrawn: fleet.Refs{Keys: []fleet.KeyHash{fleet.HashKey(teamKeys["gamma"])}}})
	c.keyWithdrawnAt = time.Now()
	sleepRealTime((effectBoundSeconds + 3) * time.Second)
	openServed := false
	client := &http.Client{Timeout: 6 * time.Second}
	for n := range 8 {
		a := l.send(client, attempt{key: fmt.Sprintf("isolated-open-%d", n), queue: "open"})
		openServed = openServed || a.status == http.StatusOK
	}
	all, runs := l.finish(), c.runs()
	r := c.check(all, runs)
	t.Logf("last run with the withdrawn key after %v; %+v", latestAfter(runs, c.keyWithdrawnAt, func(x targetRun) bool { return x.Team == "gamma" }), r)
	must.Eq(t, 0, r.violations())
	must.True(t, openServed)
}

// latestAfter returns the largest time from since to the start of a run that matches, or 0 if
// since is zero or there is none.
func latestAfter(runs []targetRun, since time.Time, match func(targetRun) bool) time.Duration {
	var latest time.Duration
	if since.IsZero() {
		return latest
	}
	for _, x := range runs {
		if d := time.UnixMilli(x.StartMS).Sub(since); match(x) && d > latest {
			latest = d
		}
	}
	return latest
}
