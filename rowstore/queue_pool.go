package rowstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
)

// QueuePools records in the row store which pool takes the jobs of a queue, and which pools have taken them
// before. It keeps a job from being accepted a second time after its queue has moved to another pool: at any
// time at most one pool takes the jobs of a queue, and that pool knows all others that may have some.
//
// A queue is identified by its address, which remains when its route is removed and added under another name.
// Its newest record is in the partition "", and each pool has one in its own partition. A pool takes the queue
// over in an order in which no step depends on two partitions: it writes the newest record, revokes the
// permits of the former pools, and writes its own permit, unless that was revoked meanwhile. A commit of the
// pool that accepts jobs of the queue checks the permit.
type QueuePools struct {
	Table *Table
}

// QueuePoolTable is the table of the records of a QueuePools.
const QueuePoolTable = "queue_pools"

// QueuePermit permits a pool to accept jobs of a queue.
type QueuePermit struct {
	Queue  fleet.QueueAddress
	Check  Check          // holds until another pool takes the jobs of the queue
	Former []fleet.PoolID // pools that took them before, and take none now
}

// StaleRouteError reports that a pool does not take the jobs of a queue, because a newer version of the
// configuration sends them to another one.
type StaleRouteError struct {
	Queue   fleet.QueueAddress
	Pool    fleet.PoolID  // that takes the jobs
	Version fleet.Version // of the configuration that sends them there
}

func (e *StaleRouteError) Error() string {
	return fmt.Sprintf("rowstore: configuration version %d sends jobs of %s to pool %s", e.Version, e.Queue, e.Pool)
}

// wireQueuePool is a record of a queue. In the partition of a pool, Pool is empty if the permit was revoked.
type wireQueuePool struct {
	Queue   string   `json:"queue"`
	Pool    string   `json:"pool,omitempty"`
	Version uint64   `json:"config_version"` // that gave the queue to Pool, or that took it away
	Former  []string `json:"former,omitempty"`
}

// queuePoolRecord is a record of a queue with the version of its row, which is 0 if there is none.
type queuePoolRecord struct {
	wireQueuePool
	check Check
}

// maxAcquireConflicts bounds the attempts of Acquire that fail because another member writes the same records.
const maxAcquireConflicts = 8

// Acquire returns the permit of a pool for a queue that a version of the configuration sends to it, and takes the
// queue over from another pool if that is necessary. It fails with *StaleRouteError, if the queue was sent to
// another pool by the same or a newer version, or with *UnavailableError.
func (q *QueuePools) Acquire(ctx context.Context, queue fleet.QueueAddress, pool fleet.PoolID, version fleet.Version) (*QueuePermit, error) {
	var conflict *ConflictError
	for range maxAcquireConflicts {
		permit, err := q.tryAcquire(ctx, queue, pool, version)
		if !errors.As(err, &conflict) {
			return permit, err
		}
	}
	return nil, &UnavailableError{Op: "acquire a queue", Err: eris.New("other members write its records")}
}

// tryAcquire is one attempt of Acquire. It fails with *ConflictError if another member has written a record
// meanwhile.
func (q *QueuePools) tryAcquire(ctx context.Context, queue fleet.QueueAddress, pool fleet.PoolID, version fleet.Version) (*QueuePermit, error) {
	own, err := q.read(ctx, queue, pool)
	if err != nil {
		return nil, err
	}
	if own.Pool != "" {
		return own.permit(), nil
	}
	newest, err := q.read(ctx, queue, "")
	if err != nil {
		return nil, err
	}
	if newest.Pool != string(pool) {
		if newest.Pool != "" && version <= fleet.Version(newest.Version) {
			return nil, &StaleRouteError{Queue: queue, Pool: fleet.PoolID(newest.Pool), Version: fleet.Version(newest.Version)}
		}
		newest.move(pool, version)
		if err := q.write(ctx, &newest); err != nil {
			return nil, err
		}
	}
	for _, former := range newest.Former {
		if err := q.revoke(ctx, queue, fleet.PoolID(former), newest.Version); err != nil {
			return nil, err
		}
	}
	own.wireQueuePool = newest.wireQueuePool
	if err := q.write(ctx, &own); err != nil {
		return nil, err
	}
	return own.permit(), nil
}

// move gives the queue to another pool.
func (r *queuePoolRecord) move(pool fleet.PoolID, version fleet.Version) {
	if r.Pool != "" && !slices.Contains(r.Former, r.Pool) {
		r.Former = append(r.Former, r.Pool)
	}
	r.Former = slices.DeleteFunc(r.Former, func(former string) bool { return former == string(pool) })
	r.Pool, r.Version = string(pool), uint64(version)
}

// revoke revokes the permit of a former pool. It also writes the record of a pool without a permit, which may
// be about to write one.
func (q *QueuePools) revoke(ctx context.Context, queue fleet.QueueAddress, pool fleet.PoolID, version uint64) error {
	record, err := q.read(ctx, queue, pool)
	if err != nil {
		return err
	}
	switch {
	case record.Version > version: // the queue has moved on
		return &ConflictError{Rows: []Ref{record.check.Ref}}
	case record.Version == version && record.Pool == "":
		return nil
	}
	record.Pool, record.Version, record.Former = "", version, nil
	return q.write(ctx, &record)
}

func (r *queuePoolRecord) permit() *QueuePermit {
	p := &QueuePermit{Queue: fleet.QueueAddress(r.Queue), Check: r.check}
	for _, former := range r.Former {
		p.Former = append(p.Former, fleet.PoolID(former))
	}
	return p
}

// read reads the record of a queue in a partition. It also fails if the record can't be decoded: without it, nobody
// knows the pools that may have jobs of the queue.
func (q *QueuePools) read(ctx context.Context, queue fleet.QueueAddress, partition fleet.PoolID) (queuePoolRecord, error) {
	ref := Ref{Table: QueuePoolTable, Partition: string(partition), Key: queueKey(queue)}
	record := queuePoolRecord{check: Check{Ref: ref}}
	row, ok, err := q.Table.Get(ctx, ref)
	if err != nil {
		return record, err
	}
	if ok {
		record.check.Version = row.Version
		if err := json.Unmarshal(row.Value, &record.wireQueuePool); err != nil {
			return record, &UnavailableError{Op: "decode the pool of a queue", Err: err}
		}
	}
	record.Queue = string(queue)
	return record, nil
}

// write writes a record if it has not changed since it was read.
func (q *QueuePools) write(ctx context.Context, r *queuePoolRecord) error {
	value, err := json.Marshal(r.wireQueuePool)
	if err != nil {
		return eris.Wrap(err, "rowstore: encode the pool of a queue")
	}
	versions, err := q.Table.Transact(ctx, Transaction{Checks: []Check{r.check}, Writes: []Write{{Ref: r.check.Ref, Value: value}}})
	if err != nil {
		return err
	}
	r.check.Version = versions[0]
	return nil
}

// queueKey returns the key of the records of a queue. Addresses that are too long for a key are replaced by
// their hash.
func queueKey(queue fleet.QueueAddress) string {
	if len(queue) <= MaxNameBytes {
		return string(queue)
	}
	hash := sha256.Sum256([]byte(queue))
	return "sha256:" + hex.EncodeToString(hash[:])
}
