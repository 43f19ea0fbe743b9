package rowstore_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

const queueAddress fleet.QueueAddress = "sorting.example/sort/"

// queueTable returns a table without the limit to one partition of the other tests' store. It fails the test if
// a transaction spans partitions, which the table service need not take.
func queueTable(t *testing.T, s *fakeStore) *rowstore.Table {
	table := s.table()
	table.Transact = func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
		must.NoError(t, tx.Check(1000))
		for _, w := range tx.Writes {
			must.Eq(t, tx.Writes[0].Partition, w.Partition)
		}
		for _, c := range tx.Checks {
			must.Eq(t, tx.Writes[0].Partition, c.Partition)
		}
		return s.transact(ctx, tx)
	}
	return table
}

// permitted reports whether a commit that checks a permit succeeds.
func permitted(t *testing.T, table *rowstore.Table, permit *rowstore.QueuePermit) bool {
	row := rowstore.Write{Ref: rowstore.Ref{Table: "jobs", Partition: permit.Check.Partition, Key: "j"}, Value: []byte("{}")}
	_, err := table.Transact(t.Context(), rowstore.Transaction{Checks: []rowstore.Check{permit.Check}, Writes: []rowstore.Write{row}})
	var conflict *rowstore.ConflictError
	must.True(t, err == nil || errors.As(err, &conflict))
	return err == nil
}

// Guards against two pools that take the jobs of one queue, and against a pool that does not know where jobs of
// its queue may be: the queue goes from a to b, to c and back to a.
func TestQueueIsTakenByOnePool(t *testing.T) {
	store := &fakeStore{}
	table := queueTable(t, store)
	queues := rowstore.QueuePools{Table: table}
	var last *rowstore.QueuePermit
	for i, move := range []struct {
		pool   fleet.PoolID
		former []fleet.PoolID
	}{{"a", nil}, {"b", []fleet.PoolID{"a"}}, {"c", []fleet.PoolID{"a", "b"}}, {"a", []fleet.PoolID{"b", "c"}}} {
		version := fleet.Version(10 * (i + 1))
		permit, err := queues.Acquire(t.Context(), queueAddress, move.pool, version)
		must.NoError(t, err)
		must.Eq(t, move.former, permit.Former)
		must.True(t, permitted(t, table, permit))
		if last != nil {
			must.False(t, permitted(t, table, last), must.Sprint("the former pool's permit is revoked"))
		}
		again, err := queues.Acquire(t.Context(), queueAddress, move.pool, version+5)
		must.NoError(t, err)
		must.Eq(t, permit, again, must.Sprint("another owner of the pool reads the same permit"))
		for _, late := range []fleet.Version{version - 1, version} {
			_, err = queues.Acquire(t.Context(), queueAddress, "late", late)
			var stale *rowstore.StaleRouteError
			must.True(t, errors.As(err, &stale), must.Sprint("a member that has not read the newest version does not take the queue back"))
			must.Eq(t, move.pool, stale.Pool)
		}
		must.True(t, permitted(t, table, permit))
		last = permit
	}
}

// Guards against a queue with a long address that can't be recorded, and against a record that can't be read
// and counts as none: nobody would know the former pools.
func TestQueueRecordsThatAreOdd(t *testing.T) {
	store := &fakeStore{}
	queues := rowstore.QueuePools{Table: queueTable(t, store)}
	long := fleet.QueueAddress("sorting.example/" + strings.Repeat("long/", 60))
	_, err := queues.Acquire(t.Context(), long, "a", 1)
	must.NoError(t, err)
	permit, err := queues.Acquire(t.Context(), long, "b", 2)
	must.NoError(t, err)
	must.Eq(t, []fleet.PoolID{"a"}, permit.Former)

	store.rows[rowstore.Ref{Table: rowstore.QueuePoolTable, Key: string(queueAddress)}] = rowstore.Row{
		Ref: rowstore.Ref{Table: rowstore.QueuePoolTable, Key: string(queueAddress)}, Version: 1, Value: []byte("no record"),
	}
	_, err = queues.Acquire(t.Context(), queueAddress, "a", 1)
	var unavailable *rowstore.UnavailableError
	must.True(t, errors.As(err, &unavailable))
}

// slowStore delays each call before and after it takes effect, so that the calls of several callers interleave.
type slowStore struct {
	mu    sync.Mutex
	table *rowstore.Table
}

// tableFor returns the table of one caller, whose delays come from random.
func (s *slowStore) tableFor(random *rand.Rand) *rowstore.Table {
	pause := func() {
		longest := 20_000
		if random.IntN(10) == 0 {
			longest = 400_000 // others complete a takeover meanwhile
		}
		time.Sleep(time.Duration(1+random.IntN(longest)) * time.Microsecond)
	}
	return &rowstore.Table{
		Transact: func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
			pause()
			defer pause()
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.table.Transact(ctx, tx)
		},
		Read: func(ctx context.Context, q rowstore.Query) ([]rowstore.Row, error) {
			pause()
			defer pause()
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.table.Read(ctx, q)
		},
	}
}

// queueOwner is an owner of a pool that accepts jobs of a queue as package owner does.
type queueOwner struct {
	pool   fleet.PoolID
	table  *rowstore.Table
	permit *rowstore.QueuePermit // nil if it has none
}

// submit tries to accept a job that a version of the configuration sends to the pool.
func (o *queueOwner) submit(ctx context.Context, id string, version fleet.Version) (accepted bool) {
	if o.permit == nil {
		queues := rowstore.QueuePools{Table: o.table}
		o.permit, _ = queues.Acquire(ctx, queueAddress, o.pool, version)
	}
	if o.permit == nil {
		return false
	}
	var query rowstore.Query
	for _, pool := range o.permit.Former {
		query.Gets = append(query.Gets, rowstore.Ref{Table: "jobs", Partition: string(pool), Key: id})
	}
	if rows, err := o.table.Read(ctx, query); err != nil || len(rows) > 0 {
		return false
	}
	ref := rowstore.Ref{Table: "jobs", Partition: string(o.pool), Key: id}
	_, err := o.table.Transact(ctx, rowstore.Transaction{
		Checks: []rowstore.Check{o.permit.Check, {Ref: ref}}, Writes: []rowstore.Write{{Ref: ref, Value: []byte("{}")}},
	})
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) && conflict.Changed(o.permit.Check) {
		o.permit = nil
	}
	return err == nil
}

// Guards against a job that two pools accept while members on different versions of the configuration send it to
// different pools, whatever the order of their calls, and while owners are replaced in the middle of a takeover.
func TestNoJobIsAcceptedByTwoPools(t *testing.T) {
	const versions, ids, submissions = 6, 4, 30
	acceptedAtAll := 0
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			store := &fakeStore{}
			slow := &slowStore{table: queueTable(t, store)}
			poolOf := map[fleet.Version]fleet.PoolID{}
			for v := fleet.Version(1); v <= versions; v++ {
				poolOf[v] = fleet.PoolID(rune('a' + random.IntN(3)))
			}
			var mu sync.Mutex
			acceptedIn := map[string][]fleet.PoolID{}
			var wg sync.WaitGroup
			for caller := range uint64(5) { // two of them may act for one pool, as a former owner and its successor do
				own := rand.New(rand.NewPCG(seed, 100+caller))
				wg.Go(func() {
					owners := map[fleet.PoolID]*queueOwner{}
					version := fleet.Version(1)
					for range submissions {
						version = min(version+fleet.Version(own.IntN(2)), versions)
						pool := poolOf[version]
						if owners[pool] == nil || own.IntN(5) == 0 {
							owners[pool] = &queueOwner{pool: pool, table: slow.tableFor(own)}
						}
						id := fmt.Sprint(own.IntN(ids))
						ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
						if owners[pool].submit(ctx, id, version) {
							mu.Lock()
							acceptedIn[id] = append(acceptedIn[id], pool)
							mu.Unlock()
						}
						cancel()
					}
				})
			}
			wg.Wait()
			for id, pools := range acceptedIn {
				must.Len(t, 1, pools, must.Sprintf("seed %d: job %s", seed, id))
				acceptedAtAll++
			}
		})
	}
	must.Greater(t, 400, acceptedAtAll)
}

// Guards against a holder that repeats a commit for good, or loses its lease, because another row has changed that
// the commit checks, and against the write of such a commit.
func TestCommitChecksOtherRows(t *testing.T) {
	var now clock.Millis
	store := &fakeStore{}
	h := newMember(store, "a", &now)
	claimPartition(t, h, store)
	queues := rowstore.QueuePools{Table: store.table()}
	permit, err := queues.Acquire(t.Context(), queueAddress, "p", 1)
	must.NoError(t, err)
	must.NoError(t, h.Commit(t.Context(), jobWrite("j"), permit.Check))
	must.True(t, store.has("j"))

	_, err = queues.Acquire(t.Context(), queueAddress, "q", 2)
	must.NoError(t, err)
	err = h.Commit(t.Context(), jobWrite("k"), permit.Check)
	var conflict *rowstore.ConflictError
	must.True(t, errors.As(err, &conflict))
	must.True(t, conflict.Changed(permit.Check))
	must.False(t, store.has("k"))
	must.True(t, h.Authorized())
	must.NoError(t, h.Commit(t.Context(), jobWrite("l")))

	b := newMember(store, "b", &now)
	must.NoError(t, b.Observe(leaseRow(store)))
	expire(&now)
	claimPartition(t, b, store)
	var lost *rowstore.LeaseLostError
	must.True(t, errors.As(h.Commit(t.Context(), jobWrite("m"), permit.Check), &lost), must.Sprint("the lease decides first"))
}
