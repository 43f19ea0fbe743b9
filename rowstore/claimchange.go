package rowstore

import (
	"context"
	"errors"
	"slices"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// changeInterval is the time between two rounds of background changes.
	changeInterval clock.Millis = 50
	// changeRetryInterval is the time between two attempts while the store does not respond, and
	// between two reads for a write that may take effect late.
	changeRetryInterval clock.Millis = 1000
	// changeDeadline bounds the time for which a record or removal is tried. A row that is left
	// after that stays in the table until it expires; a repeat of its request is refused because
	// the outcome is unknown.
	changeDeadline clock.Millis = 60_000
	// changeStopTimeout bounds the time for the remaining changes after a planned stop.
	changeStopTimeout clock.Millis = 2000
)

// claimChange is a change to a claim row of this process. It is sent under a check of the row's
// version, so that a repeat after a lost response has no effect on a row that others have
// written since.
type claimChange struct {
	ref      Ref
	row      wireClaim
	version  fleet.Version // 0 means unknown: the row is read first
	value    []byte
	remove   bool
	deadline clock.Millis
}

func (c *Claims) enqueueChange(w claimChange) {
	w.deadline = c.Clock.Now() + changeDeadline
	select {
	case c.changes <- w:
	default:
		c.dropped.Add(1)
	}
}

// sendChanges writes records and removals until ctx ends, and then tries the remaining ones for
// at most changeStopTimeout.
func (c *Claims) sendChanges(ctx context.Context) {
	var open []claimChange
	for pause := changeInterval; ctx.Err() == nil; {
		if len(open) == 0 {
			select {
			case <-ctx.Done():
			case w := <-c.changes:
				open = append(open, w)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
		open, pause = c.sendChangesOnce(ctx, open)
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeStopTimeout.Duration())
	defer cancel()
	for stopCtx.Err() == nil {
		open, _ = c.sendChangesOnce(stopCtx, open)
		if !slices.ContainsFunc(open, func(w claimChange) bool { return w.version != 0 }) && len(c.changes) == 0 {
			return
		}
		select {
		case <-stopCtx.Done():
		case <-time.After(changeInterval.Duration()):
		}
	}
}

// sendChangesOnce tries each open change once. It returns the changes that stay open and the
// delay before the next round.
func (c *Claims) sendChangesOnce(ctx context.Context, open []claimChange) ([]claimChange, clock.Millis) {
	for len(open) < maxWaitingClaims && len(c.changes) > 0 {
		open = append(open, <-c.changes)
	}
	open = slices.DeleteFunc(open, func(w claimChange) bool {
		overdue := c.Clock.Now() > w.deadline
		if overdue && w.version != 0 {
			c.dropped.Add(1)
		}
		return overdue
	})
	pause := changeInterval
	var remaining []claimChange
	for batch := range slices.Chunk(open, MaxRows) {
		c.findVersions(ctx, batch)
		unsent, err := c.writeBatch(ctx, batch)
		if err != nil {
			pause = changeRetryInterval
		}
		remaining = append(remaining, unsent...)
	}
	if slices.ContainsFunc(remaining, func(w claimChange) bool { return w.version == 0 }) {
		pause = changeRetryInterval
	}
	return remaining, pause
}

// findVersions reads the rows of claims that may have been written, and records the versions of
// those that belong to this process.
func (c *Claims) findVersions(ctx context.Context, batch []claimChange) {
	q := Query{}
	for _, w := range batch {
		if w.version == 0 {
			q.Gets = append(q.Gets, w.ref)
		}
	}
	if len(q.Gets) == 0 {
		return
	}
	rows, err := c.Table.Read(ctx, q)
	if err != nil {
		return
	}
	for i := range batch {
		for _, r := range rows {
			if w := &batch[i]; w.version == 0 && r.Ref == w.ref && w.row.matches(r) {
				w.version = r.Version
			}
		}
	}
}

// writeBatch sends the changes whose row version is known and returns those that stay open. A
// conflict ends a change: it took effect before, or the row does not belong to the claim any
// more.
func (c *Claims) writeBatch(ctx context.Context, batch []claimChange) (remaining []claimChange, err error) {
	var ready []claimChange
	used := map[Ref]bool{}
	for _, w := range batch {
		if w.version == 0 || used[w.ref] {
			remaining = append(remaining, w)
			continue
		}
		used[w.ref] = true
		ready = append(ready, w)
	}
	for len(ready) > 0 {
		tx := Transaction{}
		for _, w := range ready {
			tx.Checks = append(tx.Checks, Check{Ref: w.ref, Version: w.version})
			tx.Writes = append(tx.Writes, Write{Ref: w.ref, Value: w.value, Delete: w.remove})
		}
		_, err = c.Table.Transact(ctx, tx)
		var conflict *ConflictError
		if err == nil {
			return remaining, nil
		}
		if !errors.As(err, &conflict) || len(conflict.Rows) == 0 {
			return append(remaining, ready...), err
		}
		ready = slices.DeleteFunc(ready, func(w claimChange) bool { return slices.Contains(conflict.Rows, w.ref) })
	}
	return remaining, nil
}
