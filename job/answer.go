package job

import "citronknot/clock"

// Outcome is what became of a caller's call on a job.
type Outcome uint8

// The outcomes of calls.
const (
	OutcomeDone        Outcome = iota + 1 // accepted, found or cancelled
	OutcomeNoSuchJob                      // certain
	OutcomeNoQueue                        // no queue has the path
	OutcomeNoKey                          // the key is missing or unknown
	OutcomeInvalid                        // the call can't be understood
	OutcomeNotAccepted                    // the call had no effect and never will have
	OutcomeUnknown                        // the call may have had, or may yet have, an effect
)

func (o Outcome) String() string {
	return [...]string{"none", "done", "no_such_job", "no_queue", "no_key", "invalid", "not_accepted", "unknown"}[o]
}

// Answer answers a caller's call on a job.
type Answer struct {
	Outcome    Outcome
	State      State        // of a job that was found
	Pending    int          // jobs of a queue of which no task has started
	RetryAfter clock.Millis // 0 for none
	Detail     string
}
