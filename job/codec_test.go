package job_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/job"
)

// Guards against crashes and trials that are lost when the progress of a job is stored.
func TestProgressKeepsCrashes(t *testing.T) {
	at := job.Position{Occurrence: 1, Step: 2, Index: 3}
	var p job.Progress
	p.AddFailure(at, 4)
	p.AddCrash(at, job.Crash{Run: 5, Worker: "w1", Incarnation: 99, Age: 12, Alone: true, Peers: 3})
	p.AddCrash(at, job.Crash{Run: 6, Worker: "w2", Age: -1})
	must.Len(t, 2, p.AddCrash(at, job.Crash{Run: 5, Worker: "w1"}), must.Sprint("a run counts once"))
	p.SetTrial(at, job.Trial{Run: 7, Worker: "w3", Incarnation: clock.Millis(99), Alone: true})
	text, err := p.Encode()
	must.NoError(t, err)
	decoded, err := job.DecodeProgress(text)
	must.NoError(t, err)
	must.Eq(t, p.Crashes, decoded.Crashes)
	must.Eq(t, p.Trials, decoded.Trials)
	must.Eq(t, p.Failures, decoded.Failures)
	clone := p.Clone()
	clone.AddCrash(at, job.Crash{Run: 8})
	must.False(t, clone.EndTrial(at, 6), must.Sprint("the trial is of run 7"))
	must.True(t, clone.EndTrial(at, 7))
	must.Len(t, 2, p.Crashes[at])
	must.MapLen(t, 1, p.Trials)
}

// Guards against a cause of a failure that is lost with the owner that decided it.
func TestFinalStateKeepsItsCause(t *testing.T) {
	p := job.Progress{State: job.Failed, Cause: "a task failed", Finished: 7}
	text, err := p.Encode()
	must.NoError(t, err)
	decoded, err := job.DecodeProgress(text)
	must.NoError(t, err)
	must.Eq(t, p.Cause, decoded.Cause)
}

// Guards against a policy that is lost when its job is stored or sent to another member, and against callers
// who set the policy of their jobs themselves.
func TestJobIsStoredWithItsPolicy(t *testing.T) {
	accepted := &job.Job{ID: "00000000000000aa", Queue: "q", Steps: []job.Step{{Count: 1}}}
	for _, policy := range []*job.Policy{nil, {}, {Priority: 2, Attempts: 4, Stretch: 1.5, Slack: 700, Advised: true}} {
		accepted.Policy = policy
		text, err := accepted.Encode()
		must.NoError(t, err)
		decoded, err := job.Decode(text)
		must.NoError(t, err)
		must.Eq(t, policy, decoded.Policy)
		_, err = job.DecodeSubmission(text, accepted.ID, accepted.Queue, "")
		var invalid *job.FieldError
		must.Eq(t, policy != nil, errors.As(err, &invalid))
	}
}
