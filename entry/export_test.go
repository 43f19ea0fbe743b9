package entry

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// Zones gives tests of package entry_test the table of zones.
type Zones struct{ table zones }

// NewZones returns the table of a member of the zone own.
func NewZones(own fleet.ZoneID, c clock.Clock) *Zones { return &Zones{zones{own: own, clock: c}} }

func (z *Zones) Update(all []fleet.ZoneID, live bool) bool { return z.table.update(all, live) }
func (z *Zones) Stale(zone fleet.ZoneID) bool              { return z.table.stale(zone) }
