package schedule

import (
	"maps"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// Dump is a snapshot of the state of a pool, for debugging.
type Dump struct {
	Jobs    map[job.State]int `json:"jobs"`
	Waiting int               `json:"tasks_waiting"`
	// NotBegun is the number of tasks that wait for a worker or for earlier steps. Long-running and
	// best-effort ones do not count.
	NotBegun  int                   `json:"tasks_not_begun"`
	Workers   []WorkerDump          `json:"workers"`
	Queues    map[fleet.QueueID]int `json:"jobs_pending"`
	Admission AdmissionDump         `json:"admission"`
	// Suspects are the tasks that are suspected to crash their workers.
	Suspects []SuspectDump `json:"suspects"`
	// Shares are those of the teams that have a weight.
	Shares []ShareDump `json:"shares"`
	// RunTimes are the learned run times, at most maxRunTimesDumped.
	RunTimes []RunTimeDump `json:"run_times"`
	// PlaceWaits are tasks that wait for a place near their data or the rest of their step, at most
	// maxPlaceWaitsDumped of PlaceWaitCount.
	PlaceWaits     []PlaceWaitDump `json:"place_waits"`
	PlaceWaitCount int             `json:"place_wait_count"`
	// Waits are steps with tasks that wait for a start, at most maxWaitsDumped.
	Waits []WaitDump `json:"waits"`
}

// maxWaitsDumped is the number of waiting steps in a dump; those that wait longest are chosen.
const maxWaitsDumped = 64

// WaitDump is a snapshot of a step with tasks that wait for a start.
type WaitDump struct {
	Task     string       `json:"task"` // the first of them
	Team     fleet.TeamID `json:"team"`
	Tasks    int          `json:"tasks"`
	Cause    string       `json:"cause"` // gang, trial, allowance or worker
	WaitedMS clock.Millis `json:"waited_ms"`
}

// maxPlaceWaitsDumped is the number of waits for a near place in a dump.
const maxPlaceWaitsDumped = 64

// PlaceWaitDump is a snapshot of a task that waits for a near place, with the inputs of the last
// decision. Of a gang, it names the first task.
type PlaceWaitDump struct {
	Task       string       `json:"task"`
	Rack       fleet.RackID `json:"rack"`
	RunMS      clock.Millis `json:"run_ms"`
	WaitedMS   clock.Millis `json:"waited_ms"`
	ExpectedMS clock.Millis `json:"expected_ms"`
	Before     int          `json:"before"`
	SlackMS    clock.Millis `json:"slack_ms"`
	LimitMS    clock.Millis `json:"limit_ms"`
}

// maxRunTimesDumped is the number of learned run times in a dump; those with the most observations are
// chosen.
const maxRunTimesDumped = 64

// RunTimeDump is a snapshot of the learned run times of a queue, image and size of tasks, as ratios to
// the submitted estimate.
type RunTimeDump struct {
	Queue        fleet.QueueID `json:"queue"`
	Image        string        `json:"image"`
	SmallestMS   clock.Millis  `json:"smallest_ms"` // estimates of this size are at least this
	Median       float64       `json:"median"`
	P95          float64       `json:"p95"`
	Observations int           `json:"observations"`
}

// AdmissionDump is a snapshot of what decides about new jobs. Work and capacity are in millicores.
type AdmissionDump struct {
	BacklogMS    int64 `json:"backlog_ms"` // time that the capacity takes for all accepted work
	LateMS       int64 `json:"late_ms"`    // the part of it that can no longer be in time
	Capacity     int64 `json:"capacity"`   // for tasks that end
	Arriving     int64 `json:"arriving"`
	Full         bool  `json:"full"` // tasks wait for capacity
	Refused      int   `json:"refused"`
	EstimateMS   int64 `json:"last_refusal_estimate_ms"`
	ObjectiveMS  int64 `json:"last_refusal_objective_ms"`
	RetryAfterMS int64 `json:"last_refusal_retry_after_ms"`
}

// dumpAdmission returns a snapshot of what decides about new jobs.
func (p *Pool) dumpAdmission(now clock.Millis) AdmissionDump {
	capacity := p.capacityForEndingTasks(now)
	d := AdmissionDump{
		Capacity: capacity.CPU, Full: p.full, Refused: p.refused, EstimateMS: int64(p.lastRefusal.Estimate),
		ObjectiveMS: int64(p.lastRefusal.Objective), RetryAfterMS: int64(p.lastRefusal.RetryAfter),
	}
	for _, a := range p.arrivals {
		d.Arriving += a.Capacity.CPU
	}
	var total, late job.Resources
	for _, w := range p.backlog.groups {
		w.foldLate(now)
		total, late = total.Add(w.total), late.Add(w.late)
	}
	d.BacklogMS, d.LateMS = int64(p.drainTime(total, capacity, now)), int64(p.drainTime(late, capacity, now))
	return d
}

// SuspectDump is a snapshot of a suspected task. Of a gang, it names the first task.
type SuspectDump struct {
	Task    string `json:"task"`
	Start   string `json:"start"` // how it starts next: apart or alone
	State   string `json:"state"`
	Crashes string `json:"crashes"` // the workers that crashed under it
}

// WorkerDump is a snapshot of the state of a worker. CPU is in millicores.
type WorkerDump struct {
	ID        fleet.InstanceID `json:"id"`
	Zone      fleet.ZoneID     `json:"zone,omitempty"`
	Answered  bool             `json:"answered"`
	Reachable bool             `json:"reachable"`
	Draining  bool             `json:"draining"`
	Cordoned  bool             `json:"cordoned"`
	Evacuated bool             `json:"evacuated"`
	ColdUntil clock.Millis     `json:"cold_until"` // on the owner's clock; 0 if it has not been cold
	Listed    bool             `json:"listed"`
	Tasks     int              `json:"tasks"`
	CPU       int64            `json:"cpu_used"`
	CPUOf     int64            `json:"cpu_capacity"`
	MemoryMB  int64            `json:"memory_mb_used"`
	Over      bool             `json:"over_capacity"`
	Avoided   bool             `json:"avoided"` // gets no starts after repeated failures
}

// Dump returns a snapshot of the state of the pool at now.
func (p *Pool) Dump(now clock.Millis) *Dump {
	d := &Dump{Admission: p.dumpAdmission(now), Jobs: map[job.State]int{}, Waiting: p.waitingTasks(), Queues: maps.Clone(p.pendingJobs), Shares: p.dumpShares(now)}
	for _, j := range p.jobs {
		d.Jobs[j.durableState]++
		d.NotBegun += j.countNotBegun()
	}
	for _, u := range p.suspects {
		if u.record().suspicion != unsuspected && !u.step.job.state.Final() {
			d.Suspects = append(d.Suspects, SuspectDump{
				Task: u.ref().String(), Start: u.record().suspicion.String(), State: u.state.String(), Crashes: describeCrashes(u.crashes()),
			})
		}
	}
	for _, e := range p.runTimes.Entries(maxRunTimesDumped) {
		d.RunTimes = append(d.RunTimes, RunTimeDump{
			Queue: e.Queue, Image: e.Image, SmallestMS: e.Smallest, Median: e.Median, P95: e.P95, Observations: e.Observations,
		})
	}
	d.PlaceWaitCount = len(p.placeWaits)
	for _, t := range p.placeWaits[:min(len(p.placeWaits), maxPlaceWaitsDumped)] {
		if w := t.wait; w != nil {
			d.PlaceWaits = append(d.PlaceWaits, PlaceWaitDump{
				Task: t.ref().String(), Rack: w.Rack, RunMS: w.Run, WaitedMS: w.Waited, ExpectedMS: w.Expected, Before: w.Before, SlackMS: w.Slack, LimitMS: w.Limit,
			})
		}
	}
	d.Waits = p.dumpWaits(now)
	for _, w := range p.sortedWorkers {
		d.Workers = append(d.Workers, WorkerDump{
			ID: w.ID, Zone: w.Zone, Answered: w.responded, Reachable: w.reachable, Draining: w.Draining, Cordoned: w.cordoned, Listed: !w.unlisted,
			Evacuated: w.evacuated, ColdUntil: w.cold.until,
			Tasks: len(w.tasks), CPU: w.used.CPU, CPUOf: w.Capacity.CPU, MemoryMB: w.used.Memory, Over: w.isOverCapacity(),
			Avoided: now < w.avoidUntil,
		})
	}
	return d
}
