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

// operatorRoutes adds the operators' calls to mux. They require the operators' credential. If the
// settings contain none, all of them are refused.
func (p *Process) operatorRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/workers", p.requireCredential(p.serveWorkers))
	mux.HandleFunc("GET /v1/evacuations", p.requireCredential(p.serveEvacuations))
	mux.HandleFunc("GET /v1/suspects", p.requireCredential(p.serveSuspects))
	mux.HandleFunc("GET /v1/shares", p.requireCredential(p.serveShares))
	mux.HandleFunc("GET /v1/runtimes", p.requireCredential(p.serveRunTimes))
	mux.HandleFunc("GET /v1/waves", p.requireCredential(p.serveOperatorWaves))
}

// requireCredential returns a handler that calls h only for requests with the operators'
// credential.
func (p *Process) requireCredential(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		credential, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if p.Credential == "" || subtle.ConstantTimeCompare([]byte(credential), []byte(p.Credential)) != 1 {
			operator.WriteProblem(w, operator.Problem{Status: http.StatusUnauthorized, Title: "unauthorized", Detail: "the credential is missing or wrong, or the settings name none"})
			return
		}
		h(w, r)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded) // an error means that the caller has disconnected, which needs no handling
}

// serveWorkers lists the workers of all pools, as reported by the pools' owners. Pools whose owner
// doesn't respond are listed as missing.
func (p *Process) serveWorkers(w http.ResponseWriter, r *http.Request) {
	out := operator.WireWorkers{Workers: []operator.WireWorker{}}
	missing, ok := p.visitPools(w, r, func(id fleet.PoolID, dump *owner.Dump) {
		for _, worker := range dump.Schedule.Workers {
			out.Workers = append(out.Workers, operator.WireWorker{
				ID: string(worker.ID), Pool: string(id), State: workerState(worker.Listed, worker.Reachable, worker.Draining, worker.Cordoned),
				Tasks: worker.Tasks, CPUUsed: worker.CPU, CPUCapacity: worker.CPUOf,
			})
		}
	})
	if out.Missing = missing; ok {
		writeJSON(w, out)
	}
}

// serveSuspects lists the tasks of all pools that are suspected to crash their workers, as reported by
// the pools' owners. Pools whose owner doesn't respond are listed as missing.
func (p *Process) serveSuspects(w http.ResponseWriter, r *http.Request) {
	out := operator.WireSuspects{Suspects: []operator.WireSuspect{}}
	missing, ok := p.visitPools(w, r, func(id fleet.PoolID, dump *owner.Dump) {
		for _, s := range dump.Schedule.Suspects {
			out.Suspects = append(out.Suspects, operator.WireSuspect{Task: s.Task, Pool: string(id), Start: s.Start, State: s.State, Crashes: s.Crashes})
		}
	})
	if out.Missing = missing; ok {
		writeJSON(w, out)
	}
}

// serveShares lists the shares of the teams with a weight in all pools, as reported by the pools' owners.
// Pools whose owner doesn't respond are listed as missing.
func (p *Process) serveShares(w http.ResponseWriter, r *http.Request) {
	out := operator.WireShares{Shares: []operator.WireShare{}}
	missing, ok := p.visitPools(w, r, func(id fleet.PoolID, dump *owner.Dump) {
		for _, s := range dump.Schedule.Shares {
			out.Shares = append(out.Shares, operator.WireShare{
				Team: string(s.Team), Pool: string(id), Weight: s.Weight, Due: s.Due, Had: s.Had, Lag: s.Lag,
				Waiting: s.Waiting, BeyondRate: s.BeyondRate, Over: s.Over,
			})
		}
	})
	if out.Missing = missing; ok {
		writeJSON(w, out)
	}
}

// serveRunTimes lists the learned run times of all pools, as reported by the pools' owners. Pools whose
// owner doesn't respond are listed as missing.
func (p *Process) serveRunTimes(w http.ResponseWriter, r *http.Request) {
	out := operator.WireRunTimes{RunTimes: []operator.WireRunTime{}}
	missing, ok := p.visitPools(w, r, func(id fleet.PoolID, dump *owner.Dump) {
		for _, t := range dump.Schedule.RunTimes {
			out.RunTimes = append(out.RunTimes, operator.WireRunTime{
				Pool: string(id), Queue: string(t.Queue), Image: t.Image, SmallestMS: int64(t.SmallestMS),
				Median: t.Median, P95: t.P95, Observations: t.Observations,
			})
		}
	})
	if out.Missing = missing; ok {
		writeJSON(w, out)
	}
}

// visitPools calls visit with the state of each pool, and returns the pools whose owner doesn't respond.
// Without a configuration it writes a problem to w and returns false.
func (p *Process) visitPools(w http.ResponseWriter, r *http.Request, visit func(fleet.PoolID, *owner.Dump)) (missing []string, ok bool) {
	ctx, cancel := withDeadline(r.Context(), 0)
	defer cancel()
	catalog := p.catalog.Load()
	if catalog == nil {
		operator.WriteProblem(w, operator.Problem{Status: http.StatusServiceUnavailable, Title: "no configuration yet"})
		return nil, false
	}
	for _, id := range sortedPools(catalog) {
		dump, err := p.poolDump(ctx, id)
		if err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", id, err))
			continue
		}
		visit(id, dump)
	}
	return missing, true
}

// sortedPools returns the ids of all pools but the spare one, in order.
func sortedPools(catalog *job.Catalog) []fleet.PoolID {
	var ids []fleet.PoolID
	for id, pool := range catalog.Pools {
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

// poolDump returns the state of a pool from its owner. It fails if the pool has no owner, the owner
// doesn't respond, or the owner is still loading the pool.
func (p *Process) poolDump(ctx context.Context, id fleet.PoolID) (*owner.Dump, error) {
	p.mu.Lock()
	own := p.owners[id]
	p.mu.Unlock()
	if own != nil {
		dump := own.owner.Dump()
		if dump.Schedule == nil {
			return nil, eris.New("hosted: the pool is being loaded")
		}
		return dump, nil
	}
	holder := p.ownerLease(id).Holder()
	if holder.Member == "" {
		return nil, eris.New("hosted: the pool has no owner")
	}
	var dump owner.Dump
	if err := p.members.callInto(ctx, http.MethodGet, poolPath(holder.Address, id)+"/state", nil, &dump); err != nil {
		return nil, err
	}
	if dump.Schedule == nil {
		return nil, eris.New("hosted: the pool is being loaded")
	}
	return &dump, nil
}

// servePoolState responds to another member with the state of a pool that this member owns.
func (p *Process) servePoolState(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	own := p.owners[fleet.PoolID(r.PathValue("pool"))]
	p.mu.Unlock()
	if own == nil {
		writeResponse(w, http.StatusMisdirectedRequest, wireResponse{Reason: "this member does not own the pool"})
		return
	}
	writeJSON(w, own.owner.Dump())
}

// serveOperatorWaves lists the maintenance waves, as reported by the fleet leader.
func (p *Process) serveOperatorWaves(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	leader := p.fleetLeader
	p.mu.Unlock()
	if leader != nil {
		writeJSON(w, leader.waveList())
		return
	}
	holder := p.ownerLease(fleetPartition).Holder()
	var out operator.WireWaves
	ctx, cancel := withDeadline(r.Context(), 0)
	defer cancel()
	if err := p.members.callInto(ctx, http.MethodGet, "http://"+holder.Address+"/v1/fleet/waves", nil, &out); err != nil {
		operator.WriteProblem(w, operator.Problem{Status: http.StatusServiceUnavailable, Title: "the holder of the fleet does not answer", Detail: err.Error()})
		return
	}
	writeJSON(w, out)
}

// serveMemberWaves lists the maintenance waves for another member. It responds with status 421 if
// this member is not the fleet leader.
func (p *Process) serveMemberWaves(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	leader := p.fleetLeader
	p.mu.Unlock()
	if leader == nil {
		writeResponse(w, http.StatusMisdirectedRequest, wireResponse{Reason: "this member does not hold the fleet"})
		return
	}
	writeJSON(w, leader.waveList())
}

func (l *fleetLeader) waveList() operator.WireWaves {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := operator.WireWaves{Waves: []operator.WireWave{}}
	for number, state := range l.planner.Waves() {
		machineCount := l.planner.MachinesOf(number)
		out.Waves = append(out.Waves, operator.WireWave{Number: number, State: string(state), Machines: machineCount, Done: len(l.planner.MaintainedMachines(number))})
	}
	slices.SortFunc(out.Waves, func(a, b operator.WireWave) int { return a.Number - b.Number })
	return out
}
