package note

// Schema is the version of the format that this package writes and reads.
const Schema = 1

type wireNote struct {
	Schema    int       `json:"schema"`
	ID        string    `json:"id"`
	Base      uint64    `json:"base"`
	Added     wireItems `json:"added,omitzero"`
	Changed   wireItems `json:"changed,omitzero"`
	Withdrawn wireRefs  `json:"withdrawn,omitzero"`
}

type wireItems struct {
	Pools     []wirePool     `json:"pools,omitempty"`
	Queues    []wireQueue    `json:"queues,omitempty"`
	Teams     []wireTeam     `json:"teams,omitempty"`
	Keys      []wireKey      `json:"keys,omitempty"`
	Instances []wireInstance `json:"instances,omitempty"`
}

type wireRefs struct {
	Pools     []string `json:"pools,omitempty"`
	Queues    []string `json:"queues,omitempty"`
	Teams     []string `json:"teams,omitempty"`
	Keys      []string `json:"keys,omitempty"`
	Instances []string `json:"instances,omitempty"`
}

type wirePool struct {
	ID           string `json:"id"`
	Spare        bool   `json:"spare,omitempty"`
	MaxAbsent    int    `json:"max_absent"`
	EveryMS      int64  `json:"maintenance_every_ms,omitempty"`
	DrainBoundMS int64  `json:"drain_bound_ms,omitempty"`
}

type wireQueue struct {
	ID                string `json:"id"`
	Pool              string `json:"pool"`
	Open              bool   `json:"open,omitempty"`
	Idempotent        bool   `json:"idempotent,omitempty"`
	Urgent            bool   `json:"urgent,omitempty"`
	DefaultDeadlineMS int64  `json:"default_deadline_ms"`
	MaxDeadlineMS     int64  `json:"max_deadline_ms"`
	MaxWaiting        int    `json:"max_waiting"`
}

type wireTeam struct {
	ID             string `json:"id"`
	Share          int    `json:"share"`
	Limit          int    `json:"limit"`
	MaxStalenessMS int64  `json:"max_staleness_ms,omitempty"`
}

type wireKey struct {
	Hash string `json:"hash"`
	Team string `json:"team"`
}

type wireInstance struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Rack        string `json:"rack,omitempty"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Pool        string `json:"pool"`
}
