package operator

import (
	"encoding/json"

	"citronknot/fleet"
	"citronknot/note"
)

const (
	contentJSON    = "application/json"
	contentProblem = "application/problem+json"
)

// WireAccepted is the response body of POST /v1/notes.
type WireAccepted struct {
	Version uint64 `json:"version"`
	Note    string `json:"note"`
	DryRun  bool   `json:"dry_run,omitempty"`
}

// WireStatus is the response body of GET /v1/status.
type WireStatus struct {
	Version   uint64 `json:"version"`
	Note      string `json:"note"`
	Pools     int    `json:"pools"`
	Queues    int    `json:"queues"`
	Teams     int    `json:"teams"`
	Keys      int    `json:"keys"`
	Instances int    `json:"instances"`
}

// WireHistory is the response body of GET /v1/notes: a page of the history, newest first.
type WireHistory struct {
	Notes []WireSummary `json:"notes"`
	Next  uint64        `json:"next,omitempty"` // value of the parameter before for the next page; absent on the last page
}

// WireSummary is an entry of GET /v1/notes: an accepted release note with the numbers of objects
// that it adds, changes and withdraws.
type WireSummary struct {
	Version   uint64 `json:"version"`
	Note      string `json:"note"`
	Added     int    `json:"added"`
	Changed   int    `json:"changed"`
	Withdrawn int    `json:"withdrawn"`
}

// WireNote is the response body of GET /v1/notes/{version}.
type WireNote struct {
	Version uint64          `json:"version"`
	Note    json.RawMessage `json:"note"`
}

// WirePool is an entry of GET /v1/pools. Instances and slots count what is in the pool now.
type WirePool struct {
	ID           string   `json:"id"`
	Spare        bool     `json:"spare"`
	MaxAbsent    int      `json:"max_absent"`
	EveryMS      int64    `json:"maintenance_every_ms"`
	DrainBoundMS int64    `json:"drain_bound_ms"`
	Queues       []string `json:"queues"`
	Instances    int      `json:"instances"`
	Slots        int      `json:"slots"`
}

// WirePools is the response body of GET /v1/pools.
type WirePools struct {
	Pools []WirePool `json:"pools"`
}

// WireTeam is an entry of GET /v1/teams.
type WireTeam struct {
	ID             string `json:"id"`
	Share          int    `json:"share"`
	Limit          int    `json:"limit"`
	MaxStalenessMS int64  `json:"max_staleness_ms"`
	Keys           int    `json:"keys"`
}

// WireTeams is the response body of GET /v1/teams.
type WireTeams struct {
	Teams []WireTeam `json:"teams"`
}

// WireKey is an entry of GET /v1/keys. The hash is shortened to its first 12 digits.
type WireKey struct {
	Hash string `json:"hash"`
	Team string `json:"team"`
}

// WireKeys is the response body of GET /v1/keys.
type WireKeys struct {
	Keys []WireKey `json:"keys"`
}

// WireInstance is an entry of GET /v1/instances. Pool and phase are those in force.
type WireInstance struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Rack        string `json:"rack"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Pool        string `json:"pool"`
	Phase       string `json:"phase"`
}

// WireInstances is the response body of GET /v1/instances.
type WireInstances struct {
	Instances []WireInstance `json:"instances"`
}

// WireZoneLost is the response body of POST /v1/zones/{id}/lost.
type WireZoneLost struct {
	Zone string `json:"zone"`
}

// WireDrain is the response body of POST /v1/instances/{id}/drain and /return.
type WireDrain struct {
	Instance string `json:"instance"`
	Drain    bool   `json:"drain"`
}

type wireFault struct {
	Field    string `json:"field"`
	Value    string `json:"value"`
	Accepted string `json:"accepted"`
	Line     int    `json:"line,omitempty"`
	Column   int    `json:"column,omitempty"`
}

// wireProblem is a problem document. Its members field and accepted repeat the first fault, as in
// the problem documents that callers receive.
type wireProblem struct {
	Type          string      `json:"type"`
	Title         string      `json:"title"`
	Status        int         `json:"status"`
	Detail        string      `json:"detail"`
	Field         string      `json:"field,omitempty"`
	Accepted      string      `json:"accepted,omitempty"`
	Faults        []wireFault `json:"faults,omitempty"`
	Head          uint64      `json:"head,omitempty"`
	MaybeAccepted bool        `json:"maybe_accepted,omitempty"`
}

// encodeProblem returns the problem document of p.
func encodeProblem(p *Problem) wireProblem {
	wire := wireProblem{
		Type: "about:blank", Title: p.Title, Status: p.Status, Detail: p.Detail, Head: uint64(p.Head), MaybeAccepted: p.MaybeAccepted,
	}
	for i, f := range p.Faults {
		if i == 0 {
			wire.Field, wire.Accepted = f.Field, f.Accepted
		}
		wire.Faults = append(wire.Faults, wireFault{Field: f.Field, Value: f.Value, Accepted: f.Accepted, Line: f.Line, Column: f.Column})
	}
	return wire
}

// decodeProblem returns the problem that text holds. If text is not a problem document, the
// detail is the beginning of text.
func decodeProblem(status int, text []byte) *Problem {
	var wire wireProblem
	if json.Unmarshal(text, &wire) != nil || wire.Title == "" {
		const maxDetailSize = 200
		return &Problem{Status: status, Title: "unexpected answer", Detail: string(text[:min(len(text), maxDetailSize)])}
	}
	problem := &Problem{Status: status, Title: wire.Title, Detail: wire.Detail, Head: fleet.Version(wire.Head), MaybeAccepted: wire.MaybeAccepted}
	for _, f := range wire.Faults {
		problem.Faults = append(problem.Faults, note.Fault{
			Position: note.Position{Line: f.Line, Column: f.Column},
			Fault:    fleet.Fault{Field: f.Field, Value: f.Value, Accepted: f.Accepted},
		})
	}
	return problem
}
