package caller_test

import (
	"sync"
	"testing"

	"citronknot/caller"
	"citronknot/fleet"
)

// fifoAdmission is the baseline of the benchmark: a first-in, first-out queue for one pool under
// one lock.
type fifoAdmission struct {
	mu      sync.Mutex
	free    int
	waiting []*caller.Request
}

func (f *fifoAdmission) acquire(r *caller.Request) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = append(f.waiting, r)
	if f.free > 0 {
		f.free--
		f.waiting = f.waiting[1:]
	}
	return f.release
}

func (f *fifoAdmission) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free++
}

// BenchmarkAdmission measures a request that may start at once, from arrival to release, among
// 150 teams, and compares it with a first-in, first-out queue.
func BenchmarkAdmission(b *testing.B) {
	requests := make([]*caller.Request, 150)
	shares := unevenShares(len(requests))
	for i := range requests {
		requests[i] = &caller.Request{
			Queue: fleet.Queue{ID: "q", Pool: "p", MaxWaiting: 100}, Team: teamID(i), Deadline: 1 << 40,
		}
	}
	b.Run("fair", func(b *testing.B) {
		a := &caller.Admission{
			Slots:    func(fleet.PoolID) fleet.Slots { return 89 },
			Share:    func(t fleet.TeamID) fleet.Share { return shares[t] },
			TryStart: func(fleet.TeamID) bool { return true }, Finish: func(fleet.TeamID) {},
		}
		b.ReportAllocs()
		for i := range b.N {
			release, err := a.Acquire(b.Context(), requests[i%len(requests)])
			if err != nil {
				b.Fatal(err)
			}
			release(caller.Ran)
		}
	})
	b.Run("first-come", func(b *testing.B) {
		f := &fifoAdmission{free: 89}
		b.ReportAllocs()
		for i := range b.N {
			f.acquire(requests[i%len(requests)])()
		}
	})
}

// BenchmarkFullPool measures one decision in a full pool with waiting requests of 150 teams: one
// request ends, the next starts, and another arrives.
func BenchmarkFullPool(b *testing.B) {
	c := newCluster(1, 89, unevenShares(150))
	s := &c.members[0].scheduler
	var running []*caller.Request
	for i := range 1500 {
		_, _ = c.add(0, teamID(i%150), fleet.Queue{}, 1<<40)
	}
	for r := s.Next(c.now); r != nil; r = s.Next(c.now) {
		running = append(running, r)
	}
	b.ReportAllocs()
	for i := range b.N {
		if i%10 == 0 {
			c.now++
		}
		r := running[i%len(running)]
		s.Done(c.now, r, caller.Ran)
		if p := s.Add(c.now, r); p != nil {
			b.Fatal(p)
		}
		running[i%len(running)] = s.Next(c.now)
	}
}
