package hosted

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/operator"
	"citronknot/owner"
)

// operatorRoutes adds the operators' calls. They need the operators' credential; without one in
// the settings they are refused.
func (p *Process) operatorRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/workers", p.authorized(p.operatorWorkers))
	mux.HandleFunc("GET /v1/waves", p.authorized(p.operatorWaves))
}

func (p *Process) authorized(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if p.Credential == "" || subtle.ConstantTimeCompare([]byte(given), []byte(p.Credential)) != 1 {
			operator.WriteProblem(w, operator.Problem{Status: http.StatusUnauthorized, Title: "unauthorized", Detail: "the credential is missing or wrong, or the settings name none"})
			return
		}
		h(w, r)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // the caller may have gone, which changes nothing here
}

// operatorWorkers lists the workers of all pools, as their owners see them.
func (p *Process) operatorWorkers(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := deadline(r.Context(), 0)
	defer cancel()
	out := operator.WireWorkers{Workers: []operator.WireWorker{}}
	c := p.catalog.Load()
	if c == nil {
		operator.WriteProblem(w, operator.Problem{Status: http.StatusServiceUnavailable, Title: "no configuration yet"})
		return
	}
	for _, id := range sortedPools(c) {
		d, err := p.poolDump(ctx, id)
		if err != nil {
			out.Missing = append(out.Missing, fmt.Sprintf("%s: %v", id, err))
			continue
		}
		for _, x := range d.Schedule.Workers {
			out.Workers = append(out.Workers, operator.WireWorker{
				ID: string(x.ID), Pool: string(id), State: workerState(x.Listed, x.Reachable, x.Draining, x.Cordoned),
				Tasks: x.Tasks, CPU: x.CPU, CPUOf: x.CPUOf,
			})
		}
	}
	writeJSON(w, out)
}

func sortedPools(c *job.Catalog) []fleet.PoolID {
	var ids []fleet.PoolID
	for id, pool := range c.Pools {
		if !pool.Spare {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func workerState(listed, reachable, draining, cordoned bool) string {
	switch {
	case !listed:
		return "unlisted"
	case !reachable:
		return "silent"
	case draining:
		return "draining"
	case cordoned:
		return "cordoned"
	}
	return "ready"
}

// poolDump returns the state of a pool from its owner.
func (p *Process) poolDump(ctx context.Context, id fleet.PoolID) (*owner.Dump, error) {
	p.mu.Lock()
	own := p.owners[id]
	p.mu.Unlock()
	if own != nil {
		d := own.owner.Dump()
		if d.Schedule == nil {
			return nil, eris.New("hosted: the pool is being loaded")
		}
		return d, nil
	}
	h := p.tenure(id).Holder()
	if h.Member == "" {
		return nil, eris.New("hosted: the pool has no owner")
	}
	var d owner.Dump
	if err := p.members.callInto(ctx, http.MethodGet, poolPath(h.Address, id)+"/state", nil, &d); err != nil {
		return nil, err
	}
	if d.Schedule == nil {
		return nil, eris.New("hosted: the pool is being loaded")
	}
	return &d, nil
}

func (p *Process) servePoolState(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	own := p.owners[fleet.PoolID(r.PathValue("pool"))]
	p.mu.Unlock()
	if own == nil {
		writeResult(w, http.StatusMisdirectedRequest, wireResult{Reason: "this member does not own the pool"})
		return
	}
	writeJSON(w, own.owner.Dump())
}

// operatorWaves lists the waves, as the holder of the fleet sees them.
func (p *Process) operatorWaves(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	holder := p.holder
	p.mu.Unlock()
	if holder != nil {
		writeJSON(w, holder.waves())
		return
	}
	h := p.tenure(fleetPart).Holder()
	var out operator.WireWaves
	ctx, cancel := deadline(r.Context(), 0)
	defer cancel()
	if err := p.members.callInto(ctx, http.MethodGet, "http://"+h.Address+"/v1/fleet/waves", nil, &out); err != nil {
		operator.WriteProblem(w, operator.Problem{Status: http.StatusServiceUnavailable, Title: "the holder of the fleet does not answer", Detail: err.Error()})
		return
	}
	writeJSON(w, out)
}

func (p *Process) serveWaves(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	holder := p.holder
	p.mu.Unlock()
	if holder == nil {
		writeResult(w, http.StatusMisdirectedRequest, wireResult{Reason: "this member does not hold the fleet"})
		return
	}
	writeJSON(w, holder.waves())
}

func (h *fleetHolder) waves() operator.WireWaves {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := operator.WireWaves{Waves: []operator.WireWave{}}
	for n, s := range h.planner.Waves() {
		machines := h.planner.MachinesOf(n)
		out.Waves = append(out.Waves, operator.WireWave{Number: n, State: string(s), Machines: machines, Done: len(h.planner.DoneOf(n))})
	}
	slices.SortFunc(out.Waves, func(a, b operator.WireWave) int { return a.Number - b.Number })
	return out
}
