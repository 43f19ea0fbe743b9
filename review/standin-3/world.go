//go:build review3

// Command cases plays the scripts of the third review against processes of the project on loopback addresses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// member is a process of the project.
type member struct {
	name, zone, ip, front, file string
	cmd                         *exec.Cmd
	done                        chan struct{}
	stopped                     bool // the case has ended it, or holds it
}

// world is a small deployment.
type world struct {
	dir     string
	program string
	store   *store
	members []*member
	workers []*worker
	client  *http.Client
	begin   time.Time

	mu       sync.Mutex
	record   *os.File
	over     bool // no more processes are started
	prefixIP string
}

var theWorld *world

// finish ends all processes and the program.
func finish(code int) {
	if theWorld != nil {
		theWorld.mu.Lock()
		theWorld.over = true
		theWorld.mu.Unlock()
		for _, m := range theWorld.members {
			theWorld.kill(m)
		}
		_ = os.RemoveAll(theWorld.dir)
		_ = theWorld.record.Close()
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	finish(2)
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

func newWorld(record string) *world {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{
		dir: dir, program: os.Getenv("MEMBER"), store: newStore(), begin: time.Now(), record: f,
		client:   &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		prefixIP: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250)),
	}
	theWorld = w
	return w
}

// addMembers prepares the settings of members, one for each of the zones.
func (w *world) addMembers(zones []string) {
	const front, ready, first = 8340, 8343, 7000
	for i, zone := range zones {
		m := &member{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: w.prefixIP + strconv.Itoa(i+1)}
		m.front = fmt.Sprintf("%s:%d", m.ip, front)
		for _, port := range []int{front, ready, first, first + 1} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				cannotRun("port: %v", err)
			}
			_ = l.Close()
		}
		settings := map[string]any{
			"node": m.name, "role": "member", "machineClass": "edge", "serves": []string{"edge"}, "ip": m.ip, "zone": zone, "region": "r1",
			"listen":    map[string]any{"front": m.front, "ready": fmt.Sprintf("%s:%d", m.ip, ready)},
			"portRange": []int{first, first + 15}, "seeds": []string{}, "bootstrap": true,
			"limits":      map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"heartbeatMs": 1500,
			"bounds": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "stabilityMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
				"configMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000, "recoverS": 12, "holdMaxMs": 6000, "stopMs": 900, "gangMs": 3000,
				"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "farX": 3, "checkpointS": 0.5,
				"restoreMs": 250, "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2, "checksFence": false, "leaseTtlMs": 3000, "quotaBurst": 0.1,
			},
			"orders": "call",
			"platform": map[string]any{
				"addr": w.store.serve(m.name), "form": "table", "writesPerS": 800, "readsPerS": 2000, "txMs": 4.0, "partWritesPerS": 250,
				"rowBytes": 65536, "across": true, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
			},
		}
		text, _ := json.Marshal(settings)
		m.file = filepath.Join(w.dir, m.name+".json")
		if err := os.WriteFile(m.file, text, 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
		w.members = append(w.members, m)
	}
}

// run starts a member with the command of the deploy file.
func (w *world) run(m *member) {
	cmd := exec.Command(w.program, "hosted")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONKNOT_NODE_FILE=" + m.file}
	if dir := os.Getenv("LOGS"); dir != "" {
		f, err := os.OpenFile(filepath.Join(dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			cannotRun("log: %v", err)
		}
		cmd.Stdout, cmd.Stderr = f, f
	}
	w.mu.Lock()
	if w.over {
		w.mu.Unlock()
		return
	}
	if err := cmd.Start(); err != nil {
		w.mu.Unlock()
		cannotRun("start: %v", err)
	}
	done := make(chan struct{})
	m.cmd, m.done, m.stopped = cmd, done, false
	w.mu.Unlock()
	w.note("process of %s starts", m.name)
	go func() {
		err := cmd.Wait()
		w.mu.Lock()
		own := !m.stopped && m.cmd == cmd
		w.mu.Unlock()
		w.note("process of %s ended: %v, by itself: %v", m.name, err, own)
		close(done)
	}()
}

func (w *world) runAll() {
	for _, m := range w.members {
		w.run(m)
	}
}

// kill ends a member's process and waits for its end.
func (w *world) kill(m *member) {
	w.mu.Lock()
	cmd, done := m.cmd, m.done
	m.stopped = true
	w.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// residentMB returns the memory that a member's process occupies.
func (m *member) residentMB() int {
	if m.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// limitMemory ends a process that exceeds the memory of its settings, and starts it again half a second later.
// It returns a function that says how many processes it has ended.
func (w *world) limitMemory() func() int {
	var mu sync.Mutex
	ended := 0
	for _, m := range w.members {
		go func() {
			for {
				time.Sleep(10 * time.Millisecond)
				if mb := m.residentMB(); mb > memoryMB {
					mu.Lock()
					ended++
					mu.Unlock()
					w.note("%s occupies %d MB, and is ended", m.name, mb)
					w.kill(m)
					time.Sleep(500 * time.Millisecond)
					w.run(m)
				}
			}
		}()
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return ended
	}
}

// memoryMB is the memory of a process of the small sites.
const memoryMB = 284

// call sends a request to a member and returns the status, 0 without an answer, and the body.
func (w *world) call(m *member, method, host, path, key string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		reader = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3200*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, reader)
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("X-Citronknot-Deadline", "3000")
	if key != "" {
		r.Header.Set("X-Citronknot-Credential", key)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out := map[string]any{}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	_ = json.Unmarshal(text, &out)
	return resp.StatusCode, out
}

// holder returns the member that holds the lease of a partition, as the store's row says.
func (w *world) holder(part string) *member {
	var lease struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(w.store.get("tenures", part, "holder"), &lease)
	for _, m := range w.members {
		if m.name == lease.Holder {
			return m
		}
	}
	return nil
}

// awaitOwners waits until each partition has a holder.
func (w *world) awaitOwners(parts ...string) {
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, p := range parts {
			all = all && w.holder(p) != nil
		}
		if all {
			return
		}
		if time.Now().After(limit) {
			cannotRun("no owners")
		}
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func main() {
	if len(os.Args) != 3 || os.Getenv("MEMBER") == "" {
		fmt.Fprintln(os.Stderr, "usage: MEMBER=program cases CASE RECORD")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("ended from outside")
	}()
	time.AfterFunc(115*time.Second, func() { cannotRun("the case takes too long") })
	broken := run(w, trouble)
	for _, b := range broken {
		w.note("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		finish(1)
	}
	w.note("the rule held")
	fmt.Println("held")
	finish(0)
}
