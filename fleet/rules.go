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

// AcceptedID describes the ids that [ValidID] accepts.
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

// validAddress reports whether s is an IP address and a port in canonical form. It requires the
// canonical form so that equal addresses are equal strings.
func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().Is4In6() && a.String() == s
}

func (m *merger) checkID(field, value string) {
	if !ValidID(value) {
		m.fault(field, value, AcceptedID)
	}
}

func checkRange[T ~int | ~int64](m *merger, field string, value, low, high T, unit string) {
	if value < low || value > high {
		m.fault(field, strconv.FormatInt(int64(value), 10), fmt.Sprintf("%d to %d%s", low, high, unit))
	}
}

func checkZeroOrRange(m *merger, field string, value, low, high clock.Millis) {
	if value != 0 && (value < low || value > high) {
		m.fault(field, strconv.FormatInt(int64(value), 10), fmt.Sprintf("0, or %d to %d ms", low, high))
	}
}

func (m *merger) checkPools(t kindChanges[PoolID, Pool]) {
	for _, p := range t.items {
		m.checkID(p.path+".id", string(p.item.ID))
		checkRange(m, p.path+".max_absent", p.item.MaxAbsent, 0, 10_000, "")
		checkZeroOrRange(m, p.path+".maintenance_every_ms", p.item.Maintenance.Every, hour, year)
		checkZeroOrRange(m, p.path+".drain_bound_ms", p.item.Maintenance.DrainBound, second, day)
	}
}

func (m *merger) checkQueues(t kindChanges[QueueID, Queue]) {
	for _, q := range t.items {
		m.checkID(q.path+".id", string(q.item.ID))
		m.checkPoolExists(q.path+".pool", q.item.Pool)
		if m.next.Pools[q.item.Pool].Spare {
			m.fault(q.path+".pool", string(q.item.Pool), "the id of a pool that is not spare")
		}
		checkRange(m, q.path+".max_deadline_ms", q.item.MaxDeadline, 1, hour, " ms")
		high := hour
		if q.item.MaxDeadline >= 1 {
			high = min(hour, q.item.MaxDeadline)
		}
		checkRange(m, q.path+".default_deadline_ms", q.item.DefaultDeadline, 1, high, " ms, and at most max_deadline_ms")
		checkRange(m, q.path+".max_waiting", q.item.MaxWaiting, 1, 100_000, "")
	}
}

func (m *merger) checkTeams(t kindChanges[TeamID, Team]) {
	for _, x := range t.items {
		m.checkID(x.path+".id", string(x.item.ID))
		checkRange(m, x.path+".share", x.item.Share, 0, FullShare, "")
		checkRange(m, x.path+".limit", x.item.Limit, 0, 1_000_000, "")
		checkRange(m, x.path+".max_staleness_ms", x.item.MaxStaleness, 0, hour, " ms")
	}
	if len(t.items) > 0 {
		m.checkShares(t)
	}
}

// checkShares adds a fault for the first team of the note whose share raises the sum above
// [FullShare]. The shares of teams that the note does not name are counted first.
func (m *merger) checkShares(t kindChanges[TeamID, Team]) {
	var sum Share
	for id, x := range m.next.Teams {
		if _, named := t.paths[id]; !named {
			sum += x.Share
		}
	}
	for _, x := range t.items {
		if x.item.Share < 0 || x.item.Share > FullShare {
			continue
		}
		if sum+x.item.Share > FullShare {
			m.fault(x.path+".share", strconv.Itoa(int(x.item.Share)), fmt.Sprintf(
				"0 to %d: the shares of all teams add up to at most %d", FullShare-sum, FullShare))
			return
		}
		sum += x.item.Share
	}
}

func (m *merger) checkKeys(t kindChanges[KeyHash, Key]) {
	for _, k := range t.items {
		if !validHash(string(k.item.Hash)) {
			m.fault(k.path+".hash", string(k.item.Hash), acceptedHash)
		}
		if _, ok := m.next.Teams[k.item.Team]; !ok {
			m.fault(k.path+".team", string(k.item.Team), "the id of a team")
		}
	}
}

func (m *merger) checkInstances(t kindChanges[InstanceID, Instance]) {
	if len(t.items) == 0 {
		return
	}
	addresses := m.addressesInUse(t)
	for _, x := range t.items {
		in := x.item
		m.checkID(x.path+".id", string(in.ID))
		m.checkID(x.path+".zone", string(in.Zone))
		if in.Rack != "" && !ValidID(string(in.Rack)) {
			m.fault(x.path+".rack", string(in.Rack), acceptedOptional)
		}
		if !validAddress(in.Address) {
			m.fault(x.path+".address", in.Address, acceptedAddress)
		} else if other, used := addresses[in.Address]; used {
			m.fault(x.path+".address", in.Address, "an address that no other instance has; "+string(other)+" has it")
		}
		addresses[in.Address] = in.ID
		checkRange(m, x.path+".slots", in.Slots, 1, 10_000, "")
		checkRange(m, x.path+".connections", in.Connections, 1, 100_000, "")
		m.checkPoolExists(x.path+".pool", in.Pool)
	}
}

// addressesInUse returns those addresses of the note that instances outside the note already
// have, with the ids of these instances. It leaves out all other addresses, because copying
// them would cost more than the rest of the check.
func (m *merger) addressesInUse(t kindChanges[InstanceID, Instance]) map[string]InstanceID {
	noteAddresses := make(map[string]bool, len(t.items))
	for _, x := range t.items {
		noteAddresses[x.item.Address] = true
	}
	owners := make(map[string]InstanceID, len(t.items))
	for id, in := range m.next.Instances {
		if _, named := t.paths[id]; !named && noteAddresses[in.Address] {
			owners[in.Address] = id
		}
	}
	return owners
}

func (m *merger) checkPoolExists(field string, id PoolID) {
	if _, ok := m.next.Pools[id]; !ok {
		m.fault(field, string(id), "the id of a pool")
	}
}
