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

// Keys that the example release note grants.
const (
	alphaKey     = "alpha-demo-key-1"
	betaKey      = "beta-demo-key-1"
	withdrawnKey = "beta-demo-key-2"
)

// sent is what a caller was told of one request.
type sent struct {
	key    string // idempotency key
	status int
	run    string
	title  string // of a problem
	whole  bool
}

type driver struct {
	options options
	ready   []atomic.Bool
	next    atomic.Int64
	mu      sync.Mutex
	all     []sent
}

func (d *driver) run() error {
	d.ready = make([]atomic.Bool, len(d.options.Callers))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.watch(ctx)
	if err := d.await(); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithTimeout(ctx, d.options.Load)
	defer stopLoad()
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() { d.load(loadCtx, i) })
	}
	time.Sleep(time.Second)
	withdrawn, err := d.withdraw(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("key withdrawn: refused at every entry instance after %v\n", withdrawn.Round(time.Millisecond))
	time.Sleep(500 * time.Millisecond)
	fmt.Printf("planned stop of %s under load\n", d.options.Callers[len(d.options.Callers)-1])
	if err := syscall.Kill(d.options.StopPID, syscall.SIGTERM); err != nil {
		return err
	}
	wg.Wait()
	return d.report()
}

// watch asks for readiness, as the platform's balancer does.
func (d *driver) watch(ctx context.Context) {
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

// await waits until the release note is in force at every entry instance.
func (d *driver) await() error {
	for range 100 {
		inForce := 0
		for i, url := range d.options.Operators {
			c := operator.Client{URL: url, Credential: d.options.Credential}
			var status struct {
				Version int `json:"version"`
			}
			text, err := c.Get(context.Background(), "/v1/status")
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

func (d *driver) load(ctx context.Context, worker int) {
	client := &http.Client{Timeout: 15 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		i := int(d.next.Add(1)) % len(d.options.Callers)
		if !d.ready[i].Load() {
			continue
		}
		queue, key := "sort", alphaKey
		if n%2 == 0 {
			queue = "dispatch"
		}
		if worker%2 == 0 {
			key = betaKey
		}
		s := d.send(client, d.options.Callers[i], queue, key, fmt.Sprintf("demo-%d-%d", worker, n))
		d.mu.Lock()
		d.all = append(d.all, s)
		d.mu.Unlock()
	}
}

func (d *driver) send(client *http.Client, url, queue, key, id string) sent {
	s := sent{key: id}
	body := []byte("record " + id)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/queues/"+queue, bytes.NewReader(body))
	if err != nil {
		return s
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header["Idempotency-Key"] = []string{id}
	resp, err := client.Do(req)
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	s.status = resp.StatusCode
	s.run = resp.Header.Get("Citronknot-Run")
	s.whole = err == nil && bytes.HasSuffix(text, body)
	var problem struct {
		Title string `json:"title"`
	}
	if s.run != "ran" && json.Unmarshal(text, &problem) == nil {
		s.title = problem.Title
	}
	return s
}

// withdraw withdraws a key and measures the time until every entry instance refuses it.
func (d *driver) withdraw(ctx context.Context) (time.Duration, error) {
	text, err := os.ReadFile(d.options.Withdraw)
	if err != nil {
		return 0, err
	}
	c := operator.Client{URL: d.options.Operators[0], Credential: d.options.Credential}
	begin := time.Now()
	if _, err := c.Apply(ctx, text); err != nil {
		return 0, err
	}
	client := &http.Client{Timeout: 5 * time.Second}
	for i, url := range d.options.Callers {
		for n := 0; ; n++ {
			s := d.send(client, url, "sort", withdrawnKey, fmt.Sprintf("withdrawn-%d-%d", i, n))
			if s.status == http.StatusForbidden {
				break
			}
			if time.Since(begin) > 3*time.Second {
				return 0, errors.New("a withdrawn key still works after 3 s")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(begin), nil
}

// report compares what callers were told with what the targets ran.
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
			if r.Cut {
				cut++
			}
		}
	}
	var answered, refused, falselyRefused, lost, doubled, unknown int
	titles := map[string]int{}
	for _, s := range d.all {
		if s.title != "" {
			titles[s.title]++
		}
		switch {
		case s.run == "ran" && s.status == http.StatusOK && s.whole:
			answered++
			if runs[s.key] == 0 {
				lost++
			}
		case s.run == "not_run":
			refused++
			if runs[s.key] > 0 {
				falselyRefused++
			}
		case s.run == "unknown":
			unknown++
		default:
			lost++
		}
		if runs[s.key] > 1 {
			doubled++
		}
	}
	fmt.Printf("sent %d: answered %d, refused as not run %d, unknown %d\n", len(d.all), answered, refused, unknown)
	for title, n := range titles {
		fmt.Printf("  %d: %s\n", n, title)
	}
	fmt.Printf("lost %d, doubled %d, falsely refused %d, cut at a target %d\n", lost, doubled, falselyRefused, cut)
	if answered == 0 || lost+doubled+falselyRefused+unknown+cut > 0 {
		return errors.New("a request was lost, doubled, cut, left unknown or falsely refused")
	}
	return nil
}
