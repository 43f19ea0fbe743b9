package hosted

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/machine"
	"citronknot/owner"
	"citronknot/quota"
	"citronknot/schedule"
)

// wireResources are amounts of CPU in millicores, memory in MB, and GPUs.
type wireResources struct {
	CPU    int64 `json:"cpu,omitempty"`
	Memory int64 `json:"memory_mb,omitempty"`
	GPU    int64 `json:"gpu,omitempty"`
}

func encodeResources(r job.Resources) wireResources {
	return wireResources{CPU: r.CPU, Memory: r.Memory, GPU: r.GPU}
}

func (w wireResources) decode() job.Resources {
	return job.Resources{CPU: w.CPU, Memory: w.Memory, GPU: w.GPU}
}

// wireUsage is a team's usage in a pool.
type wireUsage struct {
	Used      wireResources `json:"used"`
	Demand    wireResources `json:"want"` // Used and the needs of waiting tasks
	Allowance wireResources `json:"allowance"`
	// Of the tasks and gangs that wait, as a whole; members of earlier versions don't send them.
	Smallest wireResources `json:"smallest"`
	Largest  wireResources `json:"largest"`
}

func encodeUsage(u quota.Usage) wireUsage {
	return wireUsage{
		Used: encodeResources(u.Used), Demand: encodeResources(u.Demand), Allowance: encodeResources(u.Allowance),
		Smallest: encodeResources(u.Smallest), Largest: encodeResources(u.Largest),
	}
}

func (w wireUsage) decode() quota.Usage {
	return quota.Usage{
		Used: w.Used.decode(), Demand: w.Demand.decode(), Allowance: w.Allowance.decode(),
		Smallest: w.Smallest.decode(), Largest: w.Largest.decode(),
	}
}

// wireWorkerLoad is what runs on a worker: the number of all tasks and of long-running ones.
type wireWorkerLoad struct {
	ID          string `json:"id"`
	Tasks       int    `json:"tasks,omitempty"`
	LongRunning int    `json:"lasting,omitempty"`
	Drained     bool   `json:"emptied,omitempty"` // takes no new tasks and runs none
}

// wireReport is the report of a pool's owner to the fleet leader. CPU is in millicores.
type wireReport struct {
	Pool        string               `json:"pool"`
	Fence       uint64               `json:"fence"`
	Workers     []wireWorkerLoad     `json:"workers"`
	LongRunning int64                `json:"lasting_cpu"`    // needed by long-running tasks
	Active      int64                `json:"active_cpu"`     // used or awaited in time by other tasks
	Arrived     int64                `json:"arrived_cpu_ms"` // all work so far, times milliseconds
	Teams       map[string]wireUsage `json:"teams,omitempty"`
}

// wireDirection is the fleet leader's response to a wireReport.
type wireDirection struct {
	Cordon        []string                 `json:"cordon,omitempty"`       // workers that take no new tasks
	KeepCordons   bool                     `json:"keep_cordons,omitempty"` // see owner.Direction
	Ended         []string                 `json:"ended,omitempty"`        // workers that ended through orders to machines
	Allowances    map[string]wireResources `json:"allowances,omitempty"`
	HasAllowances bool                     `json:"ruled,omitempty"` // Allowances applies, even if it is empty
	Arriving      []wireArrival            `json:"arriving,omitempty"`
}

// wireArrival is capacity on its way to a pool.
type wireArrival struct {
	InMS     int64         `json:"in_ms"`
	Capacity wireResources `json:"capacity"`
}

func encodeReport(report *owner.Report) wireReport {
	w := wireReport{
		Pool: string(report.Pool), Fence: report.Fence, LongRunning: report.LongRunning, Active: report.Active, Arrived: report.Arrived,
		Teams: make(map[string]wireUsage, len(report.Teams)),
	}
	for _, load := range report.Workers {
		w.Workers = append(w.Workers, wireWorkerLoad{ID: string(load.ID), Tasks: load.Tasks, LongRunning: load.LongRunning, Drained: load.Drained})
	}
	for id, usage := range report.Teams {
		w.Teams[string(id)] = encodeUsage(usage)
	}
	return w
}

func (w *wireReport) decode() owner.Report {
	report := owner.Report{
		PoolLoad: machine.PoolLoad{
			Pool: fleet.PoolID(w.Pool), Fence: w.Fence,
			Load: schedule.Load{LongRunning: w.LongRunning, Active: w.Active, Arrived: w.Arrived},
		},
		Teams: make(map[fleet.TeamID]quota.Usage, len(w.Teams)),
	}
	for _, load := range w.Workers {
		report.Workers = append(report.Workers, schedule.WorkerLoad{ID: fleet.InstanceID(load.ID), Tasks: load.Tasks, LongRunning: load.LongRunning, Drained: load.Drained})
	}
	for id, usage := range w.Teams {
		report.Teams[fleet.TeamID(id)] = usage.decode()
	}
	return report
}

func encodeDirection(direction *owner.Direction) wireDirection {
	w := wireDirection{KeepCordons: direction.KeepCordons, HasAllowances: direction.Allowances != nil, Allowances: make(map[string]wireResources, len(direction.Allowances))}
	for _, id := range direction.Cordon {
		w.Cordon = append(w.Cordon, string(id))
	}
	for _, id := range direction.Ended {
		w.Ended = append(w.Ended, string(id))
	}
	for _, a := range direction.Arriving {
		w.Arriving = append(w.Arriving, wireArrival{InMS: int64(a.In), Capacity: encodeResources(a.Capacity)})
	}
	for id, a := range direction.Allowances {
		w.Allowances[string(id)] = encodeResources(a)
	}
	return w
}

func (w *wireDirection) decode() owner.Direction {
	direction := owner.Direction{KeepCordons: w.KeepCordons}
	for _, id := range w.Cordon {
		direction.Cordon = append(direction.Cordon, fleet.InstanceID(id))
	}
	for _, id := range w.Ended {
		direction.Ended = append(direction.Ended, fleet.InstanceID(id))
	}
	for _, a := range w.Arriving {
		direction.Arriving = append(direction.Arriving, owner.Arrival{In: clock.Millis(a.InMS), Capacity: a.Capacity.decode()})
	}
	if w.HasAllowances {
		direction.Allowances = make(map[fleet.TeamID]job.Resources, len(w.Allowances))
	}
	for id, a := range w.Allowances {
		direction.Allowances[fleet.TeamID(id)] = a.decode()
	}
	return direction
}

// serveReport handles a pool's report from another member. It responds with status 421 if this
// member is not the fleet leader.
func (p *Process) serveReport(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	leader := p.fleetLeader
	p.mu.Unlock()
	if leader == nil {
		writeResponse(w, http.StatusMisdirectedRequest, wireResponse{Reason: "this member does not hold the fleet"})
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxJobBytes))
	var report wireReport
	if err == nil {
		err = json.Unmarshal(body, &report)
	}
	if err != nil {
		writeResponse(w, http.StatusServiceUnavailable, wireResponse{Reason: err.Error()})
		return
	}
	direction := leader.handleReport(report.decode())
	response, err := json.Marshal(encodeDirection(&direction))
	if err != nil {
		writeResponse(w, http.StatusServiceUnavailable, wireResponse{Reason: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(response) // an error means that the member has disconnected; it reports again
}

// report sends a pool's report to the fleet leader at an address and returns its response.
func (m *memberClient) report(ctx context.Context, address string, r owner.Report) (owner.Direction, error) {
	wire := encodeReport(&r)
	body, err := json.Marshal(wire)
	if err != nil {
		return owner.Direction{}, eris.Wrap(err, "hosted: encode report")
	}
	var direction wireDirection
	if err := m.callInto(ctx, http.MethodPost, "http://"+address+"/v1/fleet/report", body, &direction); err != nil {
		return owner.Direction{}, err
	}
	return direction.decode(), nil
}
