package job

import "citronknot/clock"

// Outcome is the outcome of a caller's request about a job or a queue.
type Outcome uint8

// The outcomes of requests.
const (
	OutcomeDone        Outcome = iota + 1 // accepted, found or cancelled
	OutcomeNoSuchJob                      // the job certainly does not exist
	OutcomeNoQueue                        // no queue matches the host and the path
	OutcomeNoKey                          // the key is missing or unknown
	OutcomeInvalid                        // the request can't be decoded or violates a limit
	OutcomeNotAccepted                    // the request had no effect and will have none
	OutcomeUnknown                        // the request may have had an effect, or may yet have one
)

// String returns the outcome's name in log lines and metrics.
func (o Outcome) String() string {
	return [...]string{"none", "done", "no_such_job", "no_queue", "no_key", "invalid", "not_accepted", "unknown"}[o]
}

// Answer is the response to a caller's request about a job or a queue.
type Answer struct {
	Outcome    Outcome
	State      State        // of the job, if it was found
	Pending    int          // number of the queue's jobs of which no task has started
	RetryAfter clock.Millis // suggested delay before a retry; 0 for none
	Detail     string       // explanation for the caller; of the state Failed, why the job has failed
}
