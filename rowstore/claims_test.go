package rowstore_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/fleet"
	"citronknot/rowstore"
)

// faultyTable is a table whose transactions are slow, lost or delayed, as drawn from a seeded
// generator.
type faultyTable struct {
	simulation
	mu   sync.Mutex
	rand *rand.Rand
	wg   sync.WaitGroup // delayed transactions
}

func (f *faultyTable) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.IntN(n)
}

func (f *faultyTable) table() *rowstore.Table {
	unavailable := &rowstore.UnavailableError{Op: "transaction", OutcomeUnknown: true, Err: errFault}
	return &rowstore.Table{
		Transact: func(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
			time.Sleep(time.Duration(1+f.draw(10_000)) * time.Microsecond)
			switch f.draw(8) {
			case 0:
				return nil, unavailable
			case 1:
				_, _ = f.commit(t)
				return nil, unavailable
			case 2:
				late := time.Duration(f.draw(3000)) * time.Millisecond
				f.wg.Go(func() {
					time.Sleep(late)
					_, _ = f.commit(t)
				})
				return nil, unavailable
			}
			return f.commit(t)
		},
		Read: func(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
			time.Sleep(time.Duration(1+f.draw(5000)) * time.Microsecond)
			if f.draw(8) == 0 {
				return nil, &rowstore.UnavailableError{Op: "read", Err: errFault}
			}
			return f.rows(q), nil
		},
	}
}

// history records operations for porcupine.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

const never = int64(1) << 60 // the end of an operation that may take effect at any later time

func (h *history) add(client int, in any, call int64, out any, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

// claimOp is an operation of the request with an id. Its kind is "claim", "ran" or "not run", or
// "unsent" if the request was refused although its row may still be written.
type claimOp struct{ kind, id string }

// claimResult is the request that holds the key, and the state of its claim row.
type claimResult struct{ holder, state string }

type claimState struct {
	claimResult
	unsent string // ids of requests that were not sent, whose row may still appear and be removed
}

// addUnsent adds an id and sorts the ids, so that equal sets are equal states.
func addUnsent(unsent, id string) string {
	ids := append(strings.Fields(unsent), id)
	slices.Sort(ids)
	return " " + strings.Join(slices.Compact(ids), " ") + " "
}

// claimModel is the model of one key: a request holds the key if no other does, and keeps it
// unless it did not run.
var claimModel = porcupine.Model{
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(claimState), input.(claimOp)
		held := s.holder == in.id
		switch {
		case in.kind == "claim":
			out := output.(claimResult)
			if out.holder != in.id {
				mayAppear := s.holder == "" && out.state == "running" && strings.Contains(s.unsent, " "+out.holder+" ")
				return mayAppear || s.claimResult == out, s
			}
			ok := s.holder == ""
			s.claimResult = out
			return ok, s
		case in.kind == "ran" && held:
			s.state = "ran"
		case in.kind == "not run" && held:
			s.claimResult = claimResult{}
			s.unsent = addUnsent(s.unsent, in.id)
		case in.kind == "unsent":
			s.unsent = addUnsent(s.unsent, in.id)
		}
		return true, s
	},
}

// tryClaim claims once, records the operation and reports whether the request was sent.
func tryClaim(h *history, c *rowstore.Claims, f *faultyTable, client int, id string) (ran bool) {
	call := h.now()
	claim, err := c.Claim(context.Background(), rowstore.ClaimRequest{Team: "t", Queue: "q", IdempotencyKey: "k", Request: fleet.RequestID(id)})
	end := h.now()
	var refused *rowstore.ClaimError
	switch {
	case err == nil:
		h.add(client, claimOp{"claim", id}, call, claimResult{id, "running"}, end)
		time.Sleep(time.Duration(f.draw(20)) * time.Millisecond)
		if f.draw(2) == 0 {
			h.add(client, claimOp{"ran", id}, h.now(), nil, never)
			claim.Settle(rowstore.OutcomeRan, &rowstore.RecordedAnswer{Status: 200, Body: []byte(id)})
			return true
		}
		h.add(client, claimOp{"not run", id}, h.now(), nil, never)
		claim.Settle(rowstore.OutcomeNotRun, nil)
	case errors.As(err, &refused) && refused.State == rowstore.ClaimStoreUnavailable:
		h.add(client, claimOp{"unsent", id}, call, nil, never)
	case errors.As(err, &refused):
		h.add(client, claimOp{"unsent", id}, call, nil, never) // an earlier attempt may have been delayed
		state := map[rowstore.ClaimState]string{rowstore.ClaimedByOther: "running", rowstore.ClaimRanAlready: "ran"}[refused.State]
		h.add(client, claimOp{"claim", id}, call, claimResult{string(refused.Holder), state}, end)
		if refused.State == rowstore.ClaimRanAlready && string(refused.Answer.Body) != string(refused.Holder) {
			panic("refused with the response of another request")
		}
	}
	return false
}

// Guards against a request that runs twice under one key, and against refusals that name a
// request that never held the claim, under lost and delayed writes and races between members.
func TestClaimsAreLinearizable(t *testing.T) {
	checkProperty(t, 150, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		ran := 0
		var h *history
		synctest.Test(t, func(*testing.T) {
			f := &faultyTable{rand: rand.New(rand.NewPCG(seed, 1))}
			h = &history{start: time.Now()}
			ctx, cancel := context.WithCancel(context.Background())
			var members, clients sync.WaitGroup
			for m := range 2 {
				c := &rowstore.Claims{Table: f.table(), Self: fleet.MemberID(rune('a' + m))}
				members.Go(func() { c.Run(ctx) })
				for k := range 2 {
					clients.Go(func() {
						for i := range 3 {
							time.Sleep(time.Duration(f.draw(1500)) * time.Millisecond)
							if tryClaim(h, c, f, 2*m+k, fmt.Sprintf("%d-%d-%d", m, k, i)) {
								f.mu.Lock()
								ran++
								f.mu.Unlock()
							}
						}
					})
				}
			}
			clients.Wait()
			cancel()
			members.Wait()
			f.wg.Wait()
		})
		result := porcupine.CheckOperationsTimeout(claimModel, h.ops, 5*time.Second)
		must.LessEq(r, 1, ran)
		must.Eq(r, porcupine.Ok, result)
	})
}

// acceptOp is a release note that is submitted for acceptance.
type acceptOp struct {
	base fleet.Version
	id   fleet.NoteID
}

type acceptResult struct {
	version fleet.Version // 0 means refused
	head    fleet.Version
	unknown bool
}

// acceptModel is the model of the configuration log. Its state is the ids of the accepted notes,
// one character each, so that its length is the newest version.
var acceptModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		log, in, out := state.(string), input.(acceptOp), output.(acceptResult)
		n := fleet.Version(len(log))
		switch {
		case out.unknown && in.base == n, out.version != 0 && in.base == n:
			return out.unknown || out.version == n+1, log + string(in.id)
		case out.unknown:
			return true, log
		case out.version != 0:
			return in.base < n && out.version == in.base+1 && log[in.base:in.base+1] == string(in.id), log
		}
		return out.head == n, log
	},
}

// Guards against two release notes that are accepted on one base, and against a refusal of an
// accepted note, under lost and delayed writes.
func TestAcceptIsLinearizable(t *testing.T) {
	checkProperty(t, 150, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		var h *history
		synctest.Test(t, func(*testing.T) {
			f := &faultyTable{rand: rand.New(rand.NewPCG(seed, 2))}
			h = &history{start: time.Now()}
			var clients sync.WaitGroup
			for k := range 3 {
				clients.Go(func() {
					l := &rowstore.ConfigLog{Table: f.table()}
					for i := range 4 {
						n := fleet.ReleaseNote{ID: fleet.NoteID(rune('a' + 4*k + i)), Base: fleet.Version(f.draw(4))}
						time.Sleep(time.Duration(f.draw(50)) * time.Millisecond)
						call := h.now()
						v, err := l.Accept(context.Background(), n)
						out, end := acceptResult{version: v}, h.now()
						var stale *rowstore.StaleBaseError
						if errors.As(err, &stale) {
							out.head = stale.Head.Version
						} else if err != nil {
							out.unknown, end = true, never
						}
						h.add(k, acceptOp{n.Base, n.ID}, call, out, end)
					}
				})
			}
			clients.Wait()
			f.wg.Wait()
		})
		must.Eq(r, porcupine.Ok, porcupine.CheckOperationsTimeout(acceptModel, h.ops, 5*time.Second))
	})
}

// BenchmarkClaim reports the number of claims that share one commit.
func BenchmarkClaim(b *testing.B) {
	w := &simulation{faultFree: true}
	c := &rowstore.Claims{Table: w.table(), Self: "a"}
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { c.Run(ctx) })
	b.SetParallelism(50)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := fmt.Sprint(rand.Uint64())
			_, err := c.Claim(ctx, rowstore.ClaimRequest{Team: "t", IdempotencyKey: id, Request: fleet.RequestID(id)})
			must.NoError(b, err)
		}
	})
	b.ReportMetric(float64(b.N)/float64(w.store.Writes.Load()), "claims/commit")
	cancel()
	run.Wait()
}
