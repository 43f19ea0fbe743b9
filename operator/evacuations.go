package operator

// WireEvacuations is the response body of GET /v1/evacuations: what the member that answers knows.
type WireEvacuations struct {
	Evacuations []WireEvacuation `json:"evacuations"`
	ConfirmedMS int64            `json:"confirmed_ms"`      // age of the latest reading of the requests; -1 if there is none
	Missing     []string         `json:"missing,omitempty"` // one entry for each pool whose owner did not respond, with the reason
}

// WireEvacuation is an entry of GET /v1/evacuations: a zone in which nothing is started.
type WireEvacuation struct {
	Zone    string               `json:"zone"`
	Since   string               `json:"since"`   // when the member read the request, in UTC
	Version uint64               `json:"version"` // of the operator's row
	Pools   []WireEvacuationPool `json:"pools"`   // only pools with workers in the zone
}

// WireEvacuationPool is what a pool has in an evacuated zone, as its owner has recorded it.
type WireEvacuationPool struct {
	Pool    string `json:"pool"`
	Workers int    `json:"workers"`
	Runs    int    `json:"runs"`
}
