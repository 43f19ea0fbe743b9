package owner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/rowstore"
	"citronknot/schedule"
)

// The row store tables of a pool. All rows of a pool are in the partition that has its name.
const (
	jobsTable     = "jobs"
	progressTable = "progress"
	workersTable  = "workers"
	knownKey      = "known" // key of the first row of workersTable, and the prefix of the others
)

// Limits of one commit. The store accepts 100 rows and 1 MB, which include the row of the owner
// lease. Submissions and the removal of jobs leave half of the rows to progress. The last row may
// exceed maxCommitBytes.
const (
	maxCommitRows  = 95
	maxCommitBytes = 800_000
)

// commitDelay is how long a commit of ended runs waits for more of them, so that a burst takes one
// commit.
const commitDelay = 15 * time.Millisecond

// ref returns the reference of a row of the pool.
func (o *Owner) ref(table, key string) rowstore.Ref {
	return rowstore.Ref{Table: table, Partition: string(o.Pool), Key: key}
}

// load reads the jobs, progress and known workers that earlier owners stored, and starts the
// recovery. It fails if ctx ends or the owner lease is lost. A row that can't be decoded costs only
// its job: if it kept the owner from serving, it would do so at each member that takes the pool over.
func (o *Owner) load(ctx context.Context) error {
	started := o.Clock.Now()
	rows, err := o.readRows(ctx)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now, wall := o.Clock.Now(), o.Clock.Wall()
	o.pool = schedule.New(schedule.Config{
		Pool: o.Pool, RunBase: int(o.Lease.Fence()-1) * runsPerOwnerLease,
		Limited: o.Limited, Weight: o.Weight, MayRefuse: o.MayRefuse, OnEvent: o.recordEvent,
		StopTime: o.StopTime, MaxStarting: maxStarting, FarFactor: o.FarFactor,
	})
	progress := map[job.ID]*job.Progress{}
	for _, r := range rows {
		switch r.Table {
		case progressTable:
			p, err := job.DecodeProgress(r.Value)
			if err != nil {
				o.unreadable[job.ID(r.Key)] = true
				o.logUnreadable(r, err)
			}
			progress[job.ID(r.Key)] = p
		case workersTable:
			o.knownRows++
			known, err := decodeKnownWorkers(r.Value)
			if err != nil {
				o.unconfirmed[unknownWorkers] = true
				o.logUnreadable(r, err)
			}
			maps.Copy(o.knownWorkers, known)
		}
	}
	var jobs []*job.Job
	for _, r := range rows {
		id := job.ID(r.Key)
		if r.Table != jobsTable || o.unreadable[id] {
			continue
		}
		j, err := job.Decode(r.Value)
		if err != nil {
			o.unreadable[id] = true
			o.logUnreadable(r, err)
			continue
		}
		jobs = append(jobs, j)
	}
	// In the order of acceptance, in which jobs count against the rates of their teams.
	slices.SortFunc(jobs, func(a, b *job.Job) int { return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.ID, b.ID)) })
	for _, j := range jobs {
		p := progress[j.ID]
		if p == nil {
			p = &job.Progress{}
		}
		o.addJob(j, p, max(0, wall-j.Accepted), now)
	}
	o.savedKnownWorkers = maps.Clone(o.knownWorkers)
	o.followKnownWorkers(now)
	o.loaded = true
	o.Log.Info("owner: pool taken over", "pool", o.Pool, "fence", o.Lease.Fence(), "former_orders_ms", int64(o.Lease.FormerOrders()),
		"jobs", len(jobs), "known_workers", len(o.knownWorkers), "load_ms", int64(now-started), "settle_in_ms", int64(o.formerLeasesEnd-now))
	return nil
}

// unknownWorkers stands in Owner.unconfirmed for the workers that the former owner used, if their row
// can't be decoded. They are never confirmed, so that recovered tasks wait until all leases of the
// former owner have expired.
const unknownWorkers fleet.InstanceID = ""

// logUnreadable logs and counts a row that can't be decoded.
func (o *Owner) logUnreadable(r rowstore.Row, err error) {
	o.Metrics.Events.WithLabelValues("row_unreadable").Inc()
	o.Log.Error("owner: skipped a row that can't be decoded", "pool", o.Pool, "fence", o.Lease.Fence(), "table", r.Table, "key", r.Key, "err", err)
}

// errUnreadable returns the error of a call on a job whose rows can't be decoded. The job was
// accepted, and its state is unknown.
func errUnreadable(id job.ID) error {
	return &RefusedError{Reason: fmt.Sprintf("the stored rows of job %s can't be read", id), Final: true}
}

// followKnownWorkers starts a session with each worker that an earlier owner knew. Recovery waits for
// those on which it may have left runs. followKnownWorkers sets the time from which workers that never
// respond have none of these: earlier owners may send orders until their authority ends, and then their
// last worker lease has to expire.
func (o *Owner) followKnownWorkers(now clock.Millis) {
	o.formerLeasesEnd = now + max(o.Lease.FormerOrders()+formerLeaseLimit, firstResponseTime)
	for id, k := range o.knownWorkers {
		if !k.Unused {
			o.unconfirmed[id] = true
		}
		if k.Restarted {
			o.expectStrayLeases(id, now+o.Lease.FormerOrders())
		}
		o.followWorker(ListedWorker{Worker: schedule.Worker{ID: id, Incarnation: k.Incarnation}, Address: k.Address}, now)
		o.pool.Unlist(id, now)
	}
}

// addJob adds a durable job to the pool. progress is nil for a new job; age is the time since the
// submission arrived.
func (o *Owner) addJob(j *job.Job, progress *job.Progress, age, now clock.Millis) {
	if j.Policy == nil && !o.setPolicy(j) {
		o.Log.Warn("owner: a job has no policy and its queue is not configured; it gets one attempt", "job", j.ID, "queue", j.Queue)
		j.Policy = &job.Policy{Attempts: 1}
	}
	o.pool.Add(j, *j.Policy, progress, age, now)
}

// setPolicy gives a job that came without a policy the one that its queue has now, and reports whether this
// member knows it.
func (o *Owner) setPolicy(j *job.Job) bool {
	policy, ok := o.Policy(j.Queue)
	if ok {
		j.Policy = &policy
	}
	return ok
}

// readRows reads all rows of the pool. It retries until that succeeds or the owner lease is lost;
// the empty commit after a failed read renews the lease.
func (o *Owner) readRows(ctx context.Context) ([]rowstore.Row, error) {
	for {
		rows, err := o.Table.Read(ctx, rowstore.Query{Scans: []rowstore.Scan{
			{Table: jobsTable, Partition: string(o.Pool)},
			{Table: progressTable, Partition: string(o.Pool)},
			{Table: workersTable, Partition: string(o.Pool)},
		}})
		if err == nil {
			return rows, nil
		}
		o.Log.Warn("owner: could not read the pool", "pool", o.Pool, "err", err)
		if err := o.Lease.Commit(ctx, nil); err != nil {
			return nil, err
		}
	}
}

// commitBatch is the content of one commit.
type commitBatch struct {
	writes        []rowstore.Write
	checks        []rowstore.Check // of the permits of the submissions
	submissions   []*submission
	changes       []schedule.Change
	knownWorkers  map[fleet.InstanceID]knownWorker // nil if they have not changed
	throughChange uint64                           // all changes up to this one are durable once the batch is
	bytes         int                              // of the writes, as the store's calls carry them
}

// add adds a write to the batch.
func (b *commitBatch) add(w rowstore.Write) {
	b.writes = append(b.writes, w)
	b.bytes += len(w.Value) * 4 / 3 // the store's calls carry values in base64
}

// hasRoom reports whether the batch takes another write, if it may have the given number of rows.
func (b *commitBatch) hasRoom(rows int) bool {
	return len(b.writes)+len(b.checks) < rows && b.bytes < maxCommitBytes
}

// runCommitter commits changes and renews the owner lease until ctx ends or the lease is lost.
func (o *Owner) runCommitter(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-o.commitWake:
			o.awaitMoreChanges(ctx)
		}
		if err := o.commit(ctx); err != nil {
			return err
		}
		if !o.mayGiveOrders() {
			return &rowstore.LeaseLostError{Partition: string(o.Pool), Holder: o.Lease.Holder().Member}
		}
		timer.Reset(rowstore.OwnerLeaseRenewInterval.Duration())
	}
}

// awaitMoreChanges waits commitDelay for more ended runs, unless a submission or a change of the
// known workers is to be committed.
func (o *Owner) awaitMoreChanges(ctx context.Context) {
	o.mu.Lock()
	urgent := len(o.uncommitted) > 0 || o.knownWorkersDirty
	o.mu.Unlock()
	if urgent {
		return
	}
	timer := time.NewTimer(commitDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// commit writes the next batch. Without rows to write, it renews the owner lease if that is due.
func (o *Owner) commit(ctx context.Context) error {
	batch, err := o.takeBatch()
	if err != nil {
		return err
	}
	started := time.Now()
	if len(batch.writes) > 0 || o.Lease.SinceCommit() >= rowstore.OwnerLeaseRenewInterval {
		err = o.writeBatch(ctx, batch)
	}
	took := time.Since(started)
	o.Metrics.CommitTime.Observe(took.Seconds())
	o.Metrics.CommitRows.Add(float64(len(batch.writes)))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.activity.commits++
	o.activity.slowestCommit = max(o.activity.slowestCommit, took)
	o.activity.accepted += len(batch.submissions)
	o.commitStarted = 0
	o.latestCommit = clock.Millis(took.Milliseconds())
	if err != nil {
		return err
	}
	o.applyCommitted(batch)
	return nil
}

// CommitTime returns how long the commit in progress has taken, or the latest one if that took longer.
func (o *Owner) CommitTime() clock.Millis {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.commitStarted == 0 {
		return o.latestCommit
	}
	return max(o.latestCommit, o.Clock.Now()-o.commitStarted)
}

// takeBatch collects the content of the next commit.
func (o *Owner) takeBatch() (*commitBatch, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := &commitBatch{throughChange: o.lastChange}
	for len(o.uncommitted) > 0 && batch.hasRoom(maxCommitRows/2) {
		s := o.uncommitted[0]
		o.uncommitted = o.uncommitted[1:]
		if o.isRevoked(s.permit) {
			o.refuseMoved(s)
			continue
		}
		s.committing = true
		batch.submissions = append(batch.submissions, s)
		batch.addPermit(s.permit)
		batch.add(rowstore.Write{Ref: o.ref(jobsTable, string(s.job.ID)), Value: s.encoded})
	}
	if o.knownWorkersDirty {
		writes, err := o.knownWorkersRows(o.knownWorkers)
		if err != nil {
			return nil, err
		}
		batch.knownWorkers, o.knownWorkersDirty = maps.Clone(o.knownWorkers), false
		for _, w := range writes {
			batch.add(w)
		}
		o.knownRows = len(writes)
	}
	for len(o.removedJobs) > 0 && batch.hasRoom(maxCommitRows/2) {
		id := string(o.removedJobs[0])
		o.removedJobs = o.removedJobs[1:]
		batch.add(rowstore.Write{Ref: o.ref(jobsTable, id), Delete: true})
		batch.add(rowstore.Write{Ref: o.ref(progressTable, id), Delete: true})
	}
	if err := o.takeChanges(batch); err != nil {
		return nil, err
	}
	if o.pool.Dirty() {
		batch.throughChange = o.durableChange // not all changes fit, so count none of the newer ended runs as durable
		wake(o.commitWake)
	}
	o.commitStarted = o.Clock.Now()
	return batch, nil
}

// takeChanges adds the changed progress of jobs to a batch. Crashes that a row does not take are left out
// of it, so that the next owner does not know of them. A job whose progress is larger than the store takes
// even so fails: its row would keep this commit, and those of each later owner, from succeeding.
func (o *Owner) takeChanges(batch *commitBatch) error {
	for batch.hasRoom(maxCommitRows) {
		changes := o.pool.Changes(o.Clock.Wall(), 1)
		if len(changes) == 0 {
			return nil
		}
		change := changes[0]
		value, complete, err := change.Progress.EncodeWithin(o.MaxRowBytes)
		if err != nil {
			return err
		}
		if !complete {
			o.noteReducedProgress(change.Job, len(value))
		}
		if len(value) > o.MaxRowBytes {
			o.pool.Fail(change.Job, fmt.Sprintf("its progress takes %d bytes, and the store takes at most %d", len(value), o.MaxRowBytes), o.Clock.Now())
			continue
		}
		batch.changes = append(batch.changes, change)
		batch.add(rowstore.Write{Ref: o.ref(progressTable, string(change.Job)), Value: value})
	}
	return nil
}

// noteReducedProgress logs and counts that the row of a job does not take all of its crashes, once for each job.
func (o *Owner) noteReducedProgress(id job.ID, bytes int) {
	if o.reducedProgress[id] {
		return
	}
	o.reducedProgress[id] = true
	o.Metrics.Events.WithLabelValues("progress_reduced").Inc()
	o.Log.Warn("owner: crashes under the tasks of a job are not recorded in full", "pool", o.Pool, "fence", o.Lease.Fence(), "job", id, "bytes", bytes)
}

// applyCommitted updates the pool after a batch has become durable, and wakes those who wait for
// the commit.
func (o *Owner) applyCommitted(batch *commitBatch) {
	now := o.Clock.Now()
	o.durableChange = max(o.durableChange, batch.throughChange)
	for _, s := range batch.submissions {
		delete(o.submissions, s.job.ID)
		o.addJob(s.job, nil, now-s.arrivedAt, now)
		s.succeed()
	}
	for _, c := range batch.changes {
		o.pool.Committed(c)
		o.scheduleRemoval(c)
	}
	if batch.knownWorkers != nil {
		o.savedKnownWorkers = batch.knownWorkers
		for id, k := range batch.knownWorkers {
			if l, ok := o.listedWorkers[id]; ok && l.Incarnation == k.Incarnation && !o.hasEnded(id, k.Incarnation) {
				o.followWorker(ListedWorker{Worker: l, Address: o.addresses[id]}, now)
			}
		}
	}
	close(o.committed)
	o.committed = make(chan struct{})
	for _, d := range o.dispatchers {
		if len(d.changes) > 0 && d.changes[0].ours <= o.durableChange {
			wake(d.wakeup)
		}
	}
	wake(o.planWake)
}

// scheduleRemoval removes a finished job after FinalStateRetention, during which its state can be
// read.
func (o *Owner) scheduleRemoval(change schedule.Change) {
	if !change.State.Final() {
		return
	}
	time.AfterFunc(o.FinalStateRetention.Duration(), func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if !o.stopped && o.pool.Remove(change.Job) {
			delete(o.reducedProgress, change.Job)
			o.removedJobs = append(o.removedJobs, change.Job)
		}
	})
}

// recordEvent logs an event of the pool and counts it.
func (o *Owner) recordEvent(e schedule.Event) {
	o.Metrics.Events.WithLabelValues(e.Kind).Inc()
	if e.Job == "" {
		e.Job = e.Task.Job
	}
	args := []any{"event", e.Kind, "pool", o.Pool, "fence", o.Lease.Fence()}
	if e.Job != "" {
		args = append(args, "job", e.Job)
	}
	if e.Task.Job != "" {
		args = append(args, "task", e.Task.String(), "run", e.Run)
	}
	if e.Worker != "" {
		args = append(args, "worker", e.Worker)
	}
	if e.Zone != nil {
		args = append(args, "zone", e.Zone.Zone, "workers", e.Zone.Workers, "runs", e.Zone.Runs)
	}
	if e.Team != "" {
		args = append(args, "team", e.Team)
	}
	if e.Loss != nil {
		args = append(args, lossArgs(&e)...)
		if e.Kind == "run_lost" {
			o.Metrics.RunsLost.WithLabelValues(e.Loss.Cause.String()).Inc()
		}
	}
	if e.Wait != nil {
		args = append(args, waitArgs(e.Wait)...)
		if e.Wait.Outcome != "" {
			o.Metrics.PlaceWaits.WithLabelValues(e.Wait.Outcome).Inc()
		}
	}
	if e.Stop != nil {
		args = append(args, stopArgs(e.Stop)...)
	}
	if e.Detail != "" {
		args = append(args, "detail", e.Detail)
	}
	if e.Kind == "run_ended" && o.endsLogged {
		return
	}
	o.Log.Info("owner: "+e.Kind, args...)
}

// lossArgs returns the attributes of the log line for a worker or a run that was lost.
func lossArgs(e *schedule.Event) []any {
	args := []any{"cause", e.Loss.Cause.String(), "unreachable_ms", int64(e.Loss.Unreachable), "runs_on_worker", e.Loss.Runs}
	if e.Kind == "run_lost" {
		return append(args, "age_ms", int64(e.Loss.Age), "newer_runs", e.Loss.Newer)
	}
	return append(args, "machine", e.Machine, "rack", e.Rack)
}

// stopArgs returns the attributes of the log line for the stop of a long-running task.
func stopArgs(s *schedule.LongRunningStop) []any {
	args := []any{"reason", string(s.Reason), "away", s.Away, "limit", s.Limit, "newest_report_ms", int64(s.Newest), "oldest_report_ms", int64(s.Oldest)}
	for a, n := range s.Causes {
		if n > 0 {
			args = append(args, "away_"+schedule.Absence(a).String(), n)
		}
	}
	return args
}

// waitArgs returns the attributes of the log line for a wait for a near place that begins or ends.
func waitArgs(w *schedule.PlaceWait) []any {
	args := []any{
		"rack", w.Rack, "run_ms", int64(w.Run), "far_factor", w.FarFactor, "expected_wait_ms", int64(w.Expected), "waiting_before", w.Before,
		"slack_ms", int64(w.Slack), "contended", w.Contended,
	}
	if w.Outcome == "" {
		return append(args, "limit_ms", int64(w.Limit))
	}
	return append(args, "waited_ms", int64(w.Waited), "outcome", w.Outcome, "reason", string(w.Reason))
}

var (
	errStopped   = errors.New("owner: stopped")
	errNoAdviser = errors.New("owner: the queue requires an adviser, but none is configured")
)
