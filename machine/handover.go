package machine

import "citronknot/clock"

// Hold keeps back the orders to machines until a time. A new fleet leader holds the machines to which
// an order of its predecessor may still be on the way; it can order all others at once. Without that,
// each change of the leader would stop the pools from growing for the time between two holders'
// orders, and restarts of one leader after the other would add these times up.
func (p *Planner) Hold(ids []ID, until clock.Millis) {
	for _, id := range ids {
		p.heldUntil[id] = until
	}
}

// isHeld reports whether a machine gets no orders yet; see [Planner.Hold].
func (p *Planner) isHeld(id ID, now clock.Millis) bool { return now < p.heldUntil[id] }
