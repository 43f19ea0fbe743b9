package peer

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
	"citronknot/note"
)

// Encode returns the JSON text of m.
func Encode(m Message) ([]byte, error) {
	w := wireMessage{From: string(m.From)}
	if m.HasVector {
		v := encodeVector(m.Vector)
		w.Vector = &v
	}
	if !m.Wants.Empty() {
		w.Wants = &wireWants{
			NotesAfter: uint64(m.Wants.NotesAfter), NotesTo: uint64(m.Wants.NotesTo), Zones: encodeVersions(m.Wants.Zones),
		}
		for _, id := range m.Wants.Loads {
			w.Wants.Loads = append(w.Wants.Loads, string(id))
		}
	}
	if !m.Items.Empty() {
		items, err := encodeItems(m.Items)
		if err != nil {
			return nil, err
		}
		w.Items = &items
	}
	if m.Statement != (Statement{}) {
		s := m.Statement
		w.Statement = &wireStatement{
			Held: uint64(s.Held), Reaches: s.Reaches, Started: s.Started, Accepting: s.Accepting,
			Confirmed: s.Confirmed, Version: uint64(s.Version), AgeMS: int64(s.Age),
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
	// Sorted ids are compressed to a third of unsorted ones.
	for _, id := range slices.Sorted(maps.Keys(v.Loads)) {
		w.Members = append(w.Members, string(id))
		w.Stamps = append(w.Stamps, v.Loads[id].Epoch, v.Loads[id].Seq)
	}
	return w
}

func encodeItems(it Items) (wireItems, error) {
	var w wireItems
	size := 0
	for _, n := range it.Notes {
		text, err := note.Encode(n)
		if err != nil {
			return w, err
		}
		if size += len(text); size > maxNoteBytes && len(w.Notes) > 0 {
			break // the receiver asks for the rest
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
	var list names
	for _, s := range it.Loads {
		w.Loads = append(w.Loads, list.summary(s))
	}
	w.Names = list.list
	return w, nil
}

// names numbers the names that a message mentions.
type names struct {
	list  []string
	index map[string]int
}

func (n *names) of(name string) int {
	i, ok := n.index[name]
	if !ok {
		if n.index == nil {
			n.index = map[string]int{}
		}
		i = len(n.list)
		n.index[name] = i
		n.list = append(n.list, name)
	}
	return i
}

func (n *names) summary(s Summary) wireSummary {
	w := wireSummary{
		Member: string(s.Member), Zone: n.of(string(s.Zone)), Epoch: s.Stamp.Epoch, Seq: s.Stamp.Seq,
		Assignment: uint64(s.Assignment), AgeMS: int64(s.Age), Pools: make([][]int, 0, len(s.Pools)),
	}
	for id, p := range s.Pools {
		l := []int{n.of(string(id)), p.InFlight, int(p.Slots), int(p.Oldest), int(p.Finished), int(p.Refused)}
		for t, x := range p.Teams {
			l = append(l, n.of(string(t)), x.Running, x.Waiting)
		}
		w.Pools = append(w.Pools, l)
	}
	for id, inFlight := range s.Targets {
		w.Targets = append(w.Targets, n.of(string(id)), inFlight)
	}
	return w
}
