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
	// workEvery is the time between two rounds of background work.
	workEvery clock.Millis = 50
	// workRetry is the time between two attempts while the store does not answer, and between
	// two looks for a write that may take effect late.
	workRetry clock.Millis = 1000
	// workDeadline bounds the time for which a record or removal is tried. What is left after
	// that stays in the table until it expires; a repeat is then told that the outcome is unknown.
	workDeadline clock.Millis = 60_000
	// workDrain bounds the work after a planned stop.
	workDrain clock.Millis = 2000
)

// claimWork is a change of an own claim row. It is sent under the row's version, so that a
// repeat after a lost answer has no effect on a row that others made since.
type claimWork struct {
	ref     Ref
	row     wireClaim
	version fleet.Version // 0 means unknown: the row is looked for first
	value   []byte
	remove  bool
	until   clock.Millis
}

func (c *Claims) later(w claimWork) {
	w.until = c.Clock.Now() + workDeadline
	select {
	case c.work <- w:
	default:
		c.dropped.Add(1)
	}
}

// runWork writes records and removals until ctx ends, and then what is left within workDrain.
func (c *Claims) runWork(ctx context.Context) {
	var open []claimWork
	for pause := workEvery; ctx.Err() == nil; {
		if len(open) == 0 {
			select {
			case <-ctx.Done():
			case w := <-c.work:
				open = append(open, w)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
		open, pause = c.workRound(ctx, open)
	}
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), workDrain.Duration())
	defer cancel()
	for drain.Err() == nil {
		open, _ = c.workRound(drain, open)
		if !slices.ContainsFunc(open, func(w claimWork) bool { return w.version != 0 }) && len(c.work) == 0 {
			return
		}
		select {
		case <-drain.Done():
		case <-time.After(workEvery.Duration()):
		}
	}
}

// workRound sends what is open and returns what stays open.
func (c *Claims) workRound(ctx context.Context, open []claimWork) ([]claimWork, clock.Millis) {
	for len(open) < claimsWaiting && len(c.work) > 0 {
		open = append(open, <-c.work)
	}
	open = slices.DeleteFunc(open, func(w claimWork) bool {
		late := c.Clock.Now() > w.until
		if late && w.version != 0 {
			c.dropped.Add(1)
		}
		return late
	})
	pause := workEvery
	var left []claimWork
	for batch := range slices.Chunk(open, MaxRows) {
		c.locate(ctx, batch)
		rest, err := c.write(ctx, batch)
		if err != nil {
			pause = workRetry
		}
		left = append(left, rest...)
	}
	if slices.ContainsFunc(left, func(w claimWork) bool { return w.version == 0 }) {
		pause = workRetry
	}
	return left, pause
}

// locate looks for the rows of claims that may have been written, and takes the version of
// those that are this process's own.
func (c *Claims) locate(ctx context.Context, batch []claimWork) {
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
			if w := &batch[i]; w.version == 0 && r.Ref == w.ref && w.row.holds(r) {
				w.version = r.Version
			}
		}
	}
}

// write sends the changes whose row version is known and returns those that stay open. A
// conflict ends a change: it took effect before, or the row is not this claim any more.
func (c *Claims) write(ctx context.Context, batch []claimWork) (left []claimWork, err error) {
	var ready []claimWork
	used := map[Ref]bool{}
	for _, w := range batch {
		if w.version == 0 || used[w.ref] {
			left = append(left, w)
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
			return left, nil
		}
		if !errors.As(err, &conflict) || len(conflict.Rows) == 0 {
			return append(left, ready...), err
		}
		ready = slices.DeleteFunc(ready, func(w claimWork) bool { return slices.Contains(conflict.Rows, w.ref) })
	}
	return left, nil
}
