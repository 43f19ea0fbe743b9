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

// fault is a failure that is induced and ended while load runs.
type fault struct {
	name  string
	begin func(w *world)
	end   func(w *world)
}

var faults = []fault{
	{"none", func(*world) {}, func(*world) {}},
	{"member killed", func(w *world) { w.signal(w.members[1], syscall.SIGKILL) }, func(w *world) { w.restart(w.members[1]) }},
	{"member paused", func(w *world) { w.signal(w.members[2], syscall.SIGSTOP) }, func(w *world) { w.signal(w.members[2], syscall.SIGCONT) }},
	{"planned stop", func(w *world) { w.signal(w.members[3], syscall.SIGTERM) }, func(w *world) { w.restart(w.members[3]) }},
	{"store down", func(w *world) { w.faults(standin.Faults{Down: true}) }, func(w *world) { w.faults(standin.Faults{}) }},
	{"store slow", func(w *world) { w.faults(standin.Faults{DelayMS: 700}) }, func(w *world) { w.faults(standin.Faults{}) }},
	{"store loses answers", func(w *world) { w.faults(standin.Faults{Lose: true}) }, func(w *world) { w.faults(standin.Faults{}) }},
	{"zone cut from store", func(w *world) { w.faults(standin.Faults{CutZones: []string{"zone-b"}}) }, func(w *world) { w.faults(standin.Faults{}) }},
	{"target fails all", func(w *world) { w.targetFaults(0, standin.TargetFaults{FailAll: true}) }, func(w *world) { w.targetFaults(0, standin.TargetFaults{}) }},
	{"target goes silent", func(w *world) { w.targetFaults(2, standin.TargetFaults{Silent: true}) }, func(w *world) { w.targetFaults(2, standin.TargetFaults{}) }},
	{"target crosses answers", func(w *world) { w.targetFaults(3, standin.TargetFaults{Crossed: true}) }, func(w *world) { w.targetFaults(3, standin.TargetFaults{}) }},
	{"target cuts answers", func(w *world) { w.targetFaults(1, standin.TargetFaults{Truncate: true}) }, func(w *world) { w.targetFaults(1, standin.TargetFaults{}) }},
	{"target slow", func(w *world) { w.targetFaults(4, standin.TargetFaults{DelayMS: 2000}) }, func(w *world) { w.targetFaults(4, standin.TargetFaults{}) }},
}

const (
	faultTime   = 4 * time.Second
	recoverTime = 20 * time.Second
)

// Guards against requests lost, doubled or falsely refused, limits passed, withdrawn keys and
// leaving targets still used, under one failure at a time, then two together.
func TestFaults(t *testing.T) {
	w := newWorld(t)
	random := rand.New(rand.NewPCG(*seed, 0))
	t.Logf("seed %d", *seed)
	t.Logf("%-46s %6s %8s %7s %7s %4s %4s %7s %6s %9s %s", "fault", "tried", "answered", "refused", "unknown", "cut", "lost", "doubled", "false", "full (s)", "most running by team")
	for _, f := range faults {
		w.scenario(f)
	}
	for range 4 {
		a, b := faults[1+random.IntN(len(faults)-1)], faults[1+random.IntN(len(faults)-1)]
		if a.name == b.name {
			continue
		}
		w.scenario(a, b)
	}
}

func (w *world) scenario(fs ...fault) {
	name := fs[0].name
	if len(fs) > 1 {
		name += " + " + fs[1].name
	}
	before := len(w.runs())
	l := w.load(strings.NewReplacer(" ", "_", "+", "and").Replace(name))
	pause(2 * time.Second)
	baseline := l.served(time.Now().Add(-time.Second))
	must.Positive(w.t, baseline, must.Sprintf("%s: no request was served before the fault", name))
	for _, f := range fs {
		f.begin(w)
	}
	pause(faultTime)
	for _, f := range fs {
		f.end(w)
	}
	full := w.eventually(recoverTime, name+": full service", func() bool {
		return l.served(time.Now().Add(-time.Second)) >= baseline*7/10
	})
	all := l.finish()
	pause(500 * time.Millisecond) // runs that callers gave up on end
	runs := w.runs()
	if len(runs) < before {
		w.t.Fatalf("%s: targets forgot runs", name)
	}
	r := w.check(all, runs)
	w.t.Logf("%-46s %6d %8d %7d %7d %4d %4d %7d %6d %9.1f %v", name, r.tried, r.answered, r.refused, r.unknown, r.cut, r.lost, r.doubled, r.falselyRefused, full.Seconds(), r.mostRunning)
	if r.violations() > 0 {
		w.t.Errorf("%s: a rule was broken: %+v", name, r)
	}
}

// Guards against a planned stop that cuts a request, also one that outlasts the time in which
// the balancer stops sending.
func TestPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t)
	l := w.startLoad("stop", true)
	pause(time.Second)
	for i := range memberCount {
		w.signal(w.members[i], syscall.SIGTERM)
		<-w.members[i].done
		must.Eq(t, 0, w.members[i].cmd.ProcessState.ExitCode())
		w.run(w.members[i])
		w.eventually(10*time.Second, "member ready", func() bool { return w.ready(i) })
	}
	r := w.check(l.finish(), w.runs())
	t.Logf("%d members stopped one after the other: %+v", memberCount, r)
	must.Eq(t, 0, r.cut+r.unknown+r.violations())
}

// Guards against both of two racing operators succeeding, and against neither.
func TestRacingOperators(t *testing.T) {
	w := newWorld(t)
	var longest time.Duration // until a note was in force everywhere, after its acceptance
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
				w.eventually(10*time.Second, "answer to a racing note", func() bool {
					_, err = w.operator(i).Apply(context.Background(), text)
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
					t.Errorf("unexpected answer: %v", err)
				}
			})
		}
		wg.Wait()
		must.Eq(t, 1, accepted)
		must.Eq(t, memberCount-1, conflicts)
		longest = max(longest, w.eventually(2*time.Second, "note in force", func() bool { return w.inForce(2 + round) }))
	}
	t.Logf("10 notes were in force at %d members after at most %v", memberCount, longest.Round(time.Millisecond))
}

// Guards against a withdrawn key that works, or a leaving target that gets work, after the
// bound of 3 s, with and without a part of the members cut off from the store.
func TestWithdrawnKeyAndLeavingTarget(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("zone cut %v", cut), func(t *testing.T) {
			w := newWorld(t)
			l := w.load("withdraw")
			pause(time.Second)
			if cut {
				w.faults(standin.Faults{CutZones: []string{"zone-b"}})
			}
			w.apply(fleet.ReleaseNote{ID: "withdraw", Base: 1, Withdrawn: fleet.Refs{Keys: []fleet.KeyHash{fleet.HashKey(keys["gamma"])}}})
			w.withdrawn = time.Now()
			if !cut {
				must.NoError(t, w.post(platformURL+"/instances", rowstore.WireInstance{ID: fmt.Sprintf("t%d", targetCount), Zone: zoneOf(targetCount - 1), State: "leaving"}))
				w.left = time.Now()
			}
			pause((boundSeconds + 2) * time.Second)
			all, runs := l.finish(), w.runs()
			r := w.check(all, runs)
			t.Logf("last run with the withdrawn key after %v, last run on the leaving target after %v; %+v",
				last(runs, w.withdrawn, func(x targetRun) bool { return x.Team == "gamma" }),
				last(runs, w.left, func(x targetRun) bool { return x.target == targetCount-1 }), r)
			must.Eq(t, 0, r.violations())
		})
	}
}

// Guards against a key that works on a member that hears neither the store nor peers, for longer
// than the bound after its withdrawal, and against open queues that stop there.
func TestWithdrawnKeyOnCutOffMember(t *testing.T) {
	w := newWorld(t)
	// The credential of the last member, in zone-b, is another one, so it hears no peer.
	isolated := w.members[memberCount-1]
	w.signal(isolated, syscall.SIGTERM)
	<-isolated.done
	isolated.env = append(isolated.env, "CITRONKNOT_PEER_CREDENTIAL=another-credential")
	w.run(isolated)
	w.eventually(10*time.Second, "members ready", func() bool { return w.readyCount() == memberCount })
	l := w.load("isolated")
	pause(3 * time.Second)
	w.faults(standin.Faults{CutZones: []string{"zone-b"}})
	w.apply(fleet.ReleaseNote{ID: "withdraw", Base: 1, Withdrawn: fleet.Refs{Keys: []fleet.KeyHash{fleet.HashKey(keys["gamma"])}}})
	w.withdrawn = time.Now()
	pause((boundSeconds + 3) * time.Second)
	openServed := false
	client := &http.Client{Timeout: 6 * time.Second}
	for n := range 8 {
		a := l.send(client, attempt{key: fmt.Sprintf("isolated-open-%d", n), queue: "open"})
		openServed = openServed || a.status == http.StatusOK
	}
	all, runs := l.finish(), w.runs()
	r := w.check(all, runs)
	t.Logf("last run with the withdrawn key after %v; %+v", last(runs, w.withdrawn, func(x targetRun) bool { return x.Team == "gamma" }), r)
	must.Eq(t, 0, r.violations())
	must.True(t, openServed)
}

func last(runs []targetRun, since time.Time, which func(targetRun) bool) time.Duration {
	var most time.Duration
	if since.IsZero() {
		return most
	}
	for _, x := range runs {
		if d := time.UnixMilli(x.StartMS).Sub(since); which(x) && d > most {
			most = d
		}
	}
	return most
}
