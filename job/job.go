package job

import (
	"fmt"
	"strconv"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
)

// ID names a job. The caller chooses it, so that a submission can be repeated.
type ID string

// Resources are what a task needs, what a worker has, or what a team may use.
type Resources struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MB
	GPU    int64
}

// Add returns r plus s.
func (r Resources) Add(s Resources) Resources {
	return Resources{CPU: r.CPU + s.CPU, Memory: r.Memory + s.Memory, GPU: r.GPU + s.GPU}
}

// Sub returns r less s.
func (r Resources) Sub(s Resources) Resources {
	return Resources{CPU: r.CPU - s.CPU, Memory: r.Memory - s.Memory, GPU: r.GPU - s.GPU}
}

// Scale returns r times n.
func (r Resources) Scale(n int64) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// Fits reports whether r is within limit in each dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.CPU <= limit.CPU && r.Memory <= limit.Memory && r.GPU <= limit.GPU
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count        int
	Needs        Resources    // of one task
	Estimate     clock.Millis // the caller's rough estimate of a task's run time
	After        []int        // earlier steps that must be done first
	Checkpoint   bool         // the tasks save their progress
	Gang         bool         // the tasks work only together
	SameRack     bool         // the tasks slow down if they run on more than one rack
	Speculative  bool         // copies may run in parallel
	LongRunning  bool         // the tasks run until the job is cancelled
	Fills        bool         // the tasks use processor time that others leave, outside a worker's capacity
	Label        string       // label that the worker must have; empty for none
	DataRack     fleet.RackID // rack of the data; empty for none
	MaxPerWorker int          // most tasks of the step on one worker; 0 for no limit
	Image        string       // tasks of one image behave alike
	TailTarget   clock.Millis // bound of the tail of response times of a task that serves; 0 for none
	MayMiss      int          // tasks that may be away at once by the system's own actions
}

// Job is one submission.
type Job struct {
	ID       ID
	Queue    fleet.QueueID
	Team     fleet.TeamID // empty on open queues
	Spec     string       // opaque to the system; handed to each task
	Steps    []Step
	Runs     int          // occurrences of a timed job; 0 for a job that runs once, at once
	First    clock.Millis // wall time at which occurrence 0 is due
	Interval clock.Millis
	Accepted clock.Millis // wall time of acceptance
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Runs) }

// Due returns the wall time from which an occurrence may start.
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

// Lasting reports whether the job runs until it is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Chain returns the longest chain of estimated run times through the steps.
func (j *Job) Chain() clock.Millis {
	ends := make([]clock.Millis, len(j.Steps))
	var longest clock.Millis
	for i := range j.Steps {
		var from clock.Millis
		for _, a := range j.Steps[i].After {
			from = max(from, ends[a])
		}
		ends[i] = from + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Work returns the estimated work of one occurrence in thousandths of a core times milliseconds.
func (j *Job) Work() int64 {
	var sum int64
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += int64(s.Count) * s.Needs.CPU * int64(s.Estimate)
	}
	return sum
}

// Ref names a task: ID.OCCURRENCE.STEP.INDEX.
type Ref struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

func (r Ref) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// StepName returns the name of the task's step: ID.OCCURRENCE.STEP.
func (r Ref) StepName() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// ParseRef reads the text form of a Ref.
func ParseRef(text string) (Ref, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return Ref{}, &FieldError{Field: "task", Value: text, Accepted: "ID.OCCURRENCE.STEP.INDEX"}
	}
	r := Ref{Job: ID(parts[0])}
	for i, to := range []*int{&r.Occurrence, &r.Step, &r.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return Ref{}, &FieldError{Field: "task", Value: text, Accepted: "ID.OCCURRENCE.STEP.INDEX"}
		}
		*to = n
	}
	return r, nil
}
