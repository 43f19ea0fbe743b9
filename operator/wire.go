package operator

type wireAccepted struct {
	Version uint64 `json:"version"`
	Note    string `json:"note"`
}

type wireFault struct {
	Field    string `json:"field"`
	Value    string `json:"value"`
	Accepted string `json:"accepted"`
}

type wireError struct {
	Error  string      `json:"error"`
	Faults []wireFault `json:"faults,omitempty"`
	Head   uint64      `json:"head,omitempty"`
}

type wireStatus struct {
	Version   uint64 `json:"version"`
	Note      string `json:"note"`
	Pools     int    `json:"pools"`
	Queues    int    `json:"queues"`
	Teams     int    `json:"teams"`
	Keys      int    `json:"keys"`
	Instances int    `json:"instances"`
}
