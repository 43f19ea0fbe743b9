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

// Loopback compares an entry process with a minimal forwarder over the loopback interface. Both
// forward to the same targets, in alternating blocks, so that other load on the machine affects
// both.
type Loopback struct {
	Repetitions int // measured blocks of each kind
	Requests    int // requests of one block
	Callers     int // concurrent callers, each with one request at a time
	BodyBytes   int // bytes of a request and of its response
}

// LoopbackResult holds ratios between the entry process and the forwarder, one for each repetition.
type LoopbackResult struct {
	P50, P99 Spread // ratio of the latencies
	// CPU is the ratio of the CPU times without callers and targets. Their part is taken to be the
	// CPU time of requests that are sent directly to the targets.
	CPU Spread
	// TotalCPU is the ratio of the CPU times including callers and targets.
	TotalCPU Spread
}

// blockResult holds latencies in nanoseconds and the CPU time of one block of requests.
type blockResult struct {
	p50, p99 int64
	cpu      time.Duration
}

// Run starts the entry process, the forwarder and the targets in this process, measures them and
// stops them. It returns an error if one can't start or a request fails.
func (l Loopback) Run(ctx context.Context) (LoopbackResult, error) {
	var result LoopbackResult
	system, err := startLoopbackSystem(ctx)
	if err != nil {
		return result, err
	}
	defer system.close()
	baseline := &forwarder{transport: http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	for _, target := range system.targets {
		baseline.urls = append(baseline.urls, target.URL+"/")
	}
	baselineServer := httptest.NewServer(baseline)
	defer baselineServer.Close()
	defer baseline.transport.CloseIdleConnections()
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * l.Callers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	urls := [3]string{baseline.urls[0], baselineServer.URL, system.queueURL}
	for repetition := -1; repetition < l.Repetitions; repetition++ { // the first round opens connections and is not counted
		var blocks [3]blockResult
		for i := range urls {
			j := (i + repetition + 1) % len(urls)
			if blocks[j], err = l.runBlock(ctx, client, urls[j]); err != nil {
				return result, err
			}
		}
		if repetition >= 0 {
			result.addRatios(blocks[0], blocks[1], blocks[2])
		}
	}
	return result, nil
}

// addRatios adds the ratios of one repetition.
func (r *LoopbackResult) addRatios(direct, baseline, entry blockResult) {
	r.P50 = append(r.P50, float64(entry.p50)/float64(baseline.p50))
	r.P99 = append(r.P99, float64(entry.p99)/float64(baseline.p99))
	r.CPU = append(r.CPU, float64(entry.cpu-direct.cpu)/float64(baseline.cpu-direct.cpu))
	r.TotalCPU = append(r.TotalCPU, float64(entry.cpu)/float64(baseline.cpu))
}

// runBlock sends one block of requests to a URL from concurrent callers.
func (l Loopback) runBlock(ctx context.Context, client *http.Client, url string) (blockResult, error) {
	body := strings.Repeat("x", l.BodyBytes)
	var wg sync.WaitGroup
	callerLatencies := make([][]int64, l.Callers)
	callerErrs := make([]error, l.Callers)
	before := cpuTime()
	for c := range l.Callers {
		wg.Go(func() {
			for range l.Requests / l.Callers {
				start := time.Now()
				if callerErrs[c] = send(ctx, client, url, body); callerErrs[c] != nil {
					return
				}
				callerLatencies[c] = append(callerLatencies[c], int64(time.Since(start)))
			}
		})
	}
	wg.Wait()
	result := blockResult{cpu: cpuTime() - before}
	var latencies []int64
	for c := range l.Callers {
		if callerErrs[c] != nil {
			return result, callerErrs[c]
		}
		latencies = append(latencies, callerLatencies[c]...)
	}
	result.p50, result.p99 = percentile(latencies, 50), percentile(latencies, 99)
	return result, nil
}

// send sends one request and returns an error unless the response has the status 200 and the body
// of the request.
func send(ctx context.Context, client *http.Client, url, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "experiment: create request")
	}
	request.Header.Set("Authorization", "Bearer "+loopbackKey)
	resp, err := client.Do(request)
	if err != nil {
		return eris.Wrap(err, "experiment: send request")
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(responseBody) != body {
		return eris.New(fmt.Sprintf("experiment: unexpected response: status %d, body of %d bytes, read error %v", resp.StatusCode, len(responseBody), err))
	}
	return nil
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
