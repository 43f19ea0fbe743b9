package target_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"citronknot/fleet"
	"citronknot/fleet/target"
)

// BenchmarkAcquire selects a target among 910 workers in 82 pools, from all cores at once.
func BenchmarkAcquire(b *testing.B) {
	const workers, pools = 910, 82
	snapshots := map[fleet.PoolID]*target.Snapshot{}
	ids := make([]fleet.PoolID, pools)
	for i := range ids {
		ids[i] = fleet.PoolID(fmt.Sprint("pool-", i))
		snapshots[ids[i]] = &target.Snapshot{MaxEjected: 1, Members: 150, Rank: 3}
	}
	for i := range workers {
		s := snapshots[ids[i%pools]]
		s.Targets = append(s.Targets, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprint("worker-", i)), Zone: fleet.ZoneID(fmt.Sprint(i / pools % 3)), Slots: 8, Connections: 64,
		})
	}
	d := &target.Dispatcher{Zone: "1", Serving: func(id fleet.PoolID) *target.Snapshot { return snapshots[id] }}
	for _, id := range ids {
		_, release := d.Acquire(id)
		release()
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, release := d.Acquire(ids[rand.IntN(pools)])
			release()
		}
	})
}

// minimalForwarder is the baseline of BenchmarkForward: it forwards without any decision.
func minimalForwarder(addr string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Otherwise the server closes the request body while the transport still looks for its
		// end, and the response is cut.
		_ = http.NewResponseController(w).EnableFullDuplex()
		out, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+addr+"/", r.Body)
		out.ContentLength = r.ContentLength
		out.Header = r.Header.Clone()
		out.Header.Set(target.HeaderRequestID, r.Header.Get("Id"))
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		// Without ReadFrom, which would write header and body separately and favour the dispatcher.
		_, _ = io.Copy(struct{ io.Writer }{w}, resp.Body)
	})
}

// BenchmarkForward compares the dispatcher with the minimal forwarder in alternating blocks of
// one run, so that other load on the machine meets both.
func BenchmarkForward(b *testing.B) {
	in := startTarget(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		_, _ = w.Write(body)
	}))
	in.Slots = 64
	minimal := httptest.NewServer(minimalForwarder(in.Address))
	b.Cleanup(minimal.Close)
	l := start(b, in)
	for _, size := range []int{0, 1 << 10, 32 << 10, 256 << 10} {
		b.Run(fmt.Sprint("body=", size), func(b *testing.B) {
			var times [3][]time.Duration
			var cpu [3]time.Duration
			body := strings.Repeat("x", size)
			for range 10 {
				for k, url := range []string{minimal.URL, l.entry.URL, "http://" + in.Address} {
					before := cpuTime()
					times[k] = append(times[k], block(b, l.client, url, body, b.N/30+1)...)
					cpu[k] += cpuTime() - before
				}
			}
			for k := range times {
				slices.Sort(times[k])
			}
			at := func(k, percent int) float64 { return float64(times[k][len(times[k])*percent/100]) }
			b.ReportMetric(at(1, 50)/at(0, 50), "p50-ratio")
			b.ReportMetric(at(1, 99)/at(0, 99), "p99-ratio")
			// The direct requests stand for the work of callers and target in the same process.
			b.ReportMetric(float64(cpu[1]-cpu[2])/float64(cpu[0]-cpu[2]), "cpu-ratio")
			b.ReportMetric(float64(cpu[1])/float64(cpu[0]), "whole-cpu-ratio")
		})
	}
}

// block sends n requests over 4 connections and returns their times.
func block(b *testing.B, client *http.Client, url, body string, n int) []time.Duration {
	const callers = 4
	var mu sync.Mutex
	var all []time.Duration
	var wait sync.WaitGroup
	for c := range callers {
		wait.Go(func() {
			var mine []time.Duration
			for k := range (n + callers - 1) / callers {
				r, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
				r.Header.Set("Id", fmt.Sprintf("%d-%d", c, k))
				begin := time.Now()
				resp, err := client.Do(r)
				if err != nil {
					b.Error(err)
					return
				}
				got, _ := io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				mine = append(mine, time.Since(begin))
				if resp.StatusCode != http.StatusOK || int(got) != len(body) {
					b.Errorf("status %d, %d bytes, %v", resp.StatusCode, got, resp.Header)
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, mine...)
		})
	}
	wait.Wait()
	return all
}

// cpuTime returns the processor time of the process: callers, forwarder and target together.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
