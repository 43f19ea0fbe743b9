package owner

import (
	"context"
	"fmt"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/rowstore"
)

// Route says how a job was sent to the pool. The zero value stands for a member of an earlier version, which
// does not say.
type Route struct {
	Queue   fleet.QueueAddress
	Version fleet.Version // of the configuration that sends the queue's jobs to this pool
}

// submission is a job that is not durable yet.
type submission struct {
	job        *job.Job
	permit     *rowstore.QueuePermit // nil if its route is not known
	encoded    []byte
	arrivedAt  clock.Millis  // at the first member that took the call, on the owner's clock
	committing bool          // part of a commit, so it can no longer be refused
	done       chan struct{} // closed once the outcome is decided
	err        error         // nil if the job is durable; valid after done is closed
}

func (s *submission) succeed() { close(s.done) }

func (s *submission) fail(err error) {
	s.err = err
	close(s.done)
}

// RefusedError reports that a call had no effect and will have none.
type RefusedError struct {
	Reason     string
	Final      bool         // another attempt would be refused as well
	RetryAfter clock.Millis // when the caller should retry
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("owner: refused: %s; retry after %d ms", e.Reason, e.RetryAfter)
}

// UnknownError reports a call whose outcome is unknown: it may have taken effect, or may yet.
type UnknownError struct {
	Err error
}

func (e *UnknownError) Error() string { return fmt.Sprintf("owner: outcome unknown: %v", e.Err) }

func (e *UnknownError) Unwrap() error { return e.Err }

// Limits of what waits for the store, and the retry times of calls that are refused.
const (
	maxSubmissions     = 2000               // submissions that no commit contains yet
	commitStallLimit   = clock.Millis(700)  // a commit that takes longer means that the store is unavailable
	retryAfterStall    = clock.Millis(1000) // shortest retry time while the store is unavailable
	maxRetryAfterStall = clock.Millis(4000) // longest retry time while the store is unavailable
	retryAfterNoOwner  = clock.Millis(500)  // while the pool changes its owner
)

// Submit makes a job durable and adds it to the pool. waited is how long the call has been in the system; the
// job's objective counts from its arrival there. Submit also returns nil if the job was accepted
// before, by this pool or a former one of its queue. Otherwise it fails with *RefusedError, or with *UnknownError if the job may still be
// accepted; no other code decides between the two. An error of another type means that the job
// could not be encoded.
func (o *Owner) Submit(ctx context.Context, j *job.Job, route Route, waited clock.Millis) error {
	if accepted, err := o.precheck(j.ID); accepted || err != nil {
		return err
	}
	permit, err := o.acquireQueue(ctx, route)
	if err != nil {
		return err
	}
	elsewhere, err := o.inFormerPool(ctx, permit, j.ID)
	if elsewhere || err != nil {
		return err
	}
	s, err := o.enqueue(j, permit, waited)
	if s == nil || err != nil {
		return err
	}
	wake(o.commitWake)
	select {
	case <-s.done:
	case <-ctx.Done():
		if o.withdraw(s) {
			return &RefusedError{Reason: "the store did not take the job before the deadline", RetryAfter: retryAfterStall}
		}
		return &UnknownError{Err: ctx.Err()}
	}
	if s.err == nil {
		return nil
	}
	if !s.committing {
		return &RefusedError{Reason: s.err.Error(), RetryAfter: retryAfterNoOwner}
	}
	return &UnknownError{Err: s.err}
}

// precheck decides what needs no call to the store: it reports whether the pool has a job, and fails with
// *RefusedError if a submission can't succeed now.
func (o *Owner) precheck(id job.ID) (accepted bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !o.loaded || o.stopped:
		return false, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryAfterNoOwner}
	case o.pool.Job(id) != nil || o.unreadable[id]:
		return true, nil
	case o.submissions[id] != nil:
		return false, nil // waits for the outcome
	}
	return false, o.refuseWhileStalled()
}

// refuseWhileStalled returns a *RefusedError if the store has not answered a commit for long, or nil. The
// retry time grows with the age of the outage: an outage that has lasted long is likely to go on, and the
// caller has only a few retries left. The caller holds o.mu.
func (o *Owner) refuseWhileStalled() error {
	stalledFor := o.Clock.Now() - o.commitStarted
	if o.commitStarted == 0 || stalledFor <= commitStallLimit {
		return nil
	}
	o.Metrics.Refusals.WithLabelValues("store_stalled").Inc()
	return &RefusedError{
		Reason: fmt.Sprintf("the store has not answered for %d ms", stalledFor), Final: true, RetryAfter: min(maxRetryAfterStall, max(retryAfterStall, stalledFor)),
	}
}

// enqueue queues a job for the next commit. It returns the submission to wait for, or nil if the
// job is already accepted.
func (o *Owner) enqueue(j *job.Job, permit *rowstore.QueuePermit, waited clock.Millis) (*submission, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !o.loaded || o.stopped:
		return nil, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryAfterNoOwner}
	case o.pool.Job(j.ID) != nil || o.unreadable[j.ID]:
		return nil, nil
	case o.submissions[j.ID] != nil:
		return o.submissions[j.ID], nil
	case len(o.uncommitted) >= maxSubmissions:
		o.Metrics.Refusals.WithLabelValues("too_many_waiting").Inc()
		return nil, &RefusedError{Reason: "too many jobs wait for the store", Final: true, RetryAfter: retryAfterStall}
	}
	if err := o.refuseWhileStalled(); err != nil {
		return nil, err
	}
	if j.Policy == nil && !o.setPolicy(j) {
		return nil, &RefusedError{Reason: "the owner has not read the configuration of the queue", RetryAfter: retryAfterNoOwner}
	}
	if r := o.pool.Refuse(j, *j.Policy, o.Clock.Now()); r.Refused {
		o.recordRefusal(j, &r)
		return nil, &RefusedError{Reason: "the pool can't run the job in time", Final: true, RetryAfter: r.RetryAfter}
	}
	arrivedAt := o.Clock.Now() - waited
	j.Accepted = o.Clock.Wall() - waited
	encoded, err := j.Encode()
	if err != nil {
		return nil, err
	}
	o.pool.Expect(j, *j.Policy, waited, o.Clock.Now())
	s := &submission{job: j, permit: permit, encoded: encoded, arrivedAt: arrivedAt, done: make(chan struct{})}
	o.submissions[j.ID] = s
	o.uncommitted = append(o.uncommitted, s)
	return s, nil
}

// withdraw removes a submission that no commit contains yet, and reports whether it did.
func (o *Owner) withdraw(s *submission) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.committing || o.submissions[s.job.ID] != s {
		return false
	}
	delete(o.submissions, s.job.ID)
	o.pool.Unexpect(s.job.ID)
	for i, other := range o.uncommitted {
		if other == s {
			o.uncommitted = append(o.uncommitted[:i], o.uncommitted[i+1:]...)
			break
		}
	}
	if !o.stopped { // otherwise shutDown has failed it
		s.fail(errStopped)
	}
	return true
}

// Cancel ends a job and returns once its final state is durable. found is false if there is no
// such job. Cancel fails with *RefusedError if it had no effect, and with *UnknownError if its
// outcome is unknown.
func (o *Owner) Cancel(ctx context.Context, id job.ID) (found bool, err error) {
	o.mu.Lock()
	if !o.loaded || o.stopped {
		o.mu.Unlock()
		return false, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryAfterNoOwner}
	}
	if o.unreadable[id] {
		o.mu.Unlock()
		return false, errUnreadable(id)
	}
	if pending := o.submissions[id]; pending != nil {
		o.mu.Unlock()
		select {
		case <-pending.done:
		case <-ctx.Done():
			return false, &UnknownError{Err: ctx.Err()}
		}
		if pending.err != nil && pending.committing { // the job may have been accepted
			return false, &UnknownError{Err: pending.err}
		}
		o.mu.Lock()
	}
	if !o.pool.Cancel(id, o.Clock.Now()) {
		o.mu.Unlock()
		return false, o.confirmOwnership(ctx)
	}
	wake(o.planWake)
	wake(o.commitWake)
	for !o.pool.Job(id).State().Final() {
		committed := o.committed
		stopped := o.stopped
		o.mu.Unlock()
		if stopped {
			return false, &UnknownError{Err: errStopped}
		}
		select {
		case <-committed:
		case <-ctx.Done():
			return false, &UnknownError{Err: ctx.Err()}
		}
		o.mu.Lock()
		if o.pool.Job(id) == nil {
			break
		}
	}
	o.mu.Unlock()
	return true, nil
}

// confirmOwnership confirms that this member still holds the owner lease, if need be by waiting
// for a commit. Without that, a job that the pool does not contain may exist at another owner. It
// fails with *RefusedError if the lease can't be confirmed.
func (o *Owner) confirmOwnership(ctx context.Context) error {
	if o.Lease.Exclusive() {
		return nil
	}
	wake(o.commitWake)
	o.mu.Lock()
	committed := o.committed
	o.mu.Unlock()
	select {
	case <-committed:
	case <-ctx.Done():
	}
	if o.Lease.Exclusive() {
		return nil
	}
	return &RefusedError{Reason: "the owner can't confirm its tenure", RetryAfter: retryAfterNoOwner}
}

// JobStatus is the durable state of a job, and why it has failed if it has.
type JobStatus struct {
	State job.State
	Cause string
}

// Status returns the durable state of a job. found is false if there is no such job. Status fails
// with *RefusedError if the pool is not loaded, the owner has stopped, or the job is not found and
// the owner lease can't be confirmed.
func (o *Owner) Status(ctx context.Context, id job.ID) (status JobStatus, found bool, err error) {
	o.mu.Lock()
	if !o.loaded || o.stopped {
		o.mu.Unlock()
		return JobStatus{}, false, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryAfterNoOwner}
	}
	if j := o.pool.Job(id); j != nil {
		status.State = j.State()
		if status.State == job.Failed {
			status.Cause = j.Cause()
		}
		o.mu.Unlock()
		return status, true, nil
	}
	if o.unreadable[id] {
		o.mu.Unlock()
		return JobStatus{}, false, errUnreadable(id)
	}
	o.mu.Unlock()
	return JobStatus{}, false, o.confirmOwnership(ctx)
}
