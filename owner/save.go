package owner

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/rowstore"
	"citronknot/schedule"
)

// The tables of a pool. All rows of a pool are in the part of its name.
const (
	jobsTable     = "jobs"
	progressTable = "progress"
	workersTable  = "workers"
	knownKey      = "known"
)

// Bounds of one commit: the store takes 100 rows and 1 MB, and the holder's row is among them.
const (
	maxCommitRows  = 95
	maxCommitBytes = 800_000
)

// linger is how long ends wait for others, so that a burst of them takes one commit.
const linger = 15 * time.Millisecond

func (o *Owner) ref(table, key string) rowstore.Ref {
	return rowstore.Ref{Table: table, Part: string(o.Pool), Key: key}
}

// load reads what earlier tenures left.
func (o *Owner) load(ctx context.Context) error {
	begun := o.Clock.Now()
	rows, err := o.readAll(ctx)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now, wall := o.Clock.Now(), o.Clock.Wall()
	o.pool = schedule.New(schedule.Config{
		Pool: o.Pool, RunBase: int(o.Tenure.Fence()-1) * runsPerTenure,
		Limited: o.Limited, Note: o.note, StopTime: o.StopTime, MaxStarting: maxStarting,
	})
	progress := map[job.ID]*job.Progress{}
	for _, r := range rows {
		switch r.Table {
		case progressTable:
			p, err := job.DecodeProgress(r.Value)
			if err != nil {
				return eris.Wrapf(err, "owner: progress of job %s", r.Key)
			}
			progress[job.ID(r.Key)] = p
		case workersTable:
			if o.known, err = decodeKnown(r.Value); err != nil {
				return err
			}
		}
	}
	jobs := 0
	for _, r := range rows {
		if r.Table != jobsTable {
			continue
		}
		j, err := job.Decode(r.Value)
		if err != nil {
			return eris.Wrapf(err, "owner: job %s", r.Key)
		}
		p := progress[j.ID]
		if p == nil {
			p = &job.Progress{}
		}
		o.add(j, p, max(0, wall-j.Accepted), now)
		jobs++
	}
	o.savedKnown = maps.Clone(o.known)
	o.prove(now)
	o.loaded = true
	o.Log.Info("owner: pool taken over", "pool", o.Pool, "fence", o.Tenure.Fence(), "released", o.Released,
		"jobs", jobs, "known_workers", len(o.known), "load_ms", int64(now-begun), "settle_in_ms", int64(o.settleAt-now))
	return nil
}

// prove looks at every worker on which an earlier tenure may have left runs, and computes the
// time from which those that never answer have none: the former holder may give orders for the
// rest of its authority, and its last lease has to end.
func (o *Owner) prove(now clock.Millis) {
	o.settleAt = now + settleLease
	if !o.Released {
		o.settleAt += rowstore.TenureAuthority - rowstore.TenureTerm
	}
	for id, k := range o.known {
		o.unproven[id] = true
		o.follow(Listed{Worker: schedule.Worker{ID: id, Born: k.Born}, Address: k.Address}, now)
		o.pool.Unlist(id)
	}
}

func (o *Owner) add(j *job.Job, p *job.Progress, age, now clock.Millis) {
	terms, ok := o.Terms(j.Queue)
	if !ok {
		o.Log.Warn("owner: the queue of a job is not configured; default terms are used", "job", j.ID, "queue", j.Queue)
	}
	o.pool.Add(j, terms, p, age, now)
}

func (o *Owner) readAll(ctx context.Context) ([]rowstore.Row, error) {
	for {
		rows, err := o.Table.Read(ctx, rowstore.Query{Scans: []rowstore.Scan{
			{Table: jobsTable, Part: string(o.Pool)},
			{Table: progressTable, Part: string(o.Pool)},
			{Table: workersTable, Part: string(o.Pool)},
		}})
		if err == nil {
			return rows, nil
		}
		o.Log.Warn("owner: could not read the pool", "pool", o.Pool, "err", err)
		if err := o.Tenure.Commit(ctx, nil); err != nil {
			return nil, err
		}
	}
}

// batch is the content of one commit.
type batch struct {
	writes  []rowstore.Write
	jobs    []*submission
	changes []schedule.Change
	known   map[fleet.InstanceID]knownWorker // nil if it has not changed
	upto    uint64
}

// saver commits what is to be durable, and renews the tenure, until ctx ends or the tenure is
// over.
func (o *Owner) saver(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-o.save:
			o.gather(ctx)
		}
		if err := o.commit(ctx); err != nil {
			return err
		}
		if !o.authorized() {
			return &rowstore.DeposedError{Part: string(o.Pool), Holder: o.Tenure.Holder().Member}
		}
		timer.Reset(rowstore.RenewEvery.Duration())
	}
}

// gather waits for more ends unless a submission waits.
func (o *Owner) gather(ctx context.Context) {
	o.mu.Lock()
	urgent := len(o.queue) > 0 || o.knownDirty
	o.mu.Unlock()
	if urgent {
		return
	}
	timer := time.NewTimer(linger)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (o *Owner) commit(ctx context.Context) error {
	b, err := o.take()
	if err != nil {
		return err
	}
	begun := time.Now()
	if len(b.writes) > 0 || o.Tenure.Idle() >= rowstore.RenewEvery {
		err = o.Tenure.Commit(ctx, b.writes)
	}
	o.Metrics.Commit.Observe(time.Since(begun).Seconds())
	o.Metrics.CommitRows.Add(float64(len(b.writes)))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.commitFrom = 0
	if err != nil {
		return err
	}
	o.apply(b)
	return nil
}

// take collects the next commit.
func (o *Owner) take() (*batch, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := &batch{upto: o.changes}
	size := 0
	for len(o.queue) > 0 && len(b.writes) < maxCommitRows/2 && size < maxCommitBytes {
		s := o.queue[0]
		o.queue = o.queue[1:]
		s.sent = true
		size += len(s.text) * 4 / 3
		b.jobs = append(b.jobs, s)
		b.writes = append(b.writes, rowstore.Write{Ref: o.ref(jobsTable, string(s.job.ID)), Value: s.text})
	}
	if o.knownDirty {
		w, err := o.knownRow(o.known)
		if err != nil {
			return nil, err
		}
		b.known, o.knownDirty = maps.Clone(o.known), false
		b.writes = append(b.writes, w)
	}
	for len(o.removals) > 0 && len(b.writes) < maxCommitRows/2 {
		id := string(o.removals[0])
		o.removals = o.removals[1:]
		b.writes = append(b.writes, rowstore.Write{Ref: o.ref(jobsTable, id), Delete: true},
			rowstore.Write{Ref: o.ref(progressTable, id), Delete: true})
	}
	b.changes = o.pool.Changes(o.Clock.Wall(), maxCommitRows-len(b.writes))
	if o.pool.Dirty() {
		b.upto = o.durableTo // not all changes fit: none of the newer ends is durable yet
		wake(o.save)
	}
	for i := range b.changes {
		value, err := b.changes[i].Progress.Encode()
		if err != nil {
			return nil, err
		}
		b.writes = append(b.writes, rowstore.Write{Ref: o.ref(progressTable, string(b.changes[i].Job)), Value: value})
	}
	o.commitFrom = o.Clock.Now()
	return b, nil
}

// apply takes in that a commit is durable.
func (o *Owner) apply(b *batch) {
	now := o.Clock.Now()
	o.durableTo = max(o.durableTo, b.upto)
	for _, s := range b.jobs {
		delete(o.inbox, s.job.ID)
		o.add(s.job, nil, 0, now)
		s.finish()
	}
	for _, c := range b.changes {
		o.pool.Committed(c)
		o.expire(c)
	}
	if b.known != nil {
		o.savedKnown = b.known
		for id, k := range b.known {
			if l, ok := o.listed[id]; ok && l.Born == k.Born {
				o.follow(Listed{Worker: l, Address: o.addresses[id]}, now)
			}
		}
	}
	close(o.saved)
	o.saved = make(chan struct{})
	wake(o.plan)
}

// expire lets a finished job be forgotten once its state has been readable long enough.
func (o *Owner) expire(c schedule.Change) {
	if !c.State.Final() {
		return
	}
	time.AfterFunc(o.KeepFinal.Duration(), func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if !o.stopped && o.pool.Remove(c.Job) {
			o.removals = append(o.removals, c.Job)
		}
	})
}

// note logs what the pool came to believe.
func (o *Owner) note(e schedule.Event) {
	o.Metrics.Events.WithLabelValues(e.Kind).Inc()
	if e.Job == "" {
		e.Job = e.Task.Job
	}
	args := []any{"event", e.Kind, "pool", o.Pool, "fence", o.Tenure.Fence()}
	if e.Job != "" {
		args = append(args, "job", e.Job)
	}
	if e.Task.Job != "" {
		args = append(args, "task", e.Task.String(), "run", e.Run)
	}
	if e.Worker != "" {
		args = append(args, "worker", e.Worker)
	}
	if e.Detail != "" {
		args = append(args, "detail", e.Detail)
	}
	o.Log.Info("owner: "+e.Kind, args...)
}

var (
	errStopped   = errors.New("owner: stopped")
	errNoAdviser = errors.New("owner: the queue needs an adviser, and the settings name none")
)
