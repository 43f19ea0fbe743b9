package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"citronknot/fleet"
	"citronknot/hosted"
	"citronknot/platform"
	"citronknot/standin/deployment"
)

// deploy is the deployment of one run.
type deploy struct {
	options *options
	store   deployment.Store
	gate    *httptest.Server
	workers []*deployment.Worker
	members []*hosted.Process
	callers []string // addresses for callers
	client  *http.Client
}

// start starts the stand-ins and the members.
func start(o *options, log *slog.Logger) (*deploy, error) {
	d := &deploy{options: o, client: &http.Client{Timeout: 5 * time.Second}}
	d.gate = httptest.NewServer(&d.store)
	d.store.Put("op", "", "config", map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "load", "host": "load.example", "pathPrefix": "/", "backend": "load", "public": true, "attempts": 3, "stretch": 1.6, "sloMs": 600}},
		"backends": []map[string]any{{"name": "load", "admissionCheck": true}},
	})
	for i := range o.Workers {
		w := &deployment.Worker{ID: fmt.Sprintf("w%d", i), Pool: "load", Zone: "z1", CPU: 16000, MemMB: 32768, Store: &d.store}
		if err := w.Start(); err != nil {
			d.close()
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	for i := range o.Members {
		if err := d.startMember(i, log); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// portsPerMember is the distance between the ports of two members.
const portsPerMember = 4

func (d *deploy) startMember(i int, log *slog.Logger) error {
	local := netip.MustParseAddr("127.0.0.1")
	port := d.options.Port + uint16(i*portsPerMember)
	p := hosted.New(hosted.Config{Log: log, Settings: &platform.Settings{
		Member: fleet.MemberID(fmt.Sprintf("member-%d", i)), Zone: "z1", IP: local, CallerAddr: netip.AddrPortFrom(local, port),
		ReadyAddr: netip.AddrPortFrom(local, port+1), PeerPort: port + 2, MetricsPort: port + 3, MemoryMB: 512,
		StoreAddr: netip.MustParseAddrPort(strings.TrimPrefix(d.gate.URL, "http://")), KeepFinal: 600_000,
	}})
	if err := p.Start(); err != nil {
		return err
	}
	d.members = append(d.members, p)
	d.callers = append(d.callers, netip.AddrPortFrom(local, port).String())
	return nil
}

func (d *deploy) close() {
	for _, p := range d.members {
		p.Close()
	}
	for _, w := range d.workers {
		w.Crash()
	}
	d.gate.Close()
}

// result is what became of the jobs.
type result struct {
	mu       sync.Mutex
	accepted int
	refused  int
	unknown  int
	complete int
	lost     int // accepted and not complete in time
	times    []time.Duration
	doubled  []string
}

// drive hands jobs in and waits until they are complete.
func (d *deploy) drive(ctx context.Context) *result {
	r := &result{}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / d.options.Rate))
	defer ticker.Stop()
	began := time.Now()
	killed := d.options.KillAt == 0
	for n := 0; time.Since(began) < d.options.Duration && ctx.Err() == nil; n++ {
		if !killed && time.Since(began) >= d.options.KillAt {
			d.killOwner()
			killed = true
		}
		wg.Go(func() { d.one(ctx, r, fmt.Sprintf("%016x", n+1)) })
		<-ticker.C
	}
	wg.Wait()
	r.doubled = deployment.Doubled(d.workers)
	return r
}

// killOwner cuts off the member that owns the pool.
func (d *deploy) killOwner() {
	for i, p := range d.members {
		if len(p.Dump().Pools) > 0 {
			p.Close()
			d.members = slices.Delete(d.members, i, i+1)
			return
		}
	}
}

// one hands one job in and follows it.
func (d *deploy) one(ctx context.Context, r *result, id string) {
	began := time.Now()
	body := fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":500,"memMb":64,"estMs":%d}]}`,
		d.options.Work.Milliseconds(), d.options.Tasks, d.options.Work.Milliseconds())
	status, _ := d.call(ctx, http.MethodPost, id, body)
	r.mu.Lock()
	switch status {
	case http.StatusOK:
		r.accepted++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.refused++
	default:
		r.unknown++
	}
	r.mu.Unlock()
	if status != http.StatusOK {
		return
	}
	done := d.follow(ctx, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !done {
		r.lost++
		return
	}
	r.complete++
	r.times = append(r.times, time.Since(began))
}

// followEvery is the time between two readings of a job's state.
const followEvery = 25 * time.Millisecond

func (d *deploy) follow(ctx context.Context, id string) bool {
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()
	for {
		if status, state := d.call(ctx, http.MethodGet, id, ""); status == http.StatusOK && state == "complete" {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// call makes a call at any member; a status of 0 stands for no answer.
func (d *deploy) call(ctx context.Context, method, id, body string) (status int, state string) {
	address := d.callers[rand.IntN(len(d.callers))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = "load.example"
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var out struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return 0, ""
	}
	return resp.StatusCode, out.State
}

// print writes the result as a table.
func (r *result) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	slices.Sort(r.times)
	at := func(share float64) time.Duration {
		if len(r.times) == 0 {
			return 0
		}
		return r.times[int(share*float64(len(r.times)-1))].Round(time.Millisecond)
	}
	for _, row := range []struct {
		name  string
		value any
	}{
		{"accepted", r.accepted},
		{"refused", r.refused},
		{"unknown", r.unknown},
		{"complete", r.complete},
		{"lost", r.lost},
		{"doubled", len(r.doubled)},
		{"time, median", at(0.5)},
		{"time, 95th", at(0.95)},
		{"time, longest", at(1)},
	} {
		if _, err := fmt.Fprintf(w, "%s\t%v\n", row.name, row.value); err != nil {
			return err
		}
	}
	for _, line := range r.doubled {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return w.Flush()
}
