package peer

import "encoding/json"

// Vectors and load summaries are most of what members send. They are kept as arrays with short
// field names, and the names in load summaries are listed once in a message, which takes less
// than half of the bytes and of the processor time of nested objects.

type wireMessage struct {
	From      string         `json:"from"`
	Vector    *wireVector    `json:"vec,omitempty"`
	Wants     *wireWants     `json:"want,omitempty"`
	Items     *wireItems     `json:"items,omitempty"`
	Statement *wireStatement `json:"state,omitempty"`
}

type wireVector struct {
	Config  uint64            `json:"config,omitempty"`
	Zones   map[string]uint64 `json:"zone,omitempty"`
	Members []string          `json:"load,omitempty"`
	Stamps  []uint64          `json:"at,omitempty"` // epoch and sequence number of each member
	Partial bool              `json:"partial,omitempty"`
}

type wireWants struct {
	NotesAfter uint64            `json:"after,omitempty"`
	NotesTo    uint64            `json:"to,omitempty"`
	Zones      map[string]uint64 `json:"zone,omitempty"`
	Loads      []string          `json:"load,omitempty"`
}

type wireItems struct {
	Notes       []json.RawMessage `json:"notes,omitempty"`
	Assignments []wireAssignment  `json:"assignments,omitempty"`
	Names       []string          `json:"names,omitempty"` // zones, pools and teams of Loads
	Loads       []wireSummary     `json:"loads,omitempty"`
}

type wireAssignment struct {
	Zone    string               `json:"zone"`
	Base    uint64               `json:"base,omitempty"`
	Version uint64               `json:"version"`
	Set     map[string][2]string `json:"set,omitempty"` // pool, phase
	Removed []string             `json:"removed,omitempty"`
}

type wireSummary struct {
	Member     string `json:"m"`
	Zone       int    `json:"z"` // index in names
	Epoch      uint64 `json:"e"`
	Seq        uint64 `json:"n"`
	Assignment uint64 `json:"a,omitempty"`
	AgeMS      int64  `json:"age,omitempty"`
	// Pools holds for each pool its index in names, in-flight, slots, the longest wait in
	// milliseconds, finished and refused requests, then for each team its index in names, running and waiting requests.
	Pools [][]int `json:"p,omitempty"`
	// Targets holds for each target its index in names and its requests in flight.
	Targets []int `json:"t,omitempty"`
}

type wireStatement struct {
	Held      uint64 `json:"held"`
	Reaches   bool   `json:"reaches,omitempty"`
	Started   bool   `json:"started,omitempty"`
	Accepting bool   `json:"accepting,omitempty"`
	Confirmed bool   `json:"confirmed,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	AgeMS     int64  `json:"age_ms,omitempty"`
}
