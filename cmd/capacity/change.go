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

// change measures one configuration change and the start of a process at each size.
type change struct {
	Notes int `long:"notes" default:"1050" description:"release notes that a process starts from"`
}

// repeats is the number of runs of each figure; the median and the spread are printed.
const repeats = 5

// cost is what one run of something takes.
type cost struct {
	micros float64
	bytes  float64 // allocated
}

// costOf runs f n times and returns the cost of one run.
func costOf(n int, f func(i int) error) (cost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range n {
		if err := f(i); err != nil {
			return cost{}, err
		}
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	return cost{
		micros: float64(took.Microseconds()) / float64(n),
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
	}, nil
}

// printCost prints the median and the spread of several runs.
func printCost(label string, n int, f func(i int) error) error {
	var micros []float64
	var c cost
	for range repeats {
		var err error
		if c, err = costOf(n, f); err != nil {
			return err
		}
		micros = append(micros, c.micros)
	}
	slices.Sort(micros)
	fmt.Printf("| %s | %.0f us | %.0f to %.0f us | %.1f KB allocated |\n",
		label, micros[repeats/2], micros[0], micros[repeats-1], c.bytes/1000)
	return nil
}

// Execute implements flags.Commander.
func (c *change) Execute([]string) error {
	for _, s := range sizes {
		if err := c.measure(s); err != nil {
			return err
		}
	}
	return nil
}

func (c *change) measure(s size) error {
	config, err := s.config()
	if err != nil {
		return err
	}
	text, err := note.EncodeConfig(config)
	if err != nil {
		return err
	}
	fmt.Printf("| %s: snapshot | %d bytes | | |\n", s, len(text))
	for i, kind := range []string{"team", "instance", "key"} {
		n := s.ordinary(i, config.Version)
		one, err := note.Encode(n)
		if err != nil {
			return err
		}
		fmt.Printf("| %s: note of one %s | %d bytes | | |\n", s, kind, len(one))
		steps := []struct {
			name string
			f    func(int) error
		}{
			{"encode", func(int) error { _, err := note.Encode(n); return err }},
			{"decode", func(int) error { _, err := note.Decode(one); return err }},
			{"merge", func(int) error { _, err := config.Merge(n); return err }},
		}
		for _, step := range steps {
			if err := printCost(fmt.Sprintf("%s: %s of one %s", s, step.name, kind), 500, step.f); err != nil {
				return err
			}
		}
	}
	err = printCost(fmt.Sprintf("%s: start from the snapshot", s), 5, func(int) error { _, err := note.DecodeConfig(text); return err })
	if err != nil {
		return err
	}
	return c.fromNotes(s)
}

// fromNotes measures the start of a process from the release notes in the table service.
func (c *change) fromNotes(s size) error {
	p := &standin.Platform{}
	log := &rowstore.ConfigLog{Table: p.Table()}
	ctx := context.Background()
	for i := range c.Notes {
		n := s.ordinary(i, fleet.Version(i))
		if i == 0 {
			n = s.note()
		}
		if _, err := log.Accept(ctx, n); err != nil {
			return err
		}
	}
	snapshot, err := s.config()
	if err != nil {
		return err
	}
	for i := 1; i < c.Notes-c.Notes%int(rowstore.SnapshotEvery); i++ {
		if snapshot, err = snapshot.Merge(s.ordinary(i, fleet.Version(i))); err != nil {
			return err
		}
	}
	load := func(context.Context) (*fleet.Config, error) { return snapshot, nil }
	for _, with := range []struct {
		name string
		load func(context.Context) (*fleet.Config, error)
	}{{"", nil}, {" and a snapshot", load}} {
		reads, runs := p.Reads.Load(), int64(0)
		label := fmt.Sprintf("%s: start with %d notes%s", s, c.Notes, with.name)
		err := printCost(label, 1, func(int) error {
			runs++
			f := &peer.Follower{Log: log, Current: &fleet.Current{}, Logger: slog.New(slog.DiscardHandler), Snapshot: with.load}
			return f.Refresh(ctx)
		})
		if err != nil {
			return err
		}
		fmt.Printf("| %s: table reads | %d | | |\n", label, (p.Reads.Load()-reads)/runs)
	}
	return nil
}
