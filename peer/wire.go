package peer

import "encoding/json"

// Field names are short, because a vector is sent several times a second.

type wireMessage struct {
	From      string         `json:"from"`
	Vector    *wireVector    `json:"vec,omitempty"`
	Wants     *wireWants     `json:"want,omitempty"`
	Items     *wireItems     `json:"items,omitempty"`
	Statement *wireStatement `json:"state,omitempty"`
}

type wireVector struct {
	Config  uint64               `json:"config,omitempty"`
	Zones   map[string]uint64    `json:"zone,omitempty"`
	Loads   map[string][2]uint64 `json:"load,omitempty"` // epoch, sequence number
	Partial bool                 `json:"partial,omitempty"`
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
	Member     string              `json:"m"`
	Zone       string              `json:"z"`
	Epoch      uint64              `json:"e"`
	Seq        uint64              `json:"n"`
	Assignment uint64              `json:"a,omitempty"`
	AgeMS      int64               `json:"age,omitempty"`
	Pools      map[string]wireLoad `json:"p,omitempty"`
}

type wireLoad struct {
	InFlight int               `json:"f"`
	Slots    int               `json:"s,omitempty"`
	OldestMS int64             `json:"o,omitempty"`
	Teams    map[string][2]int `json:"t,omitempty"` // running, waiting
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
