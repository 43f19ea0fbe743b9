package peer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/note"
)

// MessageError reports a field of a message with an invalid value. Accepted describes the valid
// values.
type MessageError struct {
	Field    string
	Value    string
	Accepted string
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("peer: message field %s: %q is not accepted; accepted: %s", e.Field, e.Value, e.Accepted)
}

// Decode parses the JSON encoding of one message. It returns a [MessageError] for a value out of
// range, and another error for invalid JSON or an invalid release note. Unknown fields are
// ignored, so that members of adjacent releases can communicate.
func Decode(text []byte) (Message, error) {
	var w wireMessage
	d := json.NewDecoder(bytes.NewReader(text))
	if err := d.Decode(&w); err != nil {
		return Message{}, eris.Wrap(err, "peer: decode")
	}
	if _, err := d.Token(); err != io.EOF {
		return Message{}, eris.New("peer: text after the message")
	}
	var c validator
	c.checkID("from", w.From)
	m := Message{From: fleet.MemberID(w.From)}
	if w.Vector != nil {
		m.HasVector, m.Vector = true, c.vector(*w.Vector)
	}
	if w.Requested != nil {
		m.Requested = c.itemRequest(*w.Requested)
	}
	if w.Items != nil {
		m.Items = c.items(*w.Items)
	}
	if s := w.Status; s != nil {
		c.checkCount("state.age_ms", s.ConfirmationAgeMS)
		m.Status = ConfigStatus{
			NewestVersion: fleet.Version(s.NewestVersion), TableReachable: s.TableReachable, HasReadTable: s.HasReadTable, SubmissionPending: s.SubmissionPending,
			Confirmed: s.Confirmed, ConfirmedVersion: fleet.Version(s.ConfirmedVersion), ConfirmationAge: clock.Millis(s.ConfirmationAgeMS),
		}
	}
	if c.err != nil {
		return Message{}, c.err
	}
	return m, nil
}

// validator checks and converts the fields of a message, and keeps the first error.
type validator struct {
	err error
}

func (c *validator) fail(field, value, accepted string) {
	if c.err == nil {
		c.err = &MessageError{Field: field, Value: value, Accepted: accepted}
	}
}

func (c *validator) checkID(field, id string) {
	if id == "" || len(id) > maxIDLength {
		c.fail(field, id[:min(len(id), maxIDLength)], fmt.Sprintf("1 to %d characters", maxIDLength))
	}
}

func (c *validator) checkLength(field string, n, limit int) {
	if n > limit {
		c.fail(field, fmt.Sprint(n), fmt.Sprintf("at most %d entries", limit))
	}
}

func (c *validator) checkCount(field string, n int64) {
	if n < 0 || n > 1<<53 {
		c.fail(field, fmt.Sprint(n), "a count from 0 to 2^53")
	}
}

func (c *validator) versions(field string, in map[string]uint64) map[fleet.ZoneID]fleet.Version {
	c.checkLength(field, len(in), maxMessageZones)
	out := make(map[fleet.ZoneID]fleet.Version, len(in))
	for id, v := range in {
		c.checkID(field, id)
		out[fleet.ZoneID(id)] = fleet.Version(v)
	}
	return out
}

func (c *validator) vector(w wireVector) Vector {
	c.checkLength("vec.load", len(w.Members), maxMessageMembers)
	v := Vector{Config: fleet.Version(w.Config), Zones: c.versions("vec.zone", w.Zones), Partial: w.Partial}
	if len(w.Stamps) != 2*len(w.Members) {
		c.fail("vec.at", fmt.Sprint(len(w.Stamps)), "two numbers for each member")
		return v
	}
	v.Loads = make(map[fleet.MemberID]Stamp, len(w.Members))
	for i, id := range w.Members {
		c.checkID("vec.load", id)
		v.Loads[fleet.MemberID(id)] = Stamp{Epoch: w.Stamps[2*i], Seq: w.Stamps[2*i+1]}
	}
	return v
}

func (c *validator) itemRequest(w wireItemRequest) ItemRequest {
	c.checkLength("want.load", len(w.Loads), maxMessageLoads)
	out := ItemRequest{
		NotesAfter: fleet.Version(w.NotesAfter), NotesTo: fleet.Version(w.NotesTo), Zones: c.versions("want.zone", w.Zones),
	}
	for _, id := range w.Loads {
		c.checkID("want.load", id)
		out.Loads = append(out.Loads, fleet.MemberID(id))
	}
	return out
}

func (c *validator) items(w wireItems) Items {
	c.checkLength("items.notes", len(w.Notes), maxMessageNotes)
	c.checkLength("items.assignments", len(w.Assignments), maxMessageZones)
	c.checkLength("items.loads", len(w.Loads), maxMessageLoads)
	var out Items
	for _, text := range w.Notes {
		n, err := note.Decode(text)
		if err != nil && c.err == nil {
			c.err = err
		}
		out.Notes = append(out.Notes, n)
	}
	for _, a := range w.Assignments {
		out.Assignments = append(out.Assignments, c.assignment(a))
	}
	for _, name := range w.Names {
		c.checkID("items.names", name)
	}
	for _, s := range w.Loads {
		out.Loads = append(out.Loads, c.summary(s, w.Names))
	}
	return out
}

func (c *validator) assignment(w wireAssignment) fleet.AssignmentChange {
	c.checkID("items.assignments.zone", w.Zone)
	if w.Version <= w.Base {
		c.fail("items.assignments.version", fmt.Sprint(w.Version), "a version above the base")
	}
	out := fleet.AssignmentChange{
		Zone: fleet.ZoneID(w.Zone), Base: fleet.Version(w.Base), Version: fleet.Version(w.Version),
		Set: make(map[fleet.InstanceID]fleet.Placement, len(w.Set)),
	}
	for id, p := range w.Set {
		c.checkID("items.assignments.set", id)
		out.Set[fleet.InstanceID(id)] = fleet.Placement{Pool: fleet.PoolID(p[0]), Phase: fleet.Phase(p[1])}
	}
	for _, id := range w.Removed {
		out.Removed = append(out.Removed, fleet.InstanceID(id))
	}
	return out
}

// Lengths of the pool and team groups in wireSummary.Pools.
const (
	numbersPerPool = 6
	numbersPerTeam = 3
)

func (c *validator) summary(w wireSummary, names []string) Summary {
	c.checkID("items.loads.m", w.Member)
	c.checkCount("items.loads.age", w.AgeMS)
	s := Summary{
		Member: fleet.MemberID(w.Member), Zone: fleet.ZoneID(c.lookUpName(w.Zone, names)), Stamp: Stamp{Epoch: w.Epoch, Seq: w.Seq},
		Assignment: fleet.Version(w.Assignment), Age: clock.Millis(w.AgeMS), Pools: make(map[fleet.PoolID]PoolLoad, len(w.Pools)),
	}
	for _, numbers := range w.Pools {
		if len(numbers) < numbersPerPool || (len(numbers)-numbersPerPool)%numbersPerTeam != 0 {
			c.fail("items.loads.p", fmt.Sprint(len(numbers)), fmt.Sprintf("%d numbers and %d for each team", numbersPerPool, numbersPerTeam))
			return s
		}
		for _, n := range numbers {
			c.checkCount("items.loads.p", int64(n))
		}
		p := PoolLoad{InFlight: numbers[1], Slots: fleet.Slots(numbers[2]), LongestWait: clock.Millis(numbers[3]), Finished: uint64(numbers[4]), Refused: uint64(numbers[5])}
		for i := numbersPerPool; i < len(numbers); i += numbersPerTeam {
			if p.Teams == nil {
				p.Teams = make(map[fleet.TeamID]TeamLoad, len(numbers)/numbersPerTeam)
			}
			p.Teams[fleet.TeamID(c.lookUpName(numbers[i], names))] = TeamLoad{Running: numbers[i+1], Waiting: numbers[i+2]}
		}
		s.Pools[fleet.PoolID(c.lookUpName(numbers[0], names))] = p
	}
	if len(w.Targets)%2 != 0 {
		c.fail("items.loads.t", fmt.Sprint(len(w.Targets)), "an even number of numbers")
		return s
	}
	for i := 0; i < len(w.Targets); i += 2 {
		if s.Targets == nil {
			s.Targets = make(map[fleet.InstanceID]int, len(w.Targets)/2)
		}
		c.checkCount("items.loads.t", int64(w.Targets[i+1]))
		s.Targets[fleet.InstanceID(c.lookUpName(w.Targets[i], names))] = w.Targets[i+1]
	}
	return s
}

// lookUpName returns the name with index i in the table of names of a message.
func (c *validator) lookUpName(i int, names []string) string {
	if i < 0 || i >= len(names) {
		c.fail("items.loads", fmt.Sprint(i), "an index in items.names")
		return ""
	}
	return names[i]
}
