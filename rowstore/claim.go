package rowstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// MaxRecordedBody is the size in bytes up to which the body of a response is recorded.
const MaxRecordedBody = 16 << 10

// ClaimRequest is a request that is not idempotent and is about to run.
type ClaimRequest struct {
	Team           fleet.TeamID
	Queue          fleet.QueueID
	IdempotencyKey string
	Request        fleet.RequestID // unique to this attempt
}

// RecordedAnswer is the response of a request that ran.
type RecordedAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Outcome is what is known about whether a claimed request ran.
type Outcome int

// The outcomes of a claimed request.
const (
	OutcomeUnknown Outcome = iota
	OutcomeRan
	OutcomeNotRun
)

// ClaimState is the reason why a claim was refused.
type ClaimState int

const (
	// ClaimedByOther means that another request with the same key holds the claim. That request
	// is running, or its claimant died; whether it ran is unknown.
	ClaimedByOther ClaimState = iota
	// ClaimRanAlready means that the request ran; Answer is its response, if that was recorded.
	ClaimRanAlready
	// ClaimOutcomeUnknown means that the claimant could not determine whether the request ran.
	ClaimOutcomeUnknown
	// ClaimStoreUnavailable means that the claim could not be confirmed. The request was
	// certainly not sent, and may be tried again.
	ClaimStoreUnavailable
)

// ClaimError reports that a request must not be sent.
type ClaimError struct {
	State  ClaimState
	Holder fleet.RequestID // the request that holds the claim
	Answer *RecordedAnswer // of ClaimRanAlready
	Err    error           // of ClaimStoreUnavailable
}

func (e *ClaimError) Error() string {
	switch e.State {
	case ClaimRanAlready:
		return fmt.Sprintf("rowstore: request ran already as %s", e.Holder)
	case ClaimOutcomeUnknown:
		return fmt.Sprintf("rowstore: outcome of earlier request %s is unknown", e.Holder)
	case ClaimStoreUnavailable:
		return fmt.Sprintf("rowstore: claim unconfirmed: %v", e.Err)
	}
	return fmt.Sprintf("rowstore: claimed by request %s", e.Holder)
}

func (e *ClaimError) Unwrap() error { return e.Err }

// The states of a claim row.
const (
	claimRunning = "running"
	claimRan     = "ran"
	claimUnknown = "unknown"
)

type wireClaim struct {
	Claimant  string      `json:"claimant"`
	Request   string      `json:"request"`
	Queue     string      `json:"queue"`
	State     string      `json:"state"`
	CreatedMS int64       `json:"created_ms"` // wall time of the claimant, for expiry after a day
	Answer    *wireAnswer `json:"answer,omitempty"`
}

type wireAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// claimRef returns the row of a claim. The key is hashed, so that its length and characters do
// not matter.
func claimRef(r ClaimRequest) Ref {
	sum := sha256.Sum256([]byte(r.IdempotencyKey))
	return Ref{Table: "claims", Key: url.PathEscape(string(r.Team)) + "/" + hex.EncodeToString(sum[:])}
}

func newClaim(r ClaimRequest, claimant fleet.MemberID, now clock.Millis) wireClaim {
	return wireClaim{
		Claimant: string(claimant), Request: string(r.Request), Queue: string(r.Queue), State: claimRunning, CreatedMS: int64(now),
	}
}

func encodeClaim(w wireClaim) []byte {
	text, _ := json.Marshal(w) // a struct of strings and numbers always encodes
	return text
}

// refusal returns the error for a request whose claim row r belongs to another request.
func refusal(r Row) error {
	var w wireClaim
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return eris.Wrapf(err, "rowstore: claim %s", r.Key)
	}
	e := &ClaimError{Holder: fleet.RequestID(w.Request)}
	switch w.State {
	case claimRan:
		e.State = ClaimRanAlready
		if w.Answer != nil {
			e.Answer = &RecordedAnswer{Status: w.Answer.Status, Header: w.Answer.Header, Body: w.Answer.Body}
		}
	case claimUnknown:
		e.State = ClaimOutcomeUnknown
	}
	return e
}

// matches reports whether row r is the claim w.
func (w wireClaim) matches(r Row) bool {
	var stored wireClaim
	return json.Unmarshal(r.Value, &stored) == nil && stored.Request == w.Request && stored.Claimant == w.Claimant
}

// withOutcome returns the row that records an outcome.
func (w wireClaim) withOutcome(outcome Outcome, answer *RecordedAnswer) wireClaim {
	w.State = claimUnknown
	if outcome == OutcomeRan {
		w.State = claimRan
		if answer != nil && len(answer.Body) <= MaxRecordedBody {
			w.Answer = &wireAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
		}
	}
	return w
}
