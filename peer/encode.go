package peer

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
	"citronknot/note"
)

// Encode returns the JSON encoding of m. It fails if a release note cannot be encoded.
func Encode(m Message) ([]byte, error) {
	w := wireMessage{From: string(m.From)}
	if m.HasVector {
		v := encodeVector(m.Vector)
		w.Vector = &v
	}
	if !m.Requested.Empty() {
		w.Requested = &wireItemRequest{
			NotesAfter: uint64(m.Requested.NotesAfter), NotesTo: uint64(m.Requested.NotesTo), Zones: encodeVersions(m.Requested.Zones),
		}
		for _, id := range m.Requested.Loads {
			w.Requested.Loads = append(w.Requested.Loads, string(id))
		}
	}
	if !m.Items.Empty() {
		items, err := encodeItems(m.Items)
		if err != nil {
			return nil, err
		}
		w.Items = &items
	}
	if m.Status != (ConfigStatus{}) {
		s := m.Status
		w.Status = &wireConfigStatus{
			NewestVersion: uint64(s.NewestVersion), TableReachable: s.TableReachable, HasReadTable: s.HasReadTable, SubmissionPending: s.SubmissionPending,
			Confirmed: s.Confirmed, ConfirmedVersion: uint64(s.ConfirmedVersion), ConfirmationAgeMS: int64(s.ConfirmationAge),
		}
	}
	text, err := json.Marshal(w)
	return text, eris.Wrap(err, "peer: encode")
}

func encodeVersions(in map[fleet.ZoneID]fleet.Version) map[string]uint64 {
	out := make(map[string]uint64, len(in))
	for id, v := range in {
		out[string(id)] = uint64(v)
	}
	return out
}

func encodeVector(v Vector) wireVector {
	w := wireVector{Config: uint64(v.Config), Zones: encodeVersions(v.Zones), Partial: v.Partial}
	// Sorted IDs compress to a third of the size of unsorted ones.
	for _, id := range slices.Sorted(maps.Keys(v.Loads)) {
		w.Members = append(w.Members, string(id))
		w.Stamps = append(w.Stamps, v.Loads[id].Epoch, v.Loads[id].Seq)
	}
	return w
}

func encodeItems(it Items) (wireItems, error) {
	var w wireItems
	noteBytes := 0
	for _, n := range it.Notes {
		text, err := note.Encode(n)
		if err != nil {
			return w, err
		}
		if noteBytes += len(text); noteBytes > maxMessageNoteBytes && len(w.Notes) > 0 {
			break // the receiver requests the rest in its next message
		}
		w.Notes = append(w.Notes, text)
	}
	for _, c := range it.Assignments {
		a := wireAssignment{Zone: string(c.Zone), Base: uint64(c.Base), Version: uint64(c.Version), Set: map[string][2]string{}}
		for id, p := range c.Set {
			a.Set[string(id)] = [2]string{string(p.Pool), string(p.Phase)}
		}
		for _, id := range c.Removed {
			a.Removed = append(a.Removed, string(id))
		}
		w.Assignments = append(w.Assignments, a)
	}
	var table nameTable
	for _, s := range it.Loads {
		w.Loads = append(w.Loads, table.encodeSummary(s))
	}
	w.Names = table.names
	return w, nil
}

// nameTable assigns consecutive indexes to the names that a message uses.
type nameTable struct {
	names []string
	index map[string]int
}

// indexOf returns the index of name, and adds the name if it is new.
func (n *nameTable) indexOf(name string) int {
	i, ok := n.index[name]
	if !ok {
		if n.index == nil {
			n.index = map[string]int{}
		}
		i = len(n.names)
		n.index[name] = i
		n.names = append(n.names, name)
	}
	return i
}

func (n *nameTable) encodeSummary(s Summary) wireSummary {
	w := wireSummary{
		Member: string(s.Member), Zone: n.indexOf(string(s.Zone)), Epoch: s.Stamp.Epoch, Seq: s.Stamp.Seq,
		Assignment: uint64(s.Assignment), AgeMS: int64(s.Age), Pools: make([][]int, 0, len(s.Pools)),
	}
	for id, p := range s.Pools {
		numbers := []int{n.indexOf(string(id)), p.InFlight, int(p.Slots), int(p.LongestWait), int(p.Finished), int(p.Refused)}
		for team, load := range p.Teams {
			numbers = append(numbers, n.indexOf(string(team)), load.Running, load.Waiting)
		}
		w.Pools = append(w.Pools, numbers)
	}
	for id, inFlight := range s.Targets {
		w.Targets = append(w.Targets, n.indexOf(string(id)), inFlight)
	}
	return w
}
