package fleet

import (
	"slices"
	"sync"

	"citronknot/clock"
)

// Evacuation is an operator's request that nothing more is started in a zone.
type Evacuation struct {
	Zone    ZoneID
	Version Version      // of the operator's row
	Since   clock.Millis // when this member read the request, on its wall clock
}

// HoldReason is why a start is held back.
type HoldReason string

// The reasons for which starts are held back.
const (
	HoldEvacuated   HoldReason = "evacuated"   // the zone is, or may be, evacuated
	HoldUnconfirmed HoldReason = "unconfirmed" // the member may not know all evacuations
)

// Evacuations holds the evacuations that a member knows, and how recent that knowledge is. It is safe
// for concurrent use. The exported fields are set before the first call.
type Evacuations struct {
	Clock   clock.Clock
	OwnZone ZoneID       // of the member
	Limit   clock.Millis // age of the latest confirmation up to which starts go to all zones; 0 means no limit
	// OnHold is called with each start that MayStart holds back. It may be nil.
	OnHold func(HoldReason)

	mu          sync.Mutex
	known       map[ZoneID]Evacuation
	zones       []ZoneID // the keys of known, sorted; replaced by each change
	read        bool     // the operators' table was read at least once
	confirmedAt clock.Mark
	hasFailed   bool
	failedAt    clock.Mark // when a call to the store failed last
}

// Parts of the time within which an evacuation is in force: a confirmed reading counts for what
// sendMargin leaves of it. The margin covers the sending of a start, which takes up to 400 ms, and
// the time at the worker.
const (
	sendMargin           clock.Millis = 1000
	maxConfirmationLimit clock.Millis = 4000
)

// ConfirmationLimit returns the Limit of [Evacuations] for the time within which an evacuation has to be
// in force; bound is 0 if there is no such time. A bound that leaves no time besides sendMargin gives
// the shortest limit, 1 ms.
func ConfirmationLimit(bound clock.Millis) clock.Millis {
	if bound <= 0 {
		return 0
	}
	return max(1, min(bound-sendMargin, maxConfirmationLimit))
}

// Set records that a zone is evacuated, and reports whether it was not before.
func (e *Evacuations) Set(zone ZoneID, version Version) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.known[zone]
	if !ok {
		known = Evacuation{Zone: zone, Since: e.Clock.Wall()}
	}
	known.Version = version
	if e.known == nil {
		e.known = map[ZoneID]Evacuation{}
	}
	e.known[zone] = known
	if !ok {
		e.sortZones()
	}
	return !ok
}

// Clear records that the evacuation of a zone has ended, and returns the evacuation. ok is false if the
// zone was not evacuated.
func (e *Evacuations) Clear(zone ZoneID) (ended Evacuation, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended, ok = e.known[zone]
	delete(e.known, zone)
	e.sortZones()
	return ended, ok
}

// sortZones rebuilds the sorted list of zones. The caller holds e.mu.
func (e *Evacuations) sortZones() {
	e.zones = nil
	for zone := range e.known {
		e.zones = append(e.zones, zone)
	}
	slices.Sort(e.zones)
}

// Confirm records that all evacuations of the moment sent are known, because a reading of the
// operators' table that was requested then has succeeded.
func (e *Evacuations) Confirm(sent clock.Mark) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.read, e.confirmedAt = true, sent
}

// Fail records that a call to the store that was sent at sent has failed. A failure that took
// longer than Limit is ignored: the member may have been suspended, and the store may respond.
func (e *Evacuations) Fail(sent clock.Mark) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Clock.MaxElapsed(sent) <= e.Limit {
		e.hasFailed, e.failedAt = true, e.Clock.Mark()
	}
}

// MayStart reports whether a start may go to a zone now. The empty zone stands for an unknown one. No
// other code decides this.
func (e *Evacuations) MayStart(zone ZoneID) bool {
	e.mu.Lock()
	reason := e.holdReason(zone)
	e.mu.Unlock()
	if reason != "" && e.OnHold != nil {
		e.OnHold(reason)
	}
	return reason == ""
}

// holdReason returns why a start in a zone is held back, or an empty reason. A member that can't read
// the table goes on in its own zone: it may be cut off together with that zone, which has to serve
// what it can. A member that was suspended has no recent failure, and waits for its next reading.
func (e *Evacuations) holdReason(zone ZoneID) HoldReason {
	_, evacuated := e.known[zone]
	switch {
	case !e.read:
		return HoldUnconfirmed
	case evacuated, zone == "" && len(e.known) > 0:
		return HoldEvacuated
	case e.Limit <= 0 || e.Clock.MaxElapsed(e.confirmedAt) <= e.Limit:
		return ""
	case zone != "" && zone == e.OwnZone && e.hasFailed && e.Clock.MaxElapsed(e.failedAt) <= e.Limit:
		return ""
	}
	return HoldUnconfirmed
}

// Zones returns the evacuated zones, sorted. The caller must not modify the slice.
func (e *Evacuations) Zones() []ZoneID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.zones
}

// List returns the evacuations, sorted by zone.
func (e *Evacuations) List() []Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Evacuation, len(e.zones))
	for i, zone := range e.zones {
		list[i] = e.known[zone]
	}
	return list
}

// ConfirmationAge returns the age of the latest confirmation. ok is false if there is none.
func (e *Evacuations) ConfirmationAge() (age clock.Millis, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Clock.MaxElapsed(e.confirmedAt), e.read
}
