package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Loopback compares an entry process with a minimal forwarder over loopback. Both forward to the
// same targets, in alternating blocks, so that other load on the machine meets both.
type Loopback struct {
	Repetitions int // blocks of each kind
	Requests    int // requests of one block
	Callers     int // concurrent callers, each with one request at a time
	Body        int // bytes of a request and of its response
}

// LoopbackResult holds one figure for each repetition.
type LoopbackResult struct {
	P50, P99 Spread // latency of the entry process over that of the forwarder
	// CPU is the ratio of processor times after the time of requests sent directly to the targets
	// is subtracted, which stands for callers and targets.
	CPU Spread
	// WholeCPU is the ratio with callers and targets included.
	WholeCPU Spread
}

// block is what one block of requests took.
type block struct {
	p50, p99 int64
	cpu      time.Duration
}

// Run starts the processes, measures and stops them.
func (l Loopback) Run(ctx context.Context) (LoopbackResult, error) {
	var out LoopbackResult
	s, err := startSystem(ctx)
	if err != nil {
		return out, err
	}
	defer s.close()
	f := &forwarder{transport: http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	for _, t := range s.targets {
		f.urls = append(f.urls, t.URL+"/")
	}
	minimal := httptest.NewServer(f)
	defer minimal.Close()
	defer f.transport.CloseIdleConnections()
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * l.Callers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	urls := [3]string{f.urls[0], minimal.URL, s.url}
	for k := -1; k < l.Repetitions; k++ { // the first round opens connections and is dropped
		var blocks [3]block
		for i := range urls {
			j := (i + k + 1) % len(urls)
			if blocks[j], err = l.block(ctx, client, urls[j]); err != nil {
				return out, err
			}
		}
		if k >= 0 {
			out.add(blocks[0], blocks[1], blocks[2])
		}
	}
	return out, nil
}

func (r *LoopbackResult) add(direct, minimal, entry block) {
	r.P50 = append(r.P50, float64(entry.p50)/float64(minimal.p50))
	r.P99 = append(r.P99, float64(entry.p99)/float64(minimal.p99))
	r.CPU = append(r.CPU, float64(entry.cpu-direct.cpu)/float64(minimal.cpu-direct.cpu))
	r.WholeCPU = append(r.WholeCPU, float64(entry.cpu)/float64(minimal.cpu))
}

func (l Loopback) block(ctx context.Context, client *http.Client, url string) (block, error) {
	body := strings.Repeat("x", l.Body)
	var wait sync.WaitGroup
	times := make([][]int64, l.Callers)
	errs := make([]error, l.Callers)
	before := cpuTime()
	for c := range l.Callers {
		wait.Go(func() {
			for range l.Requests / l.Callers {
				begin := time.Now()
				if errs[c] = send(ctx, client, url, body); errs[c] != nil {
					return
				}
				times[c] = append(times[c], int64(time.Since(begin)))
			}
		})
	}
	wait.Wait()
	out := block{cpu: cpuTime() - before}
	var all []int64
	for c := range l.Callers {
		if errs[c] != nil {
			return out, errs[c]
		}
		all = append(all, times[c]...)
	}
	out.p50, out.p99 = percentile(all, 50), percentile(all, 99)
	return out, nil
}

// send sends one request and checks that its body comes back.
func send(ctx context.Context, client *http.Client, url, body string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "experiment: request")
	}
	r.Header.Set("Authorization", "Bearer "+loopbackKey)
	resp, err := client.Do(r)
	if err != nil {
		return eris.Wrap(err, "experiment: send")
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(got) != body {
		return eris.New(fmt.Sprintf("experiment: status %d, %d bytes, %v", resp.StatusCode, len(got), err))
	}
	return nil
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
