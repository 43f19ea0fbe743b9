package job_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// rowLimit is the largest row of the store.
const rowLimit = 65536

// newProgress returns the progress of a new job, with empty maps as those that are decoded.
func newProgress() *job.Progress {
	return &job.Progress{
		Done: map[job.Position]bool{}, Failures: map[job.Position][]int{}, Crashes: map[job.Position][]job.Crash{}, Trials: map[job.Position]job.Trial{},
	}
}

// mustDecode stores progress within the limit of a row and reads it again.
func mustDecode(t *testing.T, p *job.Progress) (decoded *job.Progress, complete bool) {
	t.Helper()
	text, complete, err := p.EncodeWithin(rowLimit)
	must.NoError(t, err)
	must.LessEq(t, rowLimit, len(text))
	decoded, err = job.DecodeProgress(text)
	must.NoError(t, err)
	return decoded, complete
}

// mustKeep fails unless the stored form of p keeps everything.
func mustKeep(t *testing.T, p *job.Progress) {
	t.Helper()
	decoded, complete := mustDecode(t, p)
	must.True(t, complete)
	must.Eq(t, p.Done, decoded.Done)
	must.Eq(t, p.Complete, decoded.Complete)
	must.Eq(t, p.Failures, decoded.Failures)
	must.Eq(t, p.Crashes, decoded.Crashes)
	must.Eq(t, p.Trials, decoded.Trials)
}

// addCrash records the nth crash of a worker under the tasks of a step. Successive tasks differ in age by step, within
// spread.
func addCrash(p *job.Progress, tasks, n int, age clock.Millis, step, spread int) {
	for i := range tasks {
		p.AddCrash(job.Position{Index: i}, job.Crash{
			Run: 1000 + n, Worker: fleet.InstanceID(fmt.Sprintf("i-%08x", n)), Incarnation: 1_733_500_000_000 + clock.Millis(n),
			Age: age + clock.Millis(i*step%spread), Peers: 3,
		})
	}
}

// Guards against a job of many tasks that fails after one crash of a worker, or after a failure of each of its
// tasks, because its progress outgrows a row of the store.
func TestProgressOfWideJobsFitsInRow(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	crashed := newProgress()
	addCrash(crashed, 10_000, 1, 2000, 7, 900)
	for i := range 10_000 {
		crashed.SetTrial(job.Position{Index: i}, job.Trial{Run: 1002 + i%3, Worker: fleet.InstanceID(fmt.Sprintf("i-%08x", i%12)), Incarnation: 7})
	}
	mustKeep(t, crashed)

	failed := newProgress()
	for i := range 10_000 {
		failed.AddFailure(job.Position{Index: i}, 1001)
		if r.IntN(2) == 0 {
			failed.AddFailure(job.Position{Index: i}, 1002)
		} else {
			failed.MarkDone(job.Position{Index: i})
		}
	}
	mustKeep(t, failed)

	alternate := newProgress()
	for i := 0; i < 10_000; i += 2 {
		alternate.MarkDone(job.Position{Step: i % 64, Index: i / 64})
	}
	mustKeep(t, alternate)
}

// Guards against a timed job that fails because its occurrences end in another order than they begin.
func TestProgressOfManyOccurrencesFitsInRow(t *testing.T) {
	p := newProgress()
	for i := range job.MaxOccurrences {
		if i%2 == 0 {
			p.CompleteOccurrence(i)
			continue
		}
		p.MarkDone(job.Position{Occurrence: i, Index: 1})
	}
	mustKeep(t, p)
}

// Guards against a job that fails for the sake of its row after many crashes: what the row does not take is
// left out, the least telling crashes first.
func TestCrashesThatOutgrowTheRowAreReduced(t *testing.T) {
	for _, c := range []struct {
		crashes  int
		spread   int // of the ages
		complete bool
		kept     int // crashes of a task beside the one in which it was alone
	}{
		{crashes: 2, spread: 900, complete: true, kept: 2},
		{crashes: 8, spread: 900, kept: 8},  // rounded
		{crashes: 40, spread: 140, kept: 0}, // even rounded they are too many
	} {
		p := newProgress()
		for i := range c.crashes {
			addCrash(p, 3000, i, 0, 67, c.spread)
		}
		at := job.Position{Index: 17}
		alone := job.Crash{Run: 5000, Worker: "w", Incarnation: 3, Age: 60, Alone: true}
		p.AddCrash(at, alone)
		for i := 0; i < 3000; i += 2 {
			p.MarkDone(job.Position{Index: i})
		}
		decoded, complete := mustDecode(t, p)
		must.Eq(t, c.complete, complete)
		must.Eq(t, p.Done, decoded.Done)
		if complete {
			must.Eq(t, p.Crashes, decoded.Crashes)
		}
		kept := decoded.Crashes[at]
		must.Len(t, c.kept+1, kept)
		must.Eq(t, alone, kept[c.kept])
	}
}

// Guards against a member of the earlier version that takes done tasks and failures in the compact form for
// none, and starts the tasks again. It rejects the row instead, and reads those that hold few entries.
func TestCompactProgressIsRejectedByEarlierVersions(t *testing.T) {
	p := &job.Progress{}
	for i := 0; i < 4000; i += 2 {
		p.MarkDone(job.Position{Index: i})
	}
	text, err := p.Encode()
	must.NoError(t, err)
	must.StrContains(t, string(text), `"done":["compact"]`)

	few := &job.Progress{}
	few.MarkDone(job.Position{})
	few.AddFailure(job.Position{Index: 1}, 7)
	few.AddCrash(job.Position{Index: 1}, job.Crash{Run: 8, Worker: "w"})
	text, err = few.Encode()
	must.NoError(t, err)
	must.StrNotContains(t, string(text), "compact")
}

// Guards against a row that is damaged and stops its pool's owner, or takes its memory.
func TestDamagedCompactProgressIsRejected(t *testing.T) {
	for _, text := range []string{
		`{"done":["compact"]}`,
		`{"compact":{"steps":0,"tasks":4}}`,
		`{"compact":{"steps":1,"tasks":10001}}`,
		`{"compact":{"steps":1,"tasks":4,"done":"gA=="}}`,     // a varint that breaks off
		`{"compact":{"steps":1,"tasks":4,"done":"AAA="}}`,     // an empty range
		`{"compact":{"steps":1,"tasks":4,"done":"AP///38="}}`, // too many tasks
		`{"compact":{"steps":1,"tasks":4,"complete":"kE4B"}}`, // occurrence 10,000
		`{"compact":{"steps":1,"tasks":4,"crashes":[{"run":1,"worker":"w","tasks":"AAI=","ages":"AQA="}]}}`,
	} {
		_, err := job.DecodeProgress([]byte(text))
		var invalid *job.FieldError
		must.True(t, errors.As(err, &invalid), must.Sprint(text))
	}
}

// Guards against progress of which the compact form loses or changes something.
func TestCompactProgressRoundTrip(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 7))
		p := newProgress()
		for range r.IntN(2000) {
			at := job.Position{Occurrence: r.IntN(30), Step: r.IntN(3), Index: r.IntN(50)}
			run := 1 + r.IntN(4)
			switch r.IntN(20) {
			case 0:
				p.CompleteOccurrence(at.Occurrence)
			case 1, 2, 3, 4, 5:
				p.AddCrash(at, job.Crash{Run: run, Worker: "w", Age: clock.Millis(r.IntN(20_000) - 1), Alone: run == 4, Peers: run})
			case 6, 7, 8, 9:
				p.SetTrial(at, job.Trial{Run: run, Worker: "w", Incarnation: 5, Alone: run == 4})
			case 10, 11, 12, 13:
				if n := len(p.Failures[at]); n == 0 || p.Failures[at][n-1] < run {
					p.AddFailure(at, run)
				}
			default:
				p.MarkDone(at)
			}
		}
		text, err := p.Encode()
		must.NoError(t, err)
		decoded, err := job.DecodeProgress(text)
		must.NoError(t, err)
		must.Eq(t, p, decoded, must.Sprint("seed ", seed))
	}
}

// BenchmarkEncodeProgress measures what a commit spends on the progress of a job after one crash of a worker with all
// of its tasks: few are stored one by one, and many in the compact form.
func BenchmarkEncodeProgress(b *testing.B) {
	for _, tasks := range []int{100, 1000, 10_000} {
		p := newProgress()
		addCrash(p, tasks, 1, 2000, 7, 900)
		b.Run(fmt.Sprint(tasks, " tasks"), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				text, _, err := p.EncodeWithin(rowLimit)
				must.NoError(b, err)
				bytes = len(text)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}
