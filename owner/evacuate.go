package owner

import "citronknot/clock"

// updateEvacuated passes the evacuated zones that this member knows to the pool, which emits an event
// for each change. The caller holds o.mu.
func (o *Owner) updateEvacuated(now clock.Millis) {
	if o.Evacuated != nil {
		o.pool.SetEvacuated(o.Evacuated(), now)
	}
}
