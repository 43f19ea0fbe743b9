package fleet

import (
	"fmt"
	"net/netip"
	"strconv"

	"citronknot/clock"
)

const (
	second clock.Millis = 1000
	hour                = 3600 * second
	day                 = 24 * hour
	year                = 365 * day
)

// AcceptedID says which ids [ValidID] takes.
const AcceptedID = "1 to 64 characters of a-z, 0-9, '-', '.', '_'"

const (
	acceptedOptional = "empty, or " + AcceptedID
	acceptedHash     = "64 lowercase hexadecimal digits"
	acceptedAddress  = "an IP number and a port from 1 to 65535, such as 10.0.0.1:8000"
	maxIDLength      = 64
	hashLength       = 64
)

// ValidID reports whether s can be the id of a pool, queue, team, instance, zone, rack, region,
// member or release note.
func ValidID(s string) bool {
	if s == "" || len(s) > maxIDLength {
		return false
	}
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' && c != '_' {
			return false
		}
	}
	return true
}

func validHash(s string) bool {
	if len(s) != hashLength {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// validAddress demands the canonical text, so that equal addresses are equal strings.
func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().Is4In6() && a.String() == s
}

func (m *merge) id(field, value string) {
	if !ValidID(value) {
		m.fault(field, value, AcceptedID)
	}
}

func between[T ~int | ~int64](m *merge, field string, value, low, high T, unit string) {
	if value < low || value > high {
		m.fault(field, strconv.FormatInt(int64(value), 10), fmt.Sprintf("%d to %d%s", low, high, unit))
	}
}

func zeroOrBetween(m *merge, field string, value, low, high clock.Millis) {
	if value != 0 && (value < low || value > high) {
		m.fault(field, strconv.FormatInt(int64(value), 10), fmt.Sprintf("0, or %d to %d ms", low, high))
	}
}

func (m *merge) checkPools(t touched[PoolID, Pool]) {
	for _, p := range t.put {
		m.id(p.at+".id", string(p.item.ID))
		between(m, p.at+".max_absent", p.item.MaxAbsent, 0, 10_000, "")
		zeroOrBetween(m, p.at+".maintenance_every_ms", p.item.Maintenance.Every, hour, year)
		zeroOrBetween(m, p.at+".drain_bound_ms", p.item.Maintenance.DrainBound, second, day)
	}
}

func (m *merge) checkQueues(t touched[QueueID, Queue]) {
	for _, q := range t.put {
		m.id(q.at+".id", string(q.item.ID))
		m.refersToPool(q.at+".pool", q.item.Pool)
		if m.next.Pools[q.item.Pool].Spare {
			m.fault(q.at+".pool", string(q.item.Pool), "the id of a pool that is not spare")
		}
		between(m, q.at+".max_deadline_ms", q.item.MaxDeadline, 1, hour, " ms")
		high := hour
		if q.item.MaxDeadline >= 1 {
			high = min(hour, q.item.MaxDeadline)
		}
		between(m, q.at+".default_deadline_ms", q.item.DefaultDeadline, 1, high, " ms, and at most max_deadline_ms")
		between(m, q.at+".max_waiting", q.item.MaxWaiting, 1, 100_000, "")
	}
}

func (m *merge) checkTeams(t touched[TeamID, Team]) {
	for _, x := range t.put {
		m.id(x.at+".id", string(x.item.ID))
		between(m, x.at+".share", x.item.Share, 0, FullShare, "")
		between(m, x.at+".limit", x.item.Limit, 0, 1_000_000, "")
		between(m, x.at+".max_staleness_ms", x.item.MaxStaleness, 0, hour, " ms")
	}
	if len(t.put) > 0 {
		m.checkShares(t)
	}
}

// checkShares reports the first team of the note that brings the sum above the whole. The
// shares of teams that the note does not name count first.
func (m *merge) checkShares(t touched[TeamID, Team]) {
	var sum Share
	for id, x := range m.next.Teams {
		if _, named := t.paths[id]; !named {
			sum += x.Share
		}
	}
	for _, x := range t.put {
		if x.item.Share < 0 || x.item.Share > FullShare {
			continue
		}
		if sum+x.item.Share > FullShare {
			m.fault(x.at+".share", strconv.Itoa(int(x.item.Share)), fmt.Sprintf(
				"0 to %d: the shares of all teams add up to at most %d", FullShare-sum, FullShare))
			return
		}
		sum += x.item.Share
	}
}

func (m *merge) checkKeys(t touched[KeyHash, Key]) {
	for _, k := range t.put {
		if !validHash(string(k.item.Hash)) {
			m.fault(k.at+".hash", string(k.item.Hash), acceptedHash)
		}
		if _, ok := m.next.Teams[k.item.Team]; !ok {
			m.fault(k.at+".team", string(k.item.Team), "the id of a team")
		}
	}
}

func (m *merge) checkInstances(t touched[InstanceID, Instance]) {
	if len(t.put) == 0 {
		return
	}
	addresses := m.addressesInUse(t)
	for _, x := range t.put {
		in := x.item
		m.id(x.at+".id", string(in.ID))
		m.id(x.at+".zone", string(in.Zone))
		if in.Rack != "" && !ValidID(string(in.Rack)) {
			m.fault(x.at+".rack", string(in.Rack), acceptedOptional)
		}
		if !validAddress(in.Address) {
			m.fault(x.at+".address", in.Address, acceptedAddress)
		} else if other, used := addresses[in.Address]; used {
			m.fault(x.at+".address", in.Address, "an address that no other instance has; "+string(other)+" has it")
		}
		addresses[in.Address] = in.ID
		between(m, x.at+".slots", in.Slots, 1, 10_000, "")
		between(m, x.at+".connections", in.Connections, 1, 100_000, "")
		m.refersToPool(x.at+".pool", in.Pool)
	}
}

// addressesInUse returns the owners of those addresses of the note that instances outside it
// have. It holds no other address, because copying all of them costs more than the rest of
// the check.
func (m *merge) addressesInUse(t touched[InstanceID, Instance]) map[string]InstanceID {
	asked := make(map[string]bool, len(t.put))
	for _, x := range t.put {
		asked[x.item.Address] = true
	}
	owners := make(map[string]InstanceID, len(t.put))
	for id, in := range m.next.Instances {
		if _, named := t.paths[id]; !named && asked[in.Address] {
			owners[in.Address] = id
		}
	}
	return owners
}

func (m *merge) refersToPool(field string, id PoolID) {
	if _, ok := m.next.Pools[id]; !ok {
		m.fault(field, string(id), "the id of a pool")
	}
}
