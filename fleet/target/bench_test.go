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

// BenchmarkAcquire selects targets in 82 pools with 910 targets in all, concurrently on all CPUs.
func BenchmarkAcquire(b *testing.B) {
	const targets, pools = 910, 82
	snapshots := map[fleet.PoolID]*target.Snapshot{}
	ids := make([]fleet.PoolID, pools)
	for i := range ids {
		ids[i] = fleet.PoolID(fmt.Sprint("pool-", i))
		snapshots[ids[i]] = &target.Snapshot{MaxEjected: 1, Members: 150, Rank: 3}
	}
	for i := range targets {
		snapshot := snapshots[ids[i%pools]]
		snapshot.Targets = append(snapshot.Targets, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprint("worker-", i)), Zone: fleet.ZoneID(fmt.Sprint(i / pools % 3)), Slots: 8, Connections: 64,
		})
	}
	d := &target.Dispatcher{Zone: "1", Snapshot: func(id fleet.PoolID) *target.Snapshot { return snapshots[id] }}
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

// minimalForwarder is the baseline of BenchmarkForward. It forwards every request to addr.
func minimalForwarder(addr string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Without full duplex, the server closes the request body while the transport still
		// reads its end, and the response is truncated.
		_ = http.NewResponseController(w).EnableFullDuplex()
		request, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+addr+"/", r.Body)
		request.ContentLength = r.ContentLength
		request.Header = r.Header.Clone()
		request.Header.Set(target.HeaderRequestID, r.Header.Get("Id"))
		resp, err := transport.RoundTrip(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		// The struct hides ReadFrom, which would write header and body separately and so make
		// the baseline slower.
		_, _ = io.Copy(struct{ io.Writer }{w}, resp.Body)
	})
}

// BenchmarkForward compares the dispatcher with the minimal forwarder. It alternates between
// them in short blocks, so that other load on the machine affects both.
func BenchmarkForward(b *testing.B) {
	instance := startTarget(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		_, _ = w.Write(body)
	}))
	instance.Slots = 64
	minimal := httptest.NewServer(minimalForwarder(instance.Address))
	b.Cleanup(minimal.Close)
	entry := startLoopback(b, instance)
	for _, size := range []int{0, 1 << 10, 32 << 10, 256 << 10} {
		b.Run(fmt.Sprint("body=", size), func(b *testing.B) {
			var times [3][]time.Duration
			var cpu [3]time.Duration
			body := strings.Repeat("x", size)
			for range 10 {
				for path, url := range []string{minimal.URL, entry.server.URL, "http://" + instance.Address} {
					before := cpuTime()
					times[path] = append(times[path], sendRequests(b, entry.client, url, body, b.N/30+1)...)
					cpu[path] += cpuTime() - before
				}
			}
			for path := range times {
				slices.Sort(times[path])
			}
			percentile := func(path, percent int) float64 { return float64(times[path][len(times[path])*percent/100]) }
			b.ReportMetric(percentile(1, 50)/percentile(0, 50), "p50-ratio")
			b.ReportMetric(percentile(1, 99)/percentile(0, 99), "p99-ratio")
			// The CPU time of the direct requests, path 2, is that of callers and target, which run
			// in the same process.
			b.ReportMetric(float64(cpu[1]-cpu[2])/float64(cpu[0]-cpu[2]), "cpu-ratio")
			b.ReportMetric(float64(cpu[1])/float64(cpu[0]), "whole-cpu-ratio")
		})
	}
}

// sendRequests sends n requests over 4 connections and returns their durations.
func sendRequests(b *testing.B, client *http.Client, url, body string, n int) []time.Duration {
	const callers = 4
	var mu sync.Mutex
	var times []time.Duration
	var callersDone sync.WaitGroup
	for c := range callers {
		callersDone.Go(func() {
			var callerTimes []time.Duration
			for k := range (n + callers - 1) / callers {
				r, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
				r.Header.Set("Id", fmt.Sprintf("%d-%d", c, k))
				begin := time.Now()
				resp, err := client.Do(r)
				if err != nil {
					b.Error(err)
					return
				}
				length, _ := io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				callerTimes = append(callerTimes, time.Since(begin))
				if resp.StatusCode != http.StatusOK || int(length) != len(body) {
					b.Errorf("status %d, %d bytes, %v", resp.StatusCode, length, resp.Header)
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, callerTimes...)
		})
	}
	callersDone.Wait()
	return times
}

// cpuTime returns the CPU time of the process: callers, forwarder and target together.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
