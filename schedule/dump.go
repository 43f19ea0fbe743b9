package schedule

import (
	"citronknot/fleet"
	"citronknot/job"
)

// Dump is the state of a pool, for people.
type Dump struct {
	Jobs    map[job.State]int     `json:"jobs"`
	Waiting int                   `json:"tasks_waiting"`
	Workers []WorkerDump          `json:"workers"`
	Queues  map[fleet.QueueID]int `json:"jobs_pending"`
}

// WorkerDump is the state of a worker.
type WorkerDump struct {
	ID        fleet.InstanceID `json:"id"`
	Answered  bool             `json:"answered"`
	Reachable bool             `json:"reachable"`
	Draining  bool             `json:"draining"`
	Cordoned  bool             `json:"cordoned"`
	Listed    bool             `json:"listed"`
	Tasks     int              `json:"tasks"`
	CPU       int64            `json:"cpu_used"`
	CPUOf     int64            `json:"cpu_capacity"`
	MemoryMB  int64            `json:"memory_mb_used"`
}

// Dump returns the state of the pool.
func (p *Pool) Dump() *Dump {
	d := &Dump{Jobs: map[job.State]int{}, Waiting: p.waitingTasks(), Queues: p.Pending()}
	for _, j := range p.jobs {
		d.Jobs[j.shown]++
	}
	for _, w := range p.order {
		d.Workers = append(d.Workers, WorkerDump{
			ID: w.ID, Answered: w.answered, Reachable: w.reachable, Draining: w.Draining, Cordoned: w.cordoned, Listed: !w.lost,
			Tasks: len(w.tasks), CPU: w.used.CPU, CPUOf: w.Capacity.CPU, MemoryMB: w.used.Memory,
		})
	}
	return d
}
