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

// checkProperty runs n random schedules, unless -rapid.checks sets another number.
func checkProperty(t *testing.T, n int, prop func(*rapid.T)) {
	t.Helper()
	checks := flag.Lookup("rapid.checks")
	if checks.Value.String() == checks.DefValue {
		must.NoError(t, flag.Set("rapid.checks", strconv.Itoa(n)))
		defer func() { _ = flag.Set("rapid.checks", checks.DefValue) }()
	}
	rapid.Check(t, prop)
}

// skewedClock is the clock of one member. It starts at an offset from true time. Its wall clock
// may jump, and its monotonic clock may stand still while the machine is suspended; only the clock
// that counts suspensions keeps true time.
type skewedClock struct {
	sim                   *simulation
	nowOffset, wallOffset clock.Millis
}

func (s *skewedClock) clock() clock.Clock {
	return clock.Clock{
		NowFunc:  func() clock.Millis { return s.sim.now + s.nowOffset },
		BootFunc: func() clock.Millis { return s.sim.now },
		WallFunc: func() clock.Millis { return s.sim.now + s.wallOffset },
	}
}

// simulation is a store with faults under virtual time. Other members act while one waits for
// the store, which covers races and pauses at every call.
type simulation struct {
	t          *rapid.T
	store      standin.Platform
	now        clock.Millis
	delayed    []rowstore.Transaction
	concurrent func() // what other members do while a call is in flight
	nested     bool
	faultFree  bool
}

var errFault = errors.New("fault")

func (w *simulation) runConcurrent() {
	if w.concurrent == nil || w.nested || w.faultFree || !rapid.Bool().Draw(w.t, "pause") {
		return
	}
	w.nested = true
	w.concurrent()
	w.nested = false
}

func (w *simulation) table() *rowstore.Table {
	return &rowstore.Table{Transact: w.transact, Read: w.read}
}

func (w *simulation) transact(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
	w.runConcurrent()
	fault := "none"
	if !w.faultFree {
		fault = rapid.SampledFrom([]string{"none", "none", "none", "down", "lost before", "lost after", "delayed"}).Draw(w.t, "fault")
	}
	unavailable := &rowstore.UnavailableError{Op: "transaction", OutcomeUnknown: fault != "down", Err: errFault}
	switch fault {
	case "down", "lost before":
		return nil, unavailable
	case "delayed":
		w.delayed = append(w.delayed, t)
		return nil, unavailable
	}
	versions, err := w.commit(t)
	w.runConcurrent()
	if fault == "lost after" {
		return nil, unavailable
	}
	return versions, err
}

// applyDelayed applies one of the delayed transactions.
func (w *simulation) applyDelayed() {
	if n := len(w.delayed); n > 0 {
		i := rapid.IntRange(0, n-1).Draw(w.t, "delayed")
		_, _ = w.commit(w.delayed[i])
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	}
}

func (w *simulation) commit(t rowstore.Transaction) ([]fleet.Version, error) {
	return w.store.Table().Transact(context.Background(), t)
}

func (w *simulation) read(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
	w.runConcurrent()
	if !w.faultFree && rapid.IntRange(0, 9).Draw(w.t, "read fault") == 0 {
		return nil, &rowstore.UnavailableError{Op: "read", Err: errFault}
	}
	rows := w.rows(q)
	w.runConcurrent()
	return rows, nil
}

func (w *simulation) rows(q rowstore.Query) []rowstore.Row {
	rows, _ := w.store.Table().Read(context.Background(), q)
	return rows
}
