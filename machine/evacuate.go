package machine

import (
	"slices"

	"citronknot/fleet"
)

// SetEvacuated sets the evacuated zones.
func (p *Planner) SetEvacuated(zones []fleet.ZoneID) { p.evacuatedZones = slices.Clone(zones) }
