package rowstore_test

import (
	"context"
	"errors"
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
	"citronknot/standin"
)

// TestMain fixes the seed of the property tests, so that a run can be repeated. A seed given
// with -rapid.seed takes precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// check runs n random schedules, unless -rapid.checks asks for another number.
func check(t *testing.T, n int, prop func(*rapid.T)) {
	t.Helper()
	asked := flag.Lookup("rapid.checks")
	if asked.Value.String() == asked.DefValue {
		must.NoError(t, flag.Set("rapid.checks", strconv.Itoa(n)))
		defer func() { _ = flag.Set("rapid.checks", asked.DefValue) }()
	}
	rapid.Check(t, prop)
}

// skewed is the clock of one member. It starts at an offset from true time; its wall clock
// may jump, and its monotonic clock may stand still while the machine is suspended.
type skewed struct {
	world     *world
	now, wall clock.Millis
}

func (s *skewed) clock() clock.Clock {
	return clock.Clock{
		NowFunc:  func() clock.Millis { return s.world.now + s.now },
		WallFunc: func() clock.Millis { return s.world.now + s.wall },
	}
}

// world is a store with faults under virtual time. Other members act while one waits for the
// store, which covers races and pauses at every call.
type world struct {
	t       *rapid.T
	store   standin.Platform
	now     clock.Millis
	delayed []rowstore.Transaction
	between func() // what others do while a call is under way
	nested  bool
	calm    bool // no faults
}

var errFault = errors.New("fault")

func (w *world) pause() {
	if w.between == nil || w.nested || w.calm || !rapid.Bool().Draw(w.t, "pause") {
		return
	}
	w.nested = true
	w.between()
	w.nested = false
}

func (w *world) table() *rowstore.Table {
	return &rowstore.Table{Transact: w.transact, Read: w.read}
}

func (w *world) transact(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
	w.pause()
	fault := "none"
	if !w.calm {
		fault = rapid.SampledFrom([]string{"none", "none", "none", "down", "lost before", "lost after", "delayed"}).Draw(w.t, "fault")
	}
	lost := &rowstore.UnavailableError{Op: "transaction", Maybe: fault != "down", Err: errFault}
	switch fault {
	case "down", "lost before":
		return nil, lost
	case "delayed":
		w.delayed = append(w.delayed, t)
		return nil, lost
	}
	versions, err := w.commit(t)
	w.pause()
	if fault == "lost after" {
		return nil, lost
	}
	return versions, err
}

// applyDelayed lets one delayed transaction take effect.
func (w *world) applyDelayed() {
	if n := len(w.delayed); n > 0 {
		i := rapid.IntRange(0, n-1).Draw(w.t, "delayed")
		_, _ = w.commit(w.delayed[i])
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	}
}

func (w *world) commit(t rowstore.Transaction) ([]fleet.Version, error) {
	return w.store.Table().Transact(context.Background(), t)
}

func (w *world) read(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
	w.pause()
	if !w.calm && rapid.IntRange(0, 9).Draw(w.t, "read fault") == 0 {
		return nil, &rowstore.UnavailableError{Op: "read", Err: errFault}
	}
	rows := w.rows(q)
	w.pause()
	return rows, nil
}

func (w *world) rows(q rowstore.Query) []rowstore.Row {
	rows, _ := w.store.Table().Read(context.Background(), q)
	return rows
}
