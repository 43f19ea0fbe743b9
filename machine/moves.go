package machine

import "citronknot/clock"

// planMoves chooses the machines to move.
func (p *Planner) planMoves(_ clock.Millis) {}
