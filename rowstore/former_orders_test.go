package rowstore_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// delegated is how long members that a holder authorized may send orders after its process has ended.
const delegated clock.Millis = 1800

// expire moves the clock until the lease of a holder that does not renew it has expired for the others.
func expire(now *clock.Millis) { *now += rowstore.OwnerLeaseTerm + 200 }

// succession is a partition whose first holder, a, still sends orders when b takes it over.
type succession struct {
	now          clock.Millis
	store        *fakeStore
	a, b, c      *rowstore.OwnerLease
	lastCommitOf clock.Millis // when a committed last
}

// newSuccession returns a partition that b has just taken over from a.
func newSuccession(t *testing.T) *succession {
	s := &succession{store: &fakeStore{}}
	s.a, s.b, s.c = newMember(s.store, "a", &s.now), newMember(s.store, "b", &s.now), newMember(s.store, "c", &s.now)
	claimPartition(t, s.a, s.store)
	s.lastCommitOf = s.now
	must.NoError(t, s.b.Observe(leaseRow(s.store)))
	expire(&s.now)
	must.True(t, s.a.Authorized())
	must.True(t, s.b.Vacant())
	claimPartition(t, s.b, s.store)
	return s
}

// authorityEnd returns when a may send no more orders.
func (s *succession) authorityEnd() clock.Millis {
	return s.lastCommitOf + rowstore.OwnerLeaseAuthority
}

// mustCoverFirstHolder checks that a holder waits for the orders of a, and not much longer.
func (s *succession) mustCoverFirstHolder(t *testing.T, h *rowstore.OwnerLease) {
	t.Helper()
	end := s.now + h.FormerOrders()
	must.GreaterEq(t, s.authorityEnd(), end)
	must.LessEq(t, s.authorityEnd()+1000, end)
}

// Guards against tasks that run twice because a holder released the partition while the one before it
// could still send orders: its successor took the release to mean that nobody did.
func TestReleaseKeepsOrdersOfEarlierHolders(t *testing.T) {
	s := newSuccession(t)
	s.now += 400
	must.NoError(t, s.b.Release(t.Context()))
	claimPartition(t, s.c, s.store)
	s.mustCoverFirstHolder(t, s.c)
}

// Guards against the same fault through the renewals of a holder, which rewrite the row, and through a
// third takeover.
func TestRenewalsKeepOrdersOfEarlierHolders(t *testing.T) {
	s := newSuccession(t)
	for range 3 {
		s.now += rowstore.OwnerLeaseRenewInterval
		must.NoError(t, s.b.Commit(t.Context(), nil))
		s.mustCoverFirstHolder(t, s.b)
	}
	must.NoError(t, s.b.Release(t.Context()))
	claimPartition(t, s.c, s.store)
	s.mustCoverFirstHolder(t, s.c)
	must.NoError(t, s.c.Release(t.Context()))
	claimPartition(t, s.b, s.store)
	s.mustCoverFirstHolder(t, s.b)
}

// Guards against tasks that run twice because a holder was killed while the one before it could still send
// orders, and claimed its own lease again after its restart.
func TestRestartedHolderKeepsOrdersOfEarlierHolders(t *testing.T) {
	s := newSuccession(t)
	s.now += 400
	restarted := newMember(s.store, "b", &s.now)
	restarted.DelegatedOrders = delegated
	must.NoError(t, restarted.Observe(leaseRow(s.store)))
	must.True(t, restarted.Vacant())
	claimPartition(t, restarted, s.store)
	s.mustCoverFirstHolder(t, restarted)
}

// Guards against a restarted holder that waits for itself as for another member, or not even for the members
// that it had authorized.
func TestRestartedHolderWaitsForDelegatedOrders(t *testing.T) {
	var now clock.Millis
	store := &fakeStore{}
	claimPartition(t, newMember(store, "a", &now), store)
	now += 300
	restarted := newMember(store, "a", &now)
	restarted.DelegatedOrders = delegated
	claimPartition(t, restarted, store)
	must.Eq(t, delegated, restarted.FormerOrders())
}

// Guards against tasks that last and don't run for some 11 s after an outage of the store: the new holder
// waited for the whole authority of the former one from its own takeover, although that authority had
// ended during the outage.
func TestAuthorityEndsDuringOutage(t *testing.T) {
	var now clock.Millis
	store := &fakeStore{}
	a, b := newMember(store, "a", &now), newMember(store, "b", &now)
	claimPartition(t, a, store)
	must.NoError(t, b.Observe(leaseRow(store)))
	store.down = true
	for range 90 {
		now += 100
		b.RestartExpiry()
	}
	store.down = false
	must.False(t, a.Authorized())
	must.False(t, b.Vacant(), must.Sprint("the holder may renew the lease first"))
	expire(&now)
	must.True(t, b.Vacant())
	claimPartition(t, b, store)
	must.LessEq(t, -2000, b.FormerOrders())
}

// Guards against the same wait after an outage before which the holder committed a last time, as it does many
// times a second: the other members read that version only when the outage is over.
func TestAuthorityEndsDuringOutageAfterUnreadCommit(t *testing.T) {
	var now clock.Millis
	store := &fakeStore{serviceTime: func() (earliest, latest clock.Millis, ok bool) { return 9000 + now - 5, 9000 + now + 5, true }}
	a, b := newMember(store, "a", &now), newMember(store, "b", &now)
	claimPartition(t, a, store)
	must.NoError(t, b.Observe(leaseRow(store)))
	now += 100
	must.NoError(t, a.Commit(t.Context(), nil))
	committed := now
	for range 90 {
		now += 100
		b.RestartExpiry()
	}
	restarted := newMember(store, "c", &now)
	for _, successor := range []*rowstore.OwnerLease{b, restarted} {
		must.NoError(t, successor.Observe(leaseRow(store)))
		must.False(t, successor.Vacant(), must.Sprint("the holder may renew the lease first"))
	}
	expire(&now)
	must.True(t, b.Vacant())
	claimPartition(t, b, store)
	end := now + b.FormerOrders()
	must.Between(t, committed+rowstore.OwnerLeaseAuthority, end, committed+rowstore.OwnerLeaseAuthority+300)
	must.NoError(t, b.Release(t.Context()))
	now += 500
	claimPartition(t, restarted, store)
	must.LessEq(t, -480, restarted.FormerOrders())
}

// Guards against the same wait becoming too short if the holder renewed the lease during the outage, and its
// renewal is read only afterwards.
func TestRenewalDuringOutageCountsFromItsReading(t *testing.T) {
	var now clock.Millis
	store := &fakeStore{}
	a, b := newMember(store, "a", &now), newMember(store, "b", &now)
	claimPartition(t, a, store)
	must.NoError(t, b.Observe(leaseRow(store)))
	now += 5000 // the outage of b alone
	must.NoError(t, a.Commit(t.Context(), nil))
	committed := now
	now += 4000
	must.NoError(t, b.Observe(leaseRow(store)))
	expire(&now)
	must.True(t, b.Vacant())
	claimPartition(t, b, store)
	must.GreaterEq(t, committed+rowstore.OwnerLeaseAuthority, now+b.FormerOrders())
}

// Guards against a rolling upgrade in which a member of an earlier version releases the partition or claims it,
// and its row says nothing of earlier holders.
func TestRowOfEarlierVersionCountsAsLateOrders(t *testing.T) {
	for _, row := range []string{`{"holder":"","fence":2,"attempt":"x"}`, `{"holder":"b","address":"b:1","fence":2,"attempt":"x"}`} {
		s := newSuccession(t)
		old := leaseRow(s.store)
		var fields map[string]any
		must.NoError(t, json.Unmarshal(old.Value, &fields))
		must.MapContainsKey(t, fields, "former_orders_ms")
		s.store.version++
		old.Version, old.Value = s.store.version, []byte(row)
		s.store.rows[old.Ref] = old
		must.NoError(t, s.c.Observe(old))
		expire(&s.now)
		must.True(t, s.c.Vacant())
		claimPartition(t, s.c, s.store)
		must.GreaterEq(t, s.authorityEnd(), s.now+s.c.FormerOrders(), must.Sprint(row))
	}
}

// Guards against an outcome that depends on the order of takeovers: whatever happens to the partition, no holder
// takes the orders of an earlier one for ended while that one may send them.
func TestFormerOrdersCoverEveryEarlierHolder(t *testing.T) {
	for seed := range uint64(600) {
		random := rand.New(rand.NewPCG(seed, 3))
		var now clock.Millis
		store := &fakeStore{}
		if seed%2 == 1 { // the service has a clock, which members know to 200 ms
			store.serviceTime = func() (earliest, latest clock.Millis, ok bool) {
				return 5000 + now - clock.Millis(random.IntN(100)), 5000 + now + clock.Millis(random.IntN(100)), random.IntN(20) > 0
			}
		}
		members := make([]*rowstore.OwnerLease, 3)
		for i := range members {
			members[i] = newMember(store, fleet.MemberID(rune('a'+i)), &now)
		}
		for range 200 {
			now += clock.Millis(random.IntN(900))
			i := random.IntN(len(members))
			m := members[i]
			store.down = random.IntN(8) == 0
			switch {
			case store.down:
				m.RestartExpiry()
			case random.IntN(20) == 0: // the process is killed and starts again
				members[i] = newMember(store, m.Self, &now)
				members[i].DelegatedOrders = delegated
			case m.Authorized() && random.IntN(10) == 0:
				must.NoError(t, m.Release(t.Context()))
			case m.Authorized() && random.IntN(3) > 0:
				_ = m.Commit(t.Context(), nil) // fails once another member has claimed the partition
			default:
				must.NoError(t, m.Observe(leaseRow(store)))
				if m.Vacant() {
					_, err := m.Claim(t.Context())
					must.NoError(t, err)
				}
			}
			for _, h := range members {
				for _, former := range members {
					if h.Authorized() && former.Authorized() && former.Fence() < h.Fence() {
						must.Positive(t, h.FormerOrders(), must.Sprintf("seed %d, at %d: %s waits for %s no more", seed, now, h.Self, former.Self))
					}
				}
			}
		}
	}
}

// Guards against a holder that sends orders after its successor takes its authority for ended: a commit
// took effect when it was first sent and its response was lost, and its renewal counted from the second sending.
func TestRenewalCountsFromTheFirstSending(t *testing.T) {
	var now clock.Millis
	store := &fakeStore{}
	table := store.table()
	transact := table.Transact
	sendings := 0
	table.Transact = func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
		sendings++
		if sendings == 2 {
			now += 1500 // the timeout of the first sending
		}
		return transact(ctx, tx)
	}
	a, b := newMember(store, "a", &now), newMember(store, "b", &now)
	claimPartition(t, a, store)
	a.Table = table
	a.OnFailure = func(error) { store.loseResponses = false }
	now += rowstore.OwnerLeaseRenewInterval
	committed := now
	store.loseResponses = true
	must.NoError(t, a.Commit(t.Context(), nil))
	must.Eq(t, 2, sendings)
	must.Eq(t, now-committed, a.SinceCommit())

	now = committed
	must.NoError(t, b.Observe(leaseRow(store)))
	expire(&now)
	must.True(t, b.Vacant())
	must.False(t, a.Exclusive())
}
