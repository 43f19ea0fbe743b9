package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"citronknot/operator"
	"citronknot/standin"
)

// Keys of teams that the example release note adds.
const (
	alphaKey     = "alpha-demo-key-1"
	betaKey      = "beta-demo-key-1"
	withdrawnKey = "beta-demo-key-2"
)

// requestResult is what a caller received for one request.
type requestResult struct {
	idempotencyKey string
	status         int
	outcome        string // header Citronknot-Run: ran, not_run or unknown
	problemTitle   string // of a problem response
	bodyComplete   bool
}

// driver runs the demonstration.
type driver struct {
	options      options
	ready        []atomic.Bool
	requestCount atomic.Int64
	mu           sync.Mutex
	results      []requestResult
}

// run sends load for the configured time, withdraws a key and stops the last entry instance
// meanwhile, and reports the results.
func (d *driver) run() error {
	d.ready = make([]atomic.Bool, len(d.options.Callers))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.watchReadiness(ctx)
	if err := d.awaitReleaseNote(); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithTimeout(ctx, d.options.LoadTime)
	defer stopLoad()
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() { d.sendLoad(loadCtx, i) })
	}
	time.Sleep(time.Second)
	withdrawalTime, err := d.withdrawKey(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("key withdrawn: refused at every entry instance after %v\n", withdrawalTime.Round(time.Millisecond))
	time.Sleep(500 * time.Millisecond)
	fmt.Printf("planned stop of %s under load\n", d.options.Callers[len(d.options.Callers)-1])
	if err := syscall.Kill(d.options.StopPID, syscall.SIGTERM); err != nil {
		return err
	}
	wg.Wait()
	return d.report()
}

// watchReadiness polls the readiness of the entry instances until ctx ends, as the platform's load
// balancer does.
func (d *driver) watchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for i, url := range d.options.Operators {
			resp, err := client.Get(url + "/readyz")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				resp.Body.Close()
			}
			d.ready[i].Store(ok)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitReleaseNote waits until the release note is in force at every entry instance and all are
// ready. It returns an error after 10 s.
func (d *driver) awaitReleaseNote() error {
	for range 100 {
		inForce := 0
		for i, url := range d.options.Operators {
			client := operator.Client{URL: url, Credential: d.options.Credential}
			var status struct {
				Version int `json:"version"`
			}
			text, err := client.Get(context.Background(), "/v1/status")
			if err == nil && json.Unmarshal(text, &status) == nil && status.Version >= 1 && d.ready[i].Load() {
				inForce++
			}
		}
		if inForce == len(d.options.Operators) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the release note is not in force everywhere after 10 s")
}

// sendLoad sends one request after another to the ready entry instances in turn until ctx ends.
func (d *driver) sendLoad(ctx context.Context, sender int) {
	client := &http.Client{Timeout: 15 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		i := int(d.requestCount.Add(1)) % len(d.options.Callers)
		if !d.ready[i].Load() {
			continue
		}
		queue, key := "sort", alphaKey
		if n%2 == 0 {
			queue = "dispatch"
		}
		if sender%2 == 0 {
			key = betaKey
		}
		result := d.send(client, d.options.Callers[i], queue, key, fmt.Sprintf("demo-%d-%d", sender, n))
		d.mu.Lock()
		d.results = append(d.results, result)
		d.mu.Unlock()
	}
}

// send sends one request. Its result has the status 0 if no response came.
func (d *driver) send(client *http.Client, url, queue, key, id string) requestResult {
	result := requestResult{idempotencyKey: id}
	body := []byte("record " + id)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/queues/"+queue, bytes.NewReader(body))
	if err != nil {
		return result
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header["Idempotency-Key"] = []string{id}
	resp, err := client.Do(req)
	if err != nil {
		return result
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	result.status = resp.StatusCode
	result.outcome = resp.Header.Get("Citronknot-Run")
	result.bodyComplete = err == nil && bytes.HasSuffix(text, body)
	var problem struct {
		Title string `json:"title"`
	}
	if result.outcome != "ran" && json.Unmarshal(text, &problem) == nil {
		result.problemTitle = problem.Title
	}
	return result
}

// withdrawKey withdraws a key and returns the time until every entry instance refuses it. It
// returns an error if one still accepts the key after 3 s.
func (d *driver) withdrawKey(ctx context.Context) (time.Duration, error) {
	text, err := os.ReadFile(d.options.WithdrawalNote)
	if err != nil {
		return 0, err
	}
	operatorClient := operator.Client{URL: d.options.Operators[0], Credential: d.options.Credential}
	start := time.Now()
	if _, err := operatorClient.Apply(ctx, text); err != nil {
		return 0, err
	}
	client := &http.Client{Timeout: 5 * time.Second}
	for i, url := range d.options.Callers {
		for n := 0; ; n++ {
			result := d.send(client, url, "sort", withdrawnKey, fmt.Sprintf("withdrawn-%d-%d", i, n))
			if result.status == http.StatusForbidden {
				break
			}
			if time.Since(start) > 3*time.Second {
				return 0, errors.New("a withdrawn key still works after 3 s")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start), nil
}

// report compares what callers received with what the targets ran, prints the counts, and returns
// an error if a request was lost, run twice, cut off, left with an unknown outcome, or refused as
// not run although it ran.
func (d *driver) report() error {
	runs := map[string]int{}
	cut := 0
	for _, url := range d.options.Targets {
		resp, err := http.Get(url + "/runs")
		if err != nil {
			return err
		}
		var list []standin.Run
		err = json.NewDecoder(resp.Body).Decode(&list)
		resp.Body.Close()
		if err != nil {
			return err
		}
		for _, r := range list {
			runs[r.IdempotencyKey]++
			if r.Cancelled {
				cut++
			}
		}
	}
	var answered, refused, falselyRefused, lost, doubled, unknown int
	titles := map[string]int{}
	for _, result := range d.results {
		if result.problemTitle != "" {
			titles[result.problemTitle]++
		}
		switch {
		case result.outcome == "ran" && result.status == http.StatusOK && result.bodyComplete:
			answered++
			if runs[result.idempotencyKey] == 0 {
				lost++
			}
		case result.outcome == "not_run":
			refused++
			if runs[result.idempotencyKey] > 0 {
				falselyRefused++
			}
		case result.outcome == "unknown":
			unknown++
		default:
			lost++
		}
		if runs[result.idempotencyKey] > 1 {
			doubled++
		}
	}
	fmt.Printf("sent %d: answered %d, refused as not run %d, unknown %d\n", len(d.results), answered, refused, unknown)
	for title, n := range titles {
		fmt.Printf("  %d: %s\n", n, title)
	}
	fmt.Printf("lost %d, doubled %d, falsely refused %d, cut at a target %d\n", lost, doubled, falselyRefused, cut)
	if answered == 0 || lost+doubled+falselyRefused+unknown+cut > 0 {
		return errors.New("a request was lost, doubled, cut, left unknown or falsely refused")
	}
	return nil
}
