package peer

import (
	"maps"

	"citronknot/fleet"
)

// Stamp orders the load summaries of one member. After a restart a member uses a higher epoch,
// and its sequence numbers start at 1 again.
type Stamp struct {
	Epoch uint64
	Seq   uint64
}

// Newer reports whether s is later than o.
func (s Stamp) Newer(o Stamp) bool {
	return s.Epoch > o.Epoch || s.Epoch == o.Epoch && s.Seq > o.Seq
}

// Vector is the state vector of a member: the version that it has of the configuration, of the
// assignment of each zone, and of the load summary of each member.
type Vector struct {
	Config fleet.Version
	Zones  map[fleet.ZoneID]fleet.Version
	Loads  map[fleet.MemberID]Stamp
	// Partial marks a vector without load entries. It does not mean that the member has no load
	// summaries.
	Partial bool
}

// Merge returns a vector with the newer version of each entry.
func (v Vector) Merge(o Vector) Vector {
	out := Vector{
		Config: max(v.Config, o.Config), Partial: v.Partial && o.Partial,
		Zones: map[fleet.ZoneID]fleet.Version{}, Loads: map[fleet.MemberID]Stamp{},
	}
	maps.Copy(out.Zones, v.Zones)
	for id, n := range o.Zones {
		out.Zones[id] = max(out.Zones[id], n)
	}
	maps.Copy(out.Loads, v.Loads)
	for id, s := range o.Loads {
		if s.Newer(out.Loads[id]) {
			out.Loads[id] = s
		}
	}
	return out
}

// NewerThan returns the entries of v that are newer than those of o. Load entries are compared
// only if neither vector is partial.
func (v Vector) NewerThan(o Vector) Vector {
	out := Vector{Partial: v.Partial || o.Partial}
	if v.Config > o.Config {
		out.Config = v.Config
	}
	for id, n := range v.Zones {
		if n > o.Zones[id] {
			if out.Zones == nil {
				out.Zones = map[fleet.ZoneID]fleet.Version{}
			}
			out.Zones[id] = n
		}
	}
	if out.Partial {
		return out
	}
	for id, s := range v.Loads {
		if s.Newer(o.Loads[id]) {
			if out.Loads == nil {
				out.Loads = map[fleet.MemberID]Stamp{}
			}
			out.Loads[id] = s
		}
	}
	return out
}

// Empty reports whether v has no entries.
func (v Vector) Empty() bool { return v.Config == 0 && len(v.Zones) == 0 && len(v.Loads) == 0 }

// Covers reports whether the configuration and assignments of v are at least as new as those of
// o.
func (v Vector) Covers(o Vector) bool {
	v.Partial = true
	return o.NewerThan(v).Empty()
}

// Equal reports whether neither vector has an entry that is newer than that of the other. Load
// entries are compared only if neither vector is partial.
func (v Vector) Equal(o Vector) bool { return v.NewerThan(o).Empty() && o.NewerThan(v).Empty() }
