package owner

import (
	"context"
	"errors"
	"slices"

	"citronknot/job"
	"citronknot/rowstore"
)

// acquireQueue returns the permit to accept jobs of a queue, which is nil if the route is not known. Only the
// first submission of a queue to this owner, and the first after the queue was elsewhere, call the store. It
// fails with *RefusedError if another pool takes the queue's jobs or the store does not answer.
func (o *Owner) acquireQueue(ctx context.Context, r Route) (*rowstore.QueuePermit, error) {
	if r.Queue == "" {
		return nil, nil
	}
	if permit, err := o.knownPermit(r); permit != nil || err != nil {
		return permit, err
	}
	select {
	case o.acquiring <- struct{}{}:
		defer func() { <-o.acquiring }()
	case <-ctx.Done():
		return nil, &RefusedError{Reason: "the store did not say in time which pool takes the queue", RetryAfter: retryAfterStall}
	}
	if permit, err := o.knownPermit(r); permit != nil || err != nil {
		return permit, err // another submission has found out
	}
	queues := &rowstore.QueuePools{Table: o.Table}
	permit, err := queues.Acquire(ctx, r.Queue, o.Pool, r.Version)
	o.mu.Lock()
	defer o.mu.Unlock()
	var stale *rowstore.StaleRouteError
	switch {
	case errors.As(err, &stale):
		o.movedAway[r.Queue] = stale.Version
		return nil, errMoved(err)
	case err != nil:
		o.Log.Warn("owner: could not acquire a queue", "pool", o.Pool, "fence", o.Lease.Fence(), "queue", r.Queue, "config_version", uint64(r.Version), "err", err)
		return nil, &RefusedError{Reason: "the store did not say which pool takes the queue", RetryAfter: retryAfterStall}
	}
	o.permits[r.Queue] = permit
	delete(o.movedAway, r.Queue)
	o.Log.Info("owner: acquired a queue", "pool", o.Pool, "fence", o.Lease.Fence(), "queue", r.Queue, "config_version", uint64(r.Version), "former_pools", permit.Former)
	return permit, nil
}

// knownPermit returns the permit that the owner has for a route, or nil if it has none. It fails with
// *RefusedError if the owner knows that a version at least as new sends the queue to another pool, or if the pool is not
// loaded.
func (o *Owner) knownPermit(r Route) (*rowstore.QueuePermit, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded || o.stopped {
		return nil, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryAfterNoOwner}
	}
	if permit := o.permits[r.Queue]; permit != nil {
		return permit, nil
	}
	if newer, ok := o.movedAway[r.Queue]; ok && r.Version <= newer {
		return nil, errMoved(&rowstore.StaleRouteError{Queue: r.Queue, Version: newer})
	}
	return nil, nil
}

// errMoved returns the error of a submission whose queue another pool takes. The member that sent it reads the
// newer configuration soon.
func errMoved(err error) error {
	return &RefusedError{Reason: "the queue has moved to another pool: " + err.Error(), RetryAfter: retryAfterNoOwner}
}

// inFormerPool reports whether a former pool of a queue has a job. It reads the stored jobs, because the pool
// may have no owner. The result stays true until the permit is revoked: without a permit, the former
// pools accept no more jobs of the queue.
func (o *Owner) inFormerPool(ctx context.Context, permit *rowstore.QueuePermit, id job.ID) (bool, error) {
	if permit == nil || len(permit.Former) == 0 {
		return false, nil
	}
	var query rowstore.Query
	for _, pool := range permit.Former {
		query.Gets = append(query.Gets, rowstore.Ref{Table: jobsTable, Partition: string(pool), Key: string(id)})
	}
	rows, err := o.Table.Read(ctx, query)
	if err != nil {
		return false, &RefusedError{Reason: "the store did not say if a former pool of the queue has the job", RetryAfter: retryAfterStall}
	}
	return len(rows) > 0, nil
}

// addPermit adds the check of a submission's permit to the batch.
func (b *commitBatch) addPermit(permit *rowstore.QueuePermit) {
	if permit != nil && !slices.Contains(b.checks, permit.Check) {
		b.checks = append(b.checks, permit.Check)
	}
}

// writeBatch writes a batch. Submissions whose permits another pool has revoked are refused and taken out of
// the batch: none of it was written.
func (o *Owner) writeBatch(ctx context.Context, batch *commitBatch) error {
	for {
		err := o.Lease.Commit(ctx, batch.writes, batch.checks...)
		var conflict *rowstore.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		o.mu.Lock()
		o.dropRevoked(batch, conflict)
		o.mu.Unlock()
	}
}

// dropRevoked refuses the submissions of a batch whose permits don't hold any more. The caller holds o.mu.
func (o *Owner) dropRevoked(batch *commitBatch, conflict *rowstore.ConflictError) {
	for queue, permit := range o.permits {
		if conflict.Changed(permit.Check) {
			delete(o.permits, queue)
			o.Log.Info("owner: another pool has acquired a queue", "pool", o.Pool, "fence", o.Lease.Fence(), "queue", queue)
		}
	}
	batch.checks = slices.DeleteFunc(batch.checks, conflict.Changed)
	batch.submissions = slices.DeleteFunc(batch.submissions, func(s *submission) bool {
		if !o.isRevoked(s.permit) {
			return false
		}
		row := o.ref(jobsTable, string(s.job.ID))
		batch.writes = slices.DeleteFunc(batch.writes, func(w rowstore.Write) bool { return w.Ref == row })
		s.committing = false
		o.refuseMoved(s)
		return true
	})
}

// isRevoked reports whether a permit was revoked, or replaced by a newer one. The caller holds o.mu.
func (o *Owner) isRevoked(permit *rowstore.QueuePermit) bool {
	return permit != nil && o.permits[permit.Queue] != permit
}

// refuseMoved refuses a submission that no commit contains, because its permit was revoked. The caller holds
// o.mu.
func (o *Owner) refuseMoved(s *submission) {
	delete(o.submissions, s.job.ID)
	o.pool.Unexpect(s.job.ID)
	s.fail(errRevoked)
}

var errRevoked = errors.New("owner: another pool takes the jobs of the queue")
