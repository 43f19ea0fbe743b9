package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/standin"
)

// sample measures what idle processes use. All figures are for one process.
type sample struct {
	Label    string        `long:"label" description:"first column of the rows"`
	Platform string        `long:"platform" required:"true" description:"base URL of the platform stand-in"`
	Pids     []int         `long:"pid" required:"true" description:"process; repeat for each"`
	Every    time.Duration `long:"every" default:"8s" description:"time of one sample"`
	Samples  int           `long:"samples" default:"3" description:"number of samples"`
}

// reading is what all processes and the platform have used so far.
type reading struct {
	at       time.Time
	cpu      time.Duration
	resident float64 // bytes, the largest process
	bytes    float64 // read and written by system calls: sockets and the log
	platform standin.Counters
}

// Execute implements flags.Commander.
func (s *sample) Execute([]string) error {
	rows := map[string][]float64{}
	before, err := s.read()
	if err != nil {
		return err
	}
	for range s.Samples {
		time.Sleep(s.Every)
		now, err := s.read()
		if err != nil {
			return err
		}
		n := float64(len(s.Pids)) * now.at.Sub(before.at).Seconds()
		p, q := now.platform, before.platform
		add := func(name string, v float64) { rows[name] = append(rows[name], v) }
		add("cpu %", 100*(now.cpu-before.cpu).Seconds()/n)
		add("resident MB", now.resident/1e6)
		add("KB/s all", (now.bytes-before.bytes)/n/1000)
		add("KB/s platform", float64(p.Bytes-q.Bytes)/n/1000)
		add("KB/s peers", (now.bytes-before.bytes-float64(p.Bytes-q.Bytes))/n/1000)
		add("reads/s", float64(p.Reads-q.Reads)/n)
		add("writes/s", float64(p.Writes-q.Writes)/n)
		add("lists/s", float64(p.Lists-q.Lists)/n)
		before = now
	}
	for _, name := range []string{"cpu %", "resident MB", "KB/s all", "KB/s platform", "KB/s peers", "reads/s", "writes/s", "lists/s"} {
		v := rows[name]
		slices.Sort(v)
		fmt.Printf("| %s | %d | %s | %.3f | %.3f to %.3f |\n", s.Label, len(s.Pids), name, v[len(v)/2], v[0], v[len(v)-1])
	}
	return nil
}

func (s *sample) read() (reading, error) {
	r := reading{at: time.Now()}
	for _, pid := range s.Pids {
		cpu, err := cpuTime(pid)
		if err != nil {
			return r, err
		}
		status, err := fields(pid, "status")
		if err != nil {
			return r, err
		}
		io, err := fields(pid, "io")
		if err != nil {
			return r, err
		}
		r.cpu += cpu
		r.resident = max(r.resident, 1024*status["VmRSS"])
		r.bytes += io["rchar"] + io["wchar"]
	}
	resp, err := http.Get(s.Platform + "/counters")
	if err != nil {
		return r, eris.Wrap(err, "capacity: counters")
	}
	defer resp.Body.Close()
	return r, eris.Wrap(json.NewDecoder(resp.Body).Decode(&r.platform), "capacity: counters")
}

// cpuTime adds up the run time of all threads, which the kernel keeps in nanoseconds. The
// times in /proc/<pid>/stat have steps of 10 ms, which is too coarse for 1% of a core.
func cpuTime(pid int) (time.Duration, error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return 0, eris.Errorf("capacity: process %d has no threads", pid)
	}
	var sum time.Duration
	for _, name := range tasks {
		text, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "capacity: schedstat")
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// fields reads the numbers of a file of lines "name: number".
func fields(pid int, file string) (map[string]float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil, eris.Wrap(err, "capacity: process")
	}
	out := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		if words := strings.Fields(rest); len(words) > 0 {
			if v, err := strconv.ParseFloat(words[0], 64); err == nil {
				out[name] = v
			}
		}
	}
	return out, nil
}
