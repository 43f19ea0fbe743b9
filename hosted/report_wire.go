package hosted

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/machine"
	"citronknot/owner"
	"citronknot/quota"
	"citronknot/schedule"
)

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

type wireUsage struct {
	Used      wireResources `json:"used"`
	Want      wireResources `json:"want"`
	Allowance wireResources `json:"allowance"`
}

type wireWorkerLoad struct {
	ID      string `json:"id"`
	Tasks   int    `json:"tasks,omitempty"`
	Lasting int    `json:"lasting,omitempty"`
	Emptied bool   `json:"emptied,omitempty"`
}

type wireReport struct {
	Pool    string               `json:"pool"`
	Fence   uint64               `json:"fence"`
	Workers []wireWorkerLoad     `json:"workers"`
	Lasting int64                `json:"lasting_cpu"`
	Active  int64                `json:"active_cpu"`
	Arrived int64                `json:"arrived_cpu_ms"`
	Teams   map[string]wireUsage `json:"teams,omitempty"`
}

type wireDirection struct {
	Cordon     []string                 `json:"cordon,omitempty"`
	Ended      []string                 `json:"ended,omitempty"`
	Allowances map[string]wireResources `json:"allowances,omitempty"`
	Ruled      bool                     `json:"ruled,omitempty"` // the allowances hold, also if there are none
}

func encodeReport(r *owner.Report) wireReport {
	w := wireReport{
		Pool: string(r.Pool), Fence: r.Fence, Lasting: r.Lasting, Active: r.Active, Arrived: r.Arrived,
		Teams: make(map[string]wireUsage, len(r.Teams)),
	}
	for _, l := range r.Workers {
		w.Workers = append(w.Workers, wireWorkerLoad{ID: string(l.ID), Tasks: l.Tasks, Lasting: l.Lasting, Emptied: l.Emptied})
	}
	for id, u := range r.Teams {
		w.Teams[string(id)] = wireUsage{Used: encodeResources(u.Used), Want: encodeResources(u.Want), Allowance: encodeResources(u.Allowance)}
	}
	return w
}

func (w *wireReport) decode() owner.Report {
	r := owner.Report{
		PoolLoad: machine.PoolLoad{
			Pool: fleet.PoolID(w.Pool), Fence: w.Fence,
			Load: schedule.Load{Lasting: w.Lasting, Active: w.Active, Arrived: w.Arrived},
		},
		Teams: make(map[fleet.TeamID]quota.Usage, len(w.Teams)),
	}
	for _, l := range w.Workers {
		r.Workers = append(r.Workers, schedule.WorkerLoad{ID: fleet.InstanceID(l.ID), Tasks: l.Tasks, Lasting: l.Lasting, Emptied: l.Emptied})
	}
	for id, u := range w.Teams {
		r.Teams[fleet.TeamID(id)] = quota.Usage{Used: u.Used.decode(), Want: u.Want.decode(), Allowance: u.Allowance.decode()}
	}
	return r
}

func encodeDirection(d *owner.Direction) wireDirection {
	w := wireDirection{Ruled: d.Allowances != nil, Allowances: make(map[string]wireResources, len(d.Allowances))}
	for _, id := range d.Cordon {
		w.Cordon = append(w.Cordon, string(id))
	}
	for _, id := range d.Ended {
		w.Ended = append(w.Ended, string(id))
	}
	for id, a := range d.Allowances {
		w.Allowances[string(id)] = encodeResources(a)
	}
	return w
}

func (w *wireDirection) decode() owner.Direction {
	var d owner.Direction
	for _, id := range w.Cordon {
		d.Cordon = append(d.Cordon, fleet.InstanceID(id))
	}
	for _, id := range w.Ended {
		d.Ended = append(d.Ended, fleet.InstanceID(id))
	}
	if w.Ruled {
		d.Allowances = make(map[fleet.TeamID]job.Resources, len(w.Allowances))
	}
	for id, a := range w.Allowances {
		d.Allowances[fleet.TeamID(id)] = a.decode()
	}
	return d
}

// serveReport takes in a report of another member.
func (p *Process) serveReport(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	holder := p.holder
	p.mu.Unlock()
	if holder == nil {
		writeResult(w, http.StatusMisdirectedRequest, wireResult{Reason: "this member does not hold the fleet"})
		return
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, maxJobBytes))
	var in wireReport
	if err == nil {
		err = json.Unmarshal(text, &in)
	}
	if err != nil {
		writeResult(w, http.StatusServiceUnavailable, wireResult{Reason: err.Error()})
		return
	}
	d := holder.report(in.decode())
	out, err := json.Marshal(encodeDirection(&d))
	if err != nil {
		writeResult(w, http.StatusServiceUnavailable, wireResult{Reason: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(out) // the member may have gone; it reports again
}

// report sends a report to the holder of the fleet.
func (m *memberClient) report(ctx context.Context, address string, r owner.Report) (owner.Direction, error) {
	in := encodeReport(&r)
	text, err := json.Marshal(in)
	if err != nil {
		return owner.Direction{}, eris.Wrap(err, "hosted: report")
	}
	var out wireDirection
	if err := m.callInto(ctx, http.MethodPost, "http://"+address+"/v1/fleet/report", text, &out); err != nil {
		return owner.Direction{}, err
	}
	return out.decode(), nil
}
