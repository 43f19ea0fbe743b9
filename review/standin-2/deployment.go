package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	service   = "belt"
	host      = "belt.example"
	prefix    = "/sort/"
	tenantKey = "k3yofthetenant000000"
)

var zones = []string{"north", "south", "west"}

// member is one machine of the system with its process.
type member struct {
	name, ip, zone string
	front          string
	settings       string // path of the settings file
	cmd            *exec.Cmd
	gone           chan struct{} // closed once the process has ended
}

// deployment is a small deployment: members, workers of one service, and the platform.
type deployment struct {
	root, dir string
	store     *store
	workers   []*worker
	members   []*member
	client    *http.Client
	servers   []*http.Server
	began     time.Time

	runMu   sync.Mutex // held while a process is started, and while all are ended
	stopped bool       // no process is started any more

	recordMu sync.Mutex
	record   *os.File

	jobsMu sync.Mutex
	jobs   map[string]jobBody // by id
}

// step and jobBody are a job as a client sends it.
type step struct {
	Count int `json:"count"`
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
	EstMs int `json:"estMs"`
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	RunCount   int    `json:"runCount,omitempty"`
	FirstMs    int64  `json:"firstMs,omitempty"`
	IntervalMs int64  `json:"intervalMs,omitempty"`
}

// note writes one line into the record.
func (d *deployment) note(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the record shows it.
func (d *deployment) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(d.began).Seconds())
}

// site is what the cases take from a small deployment: the size of its workers, and some bounds.
type site struct {
	cpu, mem                     int64 // of a worker
	holdMaxMs, stopMs, restoreMs int
}

var vansBelts = site{cpu: 16_000, mem: 32_768, holdMaxMs: 10_000, stopMs: 200, restoreMs: 600}

// Numbers of machines of the system and of workers of a service.
const (
	memberCount = 8
	workerCount = 9
)

// start starts the platform, the workers and the members, and waits until the members are ready.
func start(root, record string, o site) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		root: root, dir: dir, store: newStore(), began: time.Now(), jobs: map[string]jobBody{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}
	if d.record, err = os.Create(record); err != nil {
		return nil, err
	}
	storeAddr, err := d.serve(d.store)
	if err != nil {
		return nil, err
	}
	for i := range workerCount {
		w := &worker{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zones[i%len(zones)], machine: fmt.Sprintf("m-%05x", i+1),
			rack: fmt.Sprintf("r1-%d", i/4+1), cpu: o.cpu, mem: o.mem, holdMax: time.Duration(o.holdMaxMs) * time.Millisecond, store: d.store, needs: d.needs,
		}
		if err := w.begin(); err != nil {
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	cloudAddr, err := d.serve(&cloud{workers: d.workers})
	if err != nil {
		return nil, err
	}
	d.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-sort", "host": host, "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 3000, "sloMs": 600, "priority": 0,
			"backend": service, "attempts": 3, "stretch": 2.2, "public": false,
		}},
		"backends": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": true, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "grower", "apiKeys": []string{tenantKey}, "priority": 1, "weight": 50, "cap": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0}}},
	})
	if err := d.addMembers(o, storeAddr, cloudAddr); err != nil {
		return nil, err
	}
	for _, m := range d.members {
		if err := d.run(m); err != nil {
			return nil, err
		}
	}
	return d, d.awaitReady()
}

// serve serves a stand-in on a free loopback port and returns its address.
func (d *deployment) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// portsNeeded is how many ports of each member are used: front, ready, control, and 16 among members.
const portsNeeded = 19

// freePorts returns the first of portsNeeded ports that are free at all addresses. Ports are the same on all
// machines of a deployment.
func freePorts(ips []string) (int, error) {
	for range 200 {
		first := 20000 + rand.Intn(10000)
		free := true
		for _, ip := range ips {
			for p := first; p < first+portsNeeded && free; p++ {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if free = err == nil; free {
					_ = listener.Close()
				}
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (d *deployment) addMembers(o site, storeAddr, cloudAddr string) error {
	net := 1 + rand.Intn(200)
	var ips []string
	for i := range memberCount {
		ips = append(ips, fmt.Sprintf("127.%d.%d.23", net, i+1))
	}
	port, err := freePorts(ips)
	if err != nil {
		return err
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region"
	}
	for i, ip := range ips {
		zone := zones[i%len(zones)]
		m := &member{name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), ip: ip, zone: zone, front: fmt.Sprintf("%s:%d", ip, port)}
		m.settings = filepath.Join(d.dir, m.name+".yaml")
		text, err := json.Marshal(map[string]any{
			"node": m.name, "role": "member", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "region", "zones": regions,
			"listen":    map[string]string{"front": m.front, "ready": fmt.Sprintf("%s:%d", ip, port+1)},
			"portRange": []int{port + 3, port + 18}, "seeds": []string{}, "bootstrap": true, "countsAsLoss": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
			"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform", "advice", "upkeep", "sharing"},
			"tolerate":  map[string]int{"machines": 2, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "stabilityMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
				"configMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000, "failClosed": false, "revokeMs": 5000, "quotaWindowS": 5, "quotaBurst": 0.1,
				"quotaExtra": 20, "recoverS": 12, "holdMaxMs": o.holdMaxMs, "stopMs": o.stopMs, "gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
				"finish_s": 14, "status_s": 120, "farX": 3, "checkpointS": 0.5, "restoreMs": o.restoreMs, "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2,
				"checksFence": false, "leaseTtlMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000,
			},
			"orders": "call", "advice": "",
			"platform": map[string]any{
				"addr": storeAddr, "form": "table", "writesPerS": 800, "readsPerS": 2000, "txMs": 4.0, "partWritesPerS": 250, "rowBytes": rowBytes, "across": true,
				"historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
			},
			"cloud": map[string]any{"addr": cloudAddr, "ratePerS": 64.0, "duties": []string{}, "dutyPerS": 64.0},
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(m.settings, text, 0o600); err != nil {
			return err
		}
		d.members = append(d.members, m)
	}
	return nil
}

// run starts the process of a member with the command of the deploy file.
func (d *deployment) run(m *member) error {
	d.runMu.Lock()
	defer d.runMu.Unlock()
	if d.stopped {
		return nil
	}
	cmd := exec.Command("target/citronknotd", "hosted")
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CITRONKNOT_NODE_FILE=" + m.settings}
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	m.cmd, m.gone = cmd, gone
	go func() {
		_ = cmd.Wait()
		close(gone)
	}()
	return nil
}

// awaitReady waits until all members are ready and the service has an owner.
func (d *deployment) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if d.owner() != nil {
			time.Sleep(3 * time.Second) // traffic starts seconds after the machines
			return nil
		}
	}
	return fmt.Errorf("the service has no owner after 20 s")
}

// owner returns the member that last wrote to the store under a condition for the service, as its row says.
func (d *deployment) owner() *member {
	var holder struct {
		Holder string `json:"holder"`
	}
	if text := d.store.value("tenures", service, "holder"); text == nil || json.Unmarshal(text, &holder) != nil {
		return nil
	}
	for _, m := range d.members {
		if m.name == holder.Holder {
			return m
		}
	}
	return nil
}

// terminate sends SIGTERM to the process of a member, SIGKILL after graceS, and starts it again.
func (d *deployment) terminate(m *member) {
	d.note("SIGTERM to %s, which starts again after its end", m.name)
	process, gone := m.cmd.Process, m.gone
	_ = process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-gone:
		case <-time.After(6 * time.Second):
			_ = process.Signal(syscall.SIGKILL)
			<-gone
		}
		_ = d.run(m)
	}()
}

// stop ends all processes and stand-ins.
func (d *deployment) stop() {
	d.runMu.Lock()
	defer d.runMu.Unlock()
	if d.stopped {
		return
	}
	d.stopped = true
	for _, m := range d.members {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.gone
		}
	}
	for _, w := range d.workers {
		w.crash()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	_ = d.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println(d.dir)
	}
}

// needs returns what a task asks for, by the job that the client sent.
func (d *deployment) needs(task string) (cpu, mem int64) {
	parts := strings.Split(task, ".")
	d.jobsMu.Lock()
	defer d.jobsMu.Unlock()
	j, ok := d.jobs[parts[0]]
	var k int
	if len(parts) != 4 || !ok {
		return 0, 0
	}
	if _, err := fmt.Sscanf(parts[2], "%d", &k); err != nil || k >= len(j.Steps) {
		return 0, 0
	}
	return int64(j.Steps[k].CPU), int64(j.Steps[k].MemMb)
}

// call makes a client's call at a member and returns the status, 0 for no answer, and the body.
func (d *deployment) call(m *member, method, id string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+m.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Citronknot-Deadline", "3000")
	request.Header.Set("X-Citronknot-Credential", tenantKey)
	client := *d.client
	client.Timeout = 3 * time.Second
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// submit hands a job in and repeats that at other members until it is accepted.
func (d *deployment) submit(id string, j jobBody) error {
	d.jobsMu.Lock()
	d.jobs[id] = j
	d.jobsMu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		return err
	}
	for try := range 5 {
		m := d.members[(try+rand.Intn(len(d.members)))%len(d.members)]
		status, text := d.call(m, http.MethodPost, id, body)
		d.note("POST %s%s at %s: %s -> %d %s", prefix, id, m.name, body, status, text)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job that a member answers with, or an empty text.
func (d *deployment) state(id string, m *member) string {
	status, text := d.call(m, http.MethodGet, id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal([]byte(text), &answer)
	}
	d.note("GET %s%s at %s -> %d %s", prefix, id, m.name, status, text)
	return answer.State
}

// awaitFinal asks for the state of a job once a second, at one member after the other, until it is final or the
// time is over. It returns the last state.
func (d *deployment) awaitFinal(id string, limit time.Duration) string {
	last := ""
	for deadline, i := time.Now().Add(limit), 0; time.Now().Before(deadline); i++ {
		if s := d.state(id, d.members[i%len(d.members)]); s != "" {
			last = s
		}
		if last == "complete" || last == "failed" || last == "cancelled" {
			return last
		}
		time.Sleep(time.Second)
	}
	return last
}

// awaitRunning waits until so many runs have been started and go on at the same time.
func (d *deployment) awaitRunning(count int, limit time.Duration) error {
	most := 0
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		n := 0
		for _, w := range d.workers {
			w.mu.Lock()
			n += len(w.active)
			w.mu.Unlock()
		}
		if most = max(most, n); n >= count {
			return nil
		}
	}
	return fmt.Errorf("at most %d tasks ran at the same time, not %d", most, count)
}
