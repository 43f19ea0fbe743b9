package hosted

import (
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// Conditions under which a member that does not reach the store gives its leases up.
const (
	// storeOutageLimit is the time without a response from the store. It is longer than a restart of the store's
	// connections takes, and shorter than the term of a lease.
	storeOutageLimit clock.Millis = 1000
	// slowCommit is the time of a commit through other members that holds callers up. A change of the
	// owner takes about as long as two such commits.
	slowCommit clock.Millis = 400
)

// StoreAccess describes how a lease holder reaches the store.
type StoreAccess struct {
	DirectDownFor clock.Millis // how long the store has not responded to it directly; 0 if it does
	Relayed       bool         // other members reach the store: they have just relayed a call
	CommitTime    clock.Millis // of the latest commit, or of the one in progress if that has taken longer
}

// ReleasesLease reports whether the holder gives its lease up to a member that reaches the store. Load: the
// store refuses part of the members for seconds while a pool is in its peak; commits through the
// others take hundreds of milliseconds, and callers wait for each of them. A pool whose commits go
// through in time stays, and so does one that no other member could serve better.
func (s StoreAccess) ReleasesLease() bool {
	return s.Relayed && s.DirectDownFor >= storeOutageLimit && s.CommitTime >= slowCommit
}

// releaseSlowLeases gives up the leases of this member whose commits are slow because the store does not
// respond to it. It is called after a successful read of the owner leases.
func (p *Process) releaseSlowLeases() {
	access := StoreAccess{DirectDownFor: p.storeRoute.DirectDownFor(), Relayed: true}
	if access.DirectDownFor < storeOutageLimit {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, own := range p.owners {
		if access.CommitTime = own.owner.CommitTime(); access.ReleasesLease() {
			p.logSlowLease(id, access)
			own.cancel()
		}
	}
	if l := p.fleetLeader; l != nil {
		if access.CommitTime = l.lease.SinceCommit() - rowstore.OwnerLeaseRenewInterval; access.ReleasesLease() {
			p.logSlowLease(fleetPartition, access)
			l.cancel()
		}
	}
}

func (p *Process) logSlowLease(id fleet.PoolID, a StoreAccess) {
	p.Log.Warn("hosted: gives up a lease, as the store does not respond to this member", "pool", id,
		"direct_down_ms", int64(a.DirectDownFor), "commit_ms", int64(a.CommitTime))
}
