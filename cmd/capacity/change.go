package main

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"time"

	"citronknot/fleet"
	"citronknot/note"
	"citronknot/peer"
	"citronknot/rowstore"
	"citronknot/standin"
)

// changeCommand measures one configuration change and the start of a process at each fleet size.
type changeCommand struct {
	Notes int `long:"notes" default:"1050" description:"number of release notes that a process reads at its start"`
}

// repeats is the number of runs of each measurement. The median and the range are printed.
const repeats = 5

// cost is the time and the memory allocation of one run of a measured function.
type cost struct {
	microseconds   float64
	allocatedBytes float64
}

// measureCost runs f n times and returns the mean cost of one run.
func measureCost(n int, f func(i int) error) (cost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range n {
		if err := f(i); err != nil {
			return cost{}, err
		}
	}
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	return cost{
		microseconds:   float64(elapsed.Microseconds()) / float64(n),
		allocatedBytes: float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
	}, nil
}

// printCost runs a measurement several times and prints the median and the range of its time,
// and the allocation of the last one.
func printCost(label string, n int, f func(i int) error) error {
	var microseconds []float64
	var c cost
	for range repeats {
		var err error
		if c, err = measureCost(n, f); err != nil {
			return err
		}
		microseconds = append(microseconds, c.microseconds)
	}
	slices.Sort(microseconds)
	fmt.Printf("| %s | %.0f us | %.0f to %.0f us | %.1f KB allocated |\n",
		label, microseconds[repeats/2], microseconds[0], microseconds[repeats-1], c.allocatedBytes/1000)
	return nil
}

// Execute implements flags.Commander.
func (c *changeCommand) Execute([]string) error {
	for _, size := range sizes {
		if err := c.measure(size); err != nil {
			return err
		}
	}
	return nil
}

// measure prints the size of a configuration and of changes to it, and the time to encode, decode
// and merge them.
func (c *changeCommand) measure(size fleetSize) error {
	config, err := size.config()
	if err != nil {
		return err
	}
	text, err := note.EncodeConfig(config)
	if err != nil {
		return err
	}
	fmt.Printf("| %s: snapshot | %d bytes | | |\n", size, len(text))
	for i, kind := range []string{"team", "instance", "key"} {
		change := size.ordinaryChange(i, config.Version)
		encoded, err := note.Encode(change)
		if err != nil {
			return err
		}
		fmt.Printf("| %s: note of one %s | %d bytes | | |\n", size, kind, len(encoded))
		steps := []struct {
			name string
			run  func(int) error
		}{
			{"encode", func(int) error { _, err := note.Encode(change); return err }},
			{"decode", func(int) error { _, err := note.Decode(encoded); return err }},
			{"merge", func(int) error { _, err := config.Merge(change); return err }},
		}
		for _, step := range steps {
			if err := printCost(fmt.Sprintf("%s: %s of one %s", size, step.name, kind), 500, step.run); err != nil {
				return err
			}
		}
	}
	err = printCost(fmt.Sprintf("%s: start from the snapshot", size), 5, func(int) error { _, err := note.DecodeConfig(text); return err })
	if err != nil {
		return err
	}
	return c.measureStart(size)
}

// measureStart measures how long a process takes at its start to read the release notes from the
// table service, without and with a snapshot.
func (c *changeCommand) measureStart(size fleetSize) error {
	platform := &standin.Platform{}
	log := &rowstore.ConfigLog{Table: platform.Table()}
	ctx := context.Background()
	for i := range c.Notes {
		releaseNote := size.ordinaryChange(i, fleet.Version(i))
		if i == 0 {
			releaseNote = size.releaseNote()
		}
		if _, err := log.Accept(ctx, releaseNote); err != nil {
			return err
		}
	}
	snapshot, err := size.config()
	if err != nil {
		return err
	}
	for i := 1; i < c.Notes-c.Notes%int(rowstore.SnapshotEvery); i++ {
		if snapshot, err = snapshot.Merge(size.ordinaryChange(i, fleet.Version(i))); err != nil {
			return err
		}
	}
	load := func(context.Context) (*fleet.Config, error) { return snapshot, nil }
	for _, variant := range []struct {
		name string
		load func(context.Context) (*fleet.Config, error)
	}{{"", nil}, {" and a snapshot", load}} {
		reads, runs := platform.Reads.Load(), int64(0)
		label := fmt.Sprintf("%s: start with %d notes%s", size, c.Notes, variant.name)
		err := printCost(label, 1, func(int) error {
			runs++
			follower := &peer.Follower{ConfigLog: log, Current: &fleet.Current{}, Logger: slog.New(slog.DiscardHandler), Snapshot: variant.load}
			return follower.Refresh(ctx)
		})
		if err != nil {
			return err
		}
		fmt.Printf("| %s: table reads | %d | | |\n", label, (platform.Reads.Load()-reads)/runs)
	}
	return nil
}
