package peer

import "encoding/json"

// The wire types are the JSON form of a message. Vectors and load summaries are most of the
// traffic between members, so they are arrays with short field names, and the names used in load
// summaries are listed once per message. This takes less than half of the bytes and of the CPU
// time that nested objects take.

type wireMessage struct {
	From      string            `json:"from"`
	Vector    *wireVector       `json:"vec,omitempty"`
	Requested *wireItemRequest  `json:"want,omitempty"`
	Items     *wireItems        `json:"items,omitempty"`
	Status    *wireConfigStatus `json:"state,omitempty"`
}

type wireVector struct {
	Config  uint64            `json:"config,omitempty"`
	Zones   map[string]uint64 `json:"zone,omitempty"`
	Members []string          `json:"load,omitempty"`
	Stamps  []uint64          `json:"at,omitempty"` // epoch and sequence number of each member, in turn
	Partial bool              `json:"partial,omitempty"`
}

type wireItemRequest struct {
	NotesAfter uint64            `json:"after,omitempty"`
	NotesTo    uint64            `json:"to,omitempty"`
	Zones      map[string]uint64 `json:"zone,omitempty"`
	Loads      []string          `json:"load,omitempty"`
}

type wireItems struct {
	Notes       []json.RawMessage `json:"notes,omitempty"`
	Assignments []wireAssignment  `json:"assignments,omitempty"`
	Names       []string          `json:"names,omitempty"` // zones, pools, teams and targets to which Loads refers by index
	Loads       []wireSummary     `json:"loads,omitempty"`
}

type wireAssignment struct {
	Zone    string               `json:"zone"`
	Base    uint64               `json:"base,omitempty"`
	Version uint64               `json:"version"`
	Set     map[string][2]string `json:"set,omitempty"` // pool and phase of each changed instance
	Removed []string             `json:"removed,omitempty"`
}

type wireSummary struct {
	Member     string `json:"m"`
	Zone       int    `json:"z"` // index in wireItems.Names
	Epoch      uint64 `json:"e"`
	Seq        uint64 `json:"n"`
	Assignment uint64 `json:"a,omitempty"`
	AgeMS      int64  `json:"age,omitempty"`
	// Pools holds one array for each pool: the index of its name, the requests in flight, the
	// slots, the longest wait in milliseconds, the finished and the refused requests, and then,
	// for each team, the index of its name, its running and its waiting requests.
	Pools [][]int `json:"p,omitempty"`
	// Targets holds the index of the name and the requests in flight of each target, in turn.
	Targets []int `json:"t,omitempty"`
}

type wireConfigStatus struct {
	NewestVersion     uint64 `json:"held"`
	TableReachable    bool   `json:"reaches,omitempty"`
	HasReadTable      bool   `json:"started,omitempty"`
	SubmissionPending bool   `json:"accepting,omitempty"`
	Confirmed         bool   `json:"confirmed,omitempty"`
	ConfirmedVersion  uint64 `json:"version,omitempty"`
	ConfirmationAgeMS int64  `json:"age_ms,omitempty"`
}
