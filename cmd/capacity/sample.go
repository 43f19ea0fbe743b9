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

// sampleCommand measures the CPU, memory and network use of idle processes and their calls to the
// platform. All figures are per process.
type sampleCommand struct {
	Label    string        `long:"label" description:"text in the first column of the rows"`
	Platform string        `long:"platform" required:"true" description:"base URL of the platform stand-in"`
	PIDs     []int         `long:"pid" required:"true" description:"process ID; repeat for each process"`
	Interval time.Duration `long:"every" default:"8s" description:"duration of one sample"`
	Samples  int           `long:"samples" default:"3" description:"number of samples"`
}

// reading holds the total resource use of all processes and the platform's counters at one time.
type reading struct {
	readAt        time.Time
	cpu           time.Duration
	residentBytes float64 // of the largest process
	ioBytes       float64 // read and written by system calls: sockets and the log
	counters      standin.Counters
}

// Execute implements flags.Commander.
func (s *sampleCommand) Execute([]string) error {
	rows := map[string][]float64{}
	previous, err := s.read()
	if err != nil {
		return err
	}
	for range s.Samples {
		time.Sleep(s.Interval)
		current, err := s.read()
		if err != nil {
			return err
		}
		processSeconds := float64(len(s.PIDs)) * current.readAt.Sub(previous.readAt).Seconds()
		platform, previousPlatform := current.counters, previous.counters
		addValue := func(name string, value float64) { rows[name] = append(rows[name], value) }
		addValue("cpu %", 100*(current.cpu-previous.cpu).Seconds()/processSeconds)
		addValue("resident MB", current.residentBytes/1e6)
		addValue("KB/s all", (current.ioBytes-previous.ioBytes)/processSeconds/1000)
		addValue("KB/s platform", float64(platform.Bytes-previousPlatform.Bytes)/processSeconds/1000)
		addValue("KB/s peers", (current.ioBytes-previous.ioBytes-float64(platform.Bytes-previousPlatform.Bytes))/processSeconds/1000)
		addValue("reads/s", float64(platform.Reads-previousPlatform.Reads)/processSeconds)
		addValue("writes/s", float64(platform.Writes-previousPlatform.Writes)/processSeconds)
		addValue("lists/s", float64(platform.Lists-previousPlatform.Lists)/processSeconds)
		previous = current
	}
	for _, name := range []string{"cpu %", "resident MB", "KB/s all", "KB/s platform", "KB/s peers", "reads/s", "writes/s", "lists/s"} {
		values := rows[name]
		slices.Sort(values)
		fmt.Printf("| %s | %d | %s | %.3f | %.3f to %.3f |\n", s.Label, len(s.PIDs), name, values[len(values)/2], values[0], values[len(values)-1])
	}
	return nil
}

// read returns the resource use until now. It returns an error if a process or the platform
// can't be read.
func (s *sampleCommand) read() (reading, error) {
	usage := reading{readAt: time.Now()}
	for _, pid := range s.PIDs {
		cpu, err := cpuTime(pid)
		if err != nil {
			return usage, err
		}
		statusFields, err := readFields(pid, "status")
		if err != nil {
			return usage, err
		}
		ioFields, err := readFields(pid, "io")
		if err != nil {
			return usage, err
		}
		usage.cpu += cpu
		usage.residentBytes = max(usage.residentBytes, 1024*statusFields["VmRSS"])
		usage.ioBytes += ioFields["rchar"] + ioFields["wchar"]
	}
	resp, err := http.Get(s.Platform + "/counters")
	if err != nil {
		return usage, eris.Wrap(err, "capacity: get counters")
	}
	defer resp.Body.Close()
	return usage, eris.Wrap(json.NewDecoder(resp.Body).Decode(&usage.counters), "capacity: decode counters")
}

// cpuTime returns the CPU time of a process as the sum over its threads, which the kernel counts
// in nanoseconds. The times in /proc/<pid>/stat have steps of 10 ms, which is too coarse for a
// process that uses 1% of a core.
func cpuTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, eris.Errorf("capacity: process %d has no threads", pid)
	}
	var sum time.Duration
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		runTime, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(runTime, 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "capacity: parse schedstat")
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// readFields reads a file of a process in /proc with lines of the form "name: number" and returns
// the numbers by name.
func readFields(pid int, file string) (map[string]float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil, eris.Wrap(err, "capacity: read process")
	}
	values := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		if words := strings.Fields(rest); len(words) > 0 {
			if value, err := strconv.ParseFloat(words[0], 64); err == nil {
				values[name] = value
			}
		}
	}
	return values, nil
}
