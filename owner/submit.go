package owner

import (
	"context"
	"fmt"

	"citronknot/clock"
	"citronknot/job"
)

// submission is a job that is not durable yet.
type submission struct {
	job  *job.Job
	text []byte
	sent bool // in a commit: it can no longer be refused
	done chan struct{}
	err  error
}

func (s *submission) finish() { close(s.done) }

func (s *submission) fail(err error) {
	s.err = err
	close(s.done)
}

// RefusedError says that a job was not accepted and never will be by this submission.
type RefusedError struct {
	Reason     string
	Final      bool // another try would be refused as well
	RetryAfter clock.Millis
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("owner: refused: %s; retry after %d ms", e.Reason, e.RetryAfter)
}

// UnknownError says that it is not known whether a call took effect.
type UnknownError struct {
	Err error
}

func (e *UnknownError) Error() string { return fmt.Sprintf("owner: outcome unknown: %v", e.Err) }

func (e *UnknownError) Unwrap() error { return e.Err }

// Bounds of what waits for the store, and the answers to what can't.
const (
	maxWaiting       = 2000              // submissions that wait for a commit
	storeStalled     = clock.Millis(700) // a commit that takes longer shows that the store does not serve
	retryStalled     = clock.Millis(1000)
	retryStalledMost = clock.Millis(4000)
	retryNoOwner     = clock.Millis(500)
)

// Submit makes a job durable and takes it into the pool. It returns nil also if the job was
// accepted before. Otherwise it fails with *RefusedError, or with *UnknownError if the job may
// be accepted yet. It is the one place that decides between the two.
func (o *Owner) Submit(ctx context.Context, j *job.Job) error {
	s, err := o.enqueue(j)
	if s == nil || err != nil {
		return err
	}
	wake(o.save)
	select {
	case <-s.done:
	case <-ctx.Done():
		if o.withdraw(s) {
			return &RefusedError{Reason: "the store did not take the job before the deadline", RetryAfter: retryStalled}
		}
		return &UnknownError{Err: ctx.Err()}
	}
	if s.err == nil {
		return nil
	}
	if !s.sent {
		return &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryNoOwner}
	}
	return &UnknownError{Err: s.err}
}

// enqueue returns the submission to wait for, or nil if the job is accepted already.
func (o *Owner) enqueue(j *job.Job) (*submission, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !o.loaded || o.stopped:
		return nil, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryNoOwner}
	case o.pool.Job(j.ID) != nil:
		return nil, nil
	case o.inbox[j.ID] != nil:
		return o.inbox[j.ID], nil
	case o.commitFrom != 0 && o.Clock.Now()-o.commitFrom > storeStalled:
		// An outage that has lasted for long will rather last on: few retries are left to a caller.
		age := o.Clock.Now() - o.commitFrom
		return nil, &RefusedError{
			Reason: fmt.Sprintf("the store has not answered for %d ms", age), Final: true, RetryAfter: min(retryStalledMost, max(retryStalled, age)),
		}
	case len(o.queue) >= maxWaiting:
		return nil, &RefusedError{Reason: "too many jobs wait for the store", Final: true, RetryAfter: retryStalled}
	}
	if after, ok := o.pool.Refuse(j, o.Clock.Now()); ok {
		return nil, &RefusedError{Reason: "the pool can't run the job in time", Final: true, RetryAfter: after}
	}
	j.Accepted = o.Clock.Wall()
	text, err := j.Encode()
	if err != nil {
		return nil, err
	}
	s := &submission{job: j, text: text, done: make(chan struct{})}
	o.inbox[j.ID] = s
	o.queue = append(o.queue, s)
	return s, nil
}

// withdraw takes a submission back that is in no commit yet.
func (o *Owner) withdraw(s *submission) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.sent || o.inbox[s.job.ID] != s {
		return false
	}
	delete(o.inbox, s.job.ID)
	for i, q := range o.queue {
		if q == s {
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			break
		}
	}
	s.fail(errStopped)
	return true
}

// Cancel ends a job and returns when that is durable. found is false if there is no such job.
func (o *Owner) Cancel(ctx context.Context, id job.ID) (found bool, err error) {
	o.mu.Lock()
	if !o.loaded || o.stopped {
		o.mu.Unlock()
		return false, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryNoOwner}
	}
	if pending := o.inbox[id]; pending != nil {
		o.mu.Unlock()
		select {
		case <-pending.done:
		case <-ctx.Done():
			return false, &UnknownError{Err: ctx.Err()}
		}
		o.mu.Lock()
	}
	if !o.pool.Cancel(id, o.Clock.Now()) {
		o.mu.Unlock()
		return false, o.certain(ctx)
	}
	wake(o.plan)
	wake(o.save)
	for !o.pool.Job(id).State().Final() {
		saved := o.saved
		stopped := o.stopped
		o.mu.Unlock()
		if stopped {
			return false, &UnknownError{Err: errStopped}
		}
		select {
		case <-saved:
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

// certain confirms that this member still owns the pool, so that what it does not know does
// not exist.
func (o *Owner) certain(ctx context.Context) error {
	if o.Tenure.Certain() {
		return nil
	}
	wake(o.save)
	o.mu.Lock()
	saved := o.saved
	o.mu.Unlock()
	select {
	case <-saved:
	case <-ctx.Done():
	}
	if o.Tenure.Certain() {
		return nil
	}
	return &RefusedError{Reason: "the owner can't confirm its tenure", RetryAfter: retryNoOwner}
}

// State returns what callers are told of a job. found is false if there is no such job.
func (o *Owner) State(ctx context.Context, id job.ID) (state job.State, found bool, err error) {
	o.mu.Lock()
	if !o.loaded || o.stopped {
		o.mu.Unlock()
		return "", false, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryNoOwner}
	}
	if j := o.pool.Job(id); j != nil {
		state = j.State()
		o.mu.Unlock()
		return state, true, nil
	}
	o.mu.Unlock()
	return "", false, o.certain(ctx)
}
