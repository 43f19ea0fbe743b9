package job

import (
	"fmt"
	"strconv"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
)

// ID identifies a job. The caller chooses it, so that it can safely repeat a submission.
type ID string

// Resources are amounts of CPU, memory and GPUs: the needs of a task, the capacity of a worker or
// the limit of a team.
type Resources struct {
	CPU    int64 // millicores
	Memory int64 // MB
	GPU    int64 // number of GPUs
}

// Add returns r plus s.
func (r Resources) Add(s Resources) Resources {
	return Resources{CPU: r.CPU + s.CPU, Memory: r.Memory + s.Memory, GPU: r.GPU + s.GPU}
}

// Sub returns r minus s.
func (r Resources) Sub(s Resources) Resources {
	return Resources{CPU: r.CPU - s.CPU, Memory: r.Memory - s.Memory, GPU: r.GPU - s.GPU}
}

// Scale returns r times n.
func (r Resources) Scale(n int64) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// Min returns the smaller of r and s in each dimension.
func (r Resources) Min(s Resources) Resources {
	return Resources{CPU: min(r.CPU, s.CPU), Memory: min(r.Memory, s.Memory), GPU: min(r.GPU, s.GPU)}
}

// Max returns the larger of r and s in each dimension.
func (r Resources) Max(s Resources) Resources {
	return Resources{CPU: max(r.CPU, s.CPU), Memory: max(r.Memory, s.Memory), GPU: max(r.GPU, s.GPU)}
}

// Fits reports whether r is within limit in each dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.CPU <= limit.CPU && r.Memory <= limit.Memory && r.GPU <= limit.GPU
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count             int          // number of tasks
	Needs             Resources    // of one task
	Estimate          clock.Millis // the caller's rough estimate of a task's run time
	After             []int        // indexes of earlier steps that must be done first
	Checkpoint        bool         // the tasks save checkpoints, from which another run can resume
	Gang              bool         // the tasks make progress only while all of them run
	SameRack          bool         // the tasks run slower if they are spread over several racks
	Speculative       bool         // copies of a task may run in parallel
	LongRunning       bool         // the tasks run until the job is cancelled
	BestEffort        bool         // the tasks use CPU time that others leave idle, and don't count against a worker's capacity
	Label             string       // label that the worker must have; empty for none
	DataRack          fleet.RackID // rack of the data; empty for none
	MaxPerWorker      int          // limit of the step's tasks on one worker; 0 for no limit
	Image             string       // tasks with the same image are expected to behave alike
	TailLatencyTarget clock.Millis // for tasks that serve requests, the objective for their tail latency; 0 for none
	MaxUnavailable    int          // limit of the tasks that are unavailable at once because of the system's own actions
}

// Occupies returns the resources that a task of the step occupies on a worker. Best-effort tasks occupy
// no CPU.
func (s *Step) Occupies() Resources {
	needs := s.Needs
	if s.BestEffort {
		needs.CPU = 0
	}
	return needs
}

// Job is a job as a caller submits it.
type Job struct {
	ID       ID
	Queue    fleet.QueueID
	Team     fleet.TeamID // empty on open queues
	Spec     string       // opaque to the system; passed to each task
	Steps    []Step
	Runs     int          // occurrences of a timed job; 0 for a job that runs once, as soon as possible
	First    clock.Millis // wall time at which occurrence 0 is due
	Interval clock.Millis // between the due times of successive occurrences
	Accepted clock.Millis // wall time of acceptance
	Policy   *Policy      // of the queue at acceptance; nil if an earlier version accepted the job
}

// Occurrences returns the number of times that the steps are to run.
func (j *Job) Occurrences() int { return max(1, j.Runs) }

// Due returns the wall time from which an occurrence may start, or 0 if the job is not timed.
func (j *Job) Due(occurrence int) clock.Millis {
	if j.Runs == 0 {
		return 0
	}
	return j.First + clock.Millis(occurrence)*j.Interval
}

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// LongRunning reports whether a step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the length of the critical path: the largest sum of estimated run times
// along a sequence of dependent steps.
func (j *Job) CriticalPath() clock.Millis {
	ends := make([]clock.Millis, len(j.Steps))
	var longest clock.Millis
	for i := range j.Steps {
		var start clock.Millis
		for _, a := range j.Steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Work returns the estimated work of one occurrence in millicore milliseconds.
func (j *Job) Work() int64 {
	var sum int64
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += int64(s.Count) * s.Needs.CPU * int64(s.Estimate)
	}
	return sum
}

// Ref identifies a task. Its text form is ID.OCCURRENCE.STEP.INDEX.
type Ref struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the text form of r.
func (r Ref) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// StepName returns the name of the task's step: ID.OCCURRENCE.STEP.
func (r Ref) StepName() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// ParseRef parses the text form of a Ref. It fails with *FieldError if the text has another form.
func ParseRef(text string) (Ref, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return Ref{}, &FieldError{Field: "task", Value: text, Accepted: "ID.OCCURRENCE.STEP.INDEX"}
	}
	r := Ref{Job: ID(parts[0])}
	for i, number := range []*int{&r.Occurrence, &r.Step, &r.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return Ref{}, &FieldError{Field: "task", Value: text, Accepted: "ID.OCCURRENCE.STEP.INDEX"}
		}
		*number = n
	}
	return r, nil
}
