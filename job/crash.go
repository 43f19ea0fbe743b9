package job

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// Ages of runs that decide what a crash of their worker says of their tasks.
const (
	// StartupAge is how long a run counts as just started. A task that crashes its worker usually does
	// so as it starts.
	StartupAge clock.Millis = 150
	// ProvenAge is the age from which on a crash hardly counts against the task.
	ProvenAge clock.Millis = 10_000
	// CrashAgeSpread is the largest difference between the ages at which runs of a task are lost that
	// crashes its workers at its start. It covers the time between two polls of a worker.
	CrashAgeSpread clock.Millis = 50
)

// Crash is a run of a task that was lost when its worker crashed.
type Crash struct {
	Run         int
	Worker      fleet.InstanceID
	Incarnation clock.Millis // of the worker
	Age         clock.Millis // from the order to start the run until the worker stopped responding, or a lower bound; -1 if unknown
	Alone       bool         // nothing else that could have caused the crash ran on the worker
	Peers       int          // other runs that had just been started on the worker, too
}

// Within reports whether the worker is known to have crashed within age after the start of the run.
func (c *Crash) Within(age clock.Millis) bool { return c.Age >= 0 && c.Age <= age }

// Trial is a run of a task under which workers have crashed. It is recorded so that another crash
// counts even if the owner of the pool is lost with the worker. If the run is alone, its trial is
// durable before the start is ordered.
type Trial struct {
	Run         int
	Worker      fleet.InstanceID
	Incarnation clock.Millis // of the worker
	Alone       bool         // see Crash.Alone
}

// AddCrash records that a run of a task was lost when its worker crashed, and returns the crashes of
// the task. A run counts once.
func (p *Progress) AddCrash(at Position, c Crash) []Crash {
	if p.Crashes == nil {
		p.Crashes = map[Position][]Crash{}
	}
	if !slices.ContainsFunc(p.Crashes[at], func(o Crash) bool { return o.Run == c.Run }) {
		p.Crashes[at] = append(p.Crashes[at], c)
	}
	return p.Crashes[at]
}

// ForgetCrashes removes the crashes of a task.
func (p *Progress) ForgetCrashes(at Position) { delete(p.Crashes, at) }

// SetTrial records the trial that a task begins.
func (p *Progress) SetTrial(at Position, t Trial) {
	if p.Trials == nil {
		p.Trials = map[Position]Trial{}
	}
	p.Trials[at] = t
}

// EndTrial removes the trial of a task, if it is that of the given run, and reports whether it did.
func (p *Progress) EndTrial(at Position, run int) bool {
	if t, ok := p.Trials[at]; !ok || t.Run != run {
		return false
	}
	delete(p.Trials, at)
	return true
}
