package job

import "citronknot/clock"

// Policy is what a queue promises its jobs. A job keeps the policy that its queue had when the job was
// accepted, whatever becomes of the queue. The objective of a job is the time by which it should end: Stretch
// times its critical path plus Slack after its acceptance.
type Policy struct {
	Priority int          // 0 is served first
	Attempts int          // failures of one task after which the job fails; 0 means 1
	Stretch  float64      // factor of the critical path in a job's objective
	Slack    clock.Millis // constant part of a job's objective
	Advised  bool         // a step may run only on workers that the adviser names
}

// Objective returns the time from its acceptance within which a job with a critical path should end.
func (p *Policy) Objective(path clock.Millis) clock.Millis {
	return clock.Millis(p.Stretch*float64(path)) + p.Slack
}

// Policy returns the policy for jobs that the queue accepts now.
func (q *Queue) Policy() Policy {
	return Policy{Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Slack: q.Slack, Advised: q.Advice != nil}
}

// wirePolicy is a Policy as it is stored with a job.
type wirePolicy struct {
	Priority int     `json:"priority,omitempty"`
	Attempts int     `json:"attempts,omitempty"`
	Stretch  float64 `json:"stretch,omitempty"`
	Slack    int64   `json:"slack_ms,omitempty"`
	Advised  bool    `json:"advised,omitempty"`
}

func encodePolicy(p *Policy) *wirePolicy {
	if p == nil {
		return nil
	}
	return &wirePolicy{Priority: p.Priority, Attempts: p.Attempts, Stretch: p.Stretch, Slack: int64(p.Slack), Advised: p.Advised}
}

func decodePolicy(w *wirePolicy) *Policy {
	if w == nil {
		return nil
	}
	return &Policy{Priority: w.Priority, Attempts: w.Attempts, Stretch: w.Stretch, Slack: clock.Millis(w.Slack), Advised: w.Advised}
}
