package owner_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/dispatcher"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/schedule"
)

// zonedPool is an owner with one worker in zone z1, whose starts a test can hold back.
type zonedPool struct {
	owner   *runningOwner
	workers *fakeWorkers

	mu        sync.Mutex
	closed    bool           // MayStart returns false
	asked     []time.Time    // the calls of MayStart
	evacuated []fleet.ZoneID // as Config.Evacuated returns them
	log       lockedBuffer

	clock       clock.Clock
	suspended   atomic.Int64       // milliseconds for which the machine was suspended
	evacuations *fleet.Evacuations // asked in place of closed if it is set
}

// lockedBuffer holds log lines that several goroutines write.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newZonedPool runs an owner until the test ends.
func newZonedPool(t *testing.T) *zonedPool {
	p := &zonedPool{workers: &fakeWorkers{}}
	store := newStore()
	base := newClock()
	p.clock = clock.Clock{NowFunc: base.NowFunc, BootFunc: func() clock.Millis { return base.Now() + clock.Millis(p.suspended.Load()) }}
	p.owner = startOwner(t, owner.Config{
		Lease: claimLease(t, store.table(), p.clock, "m0"), Table: store.table(), Clock: p.clock,
		Calls: p.workers.calls(), Log: slog.New(slog.NewTextHandler(&p.log, nil)),
		Policy: func(fleet.QueueID) (job.Policy, bool) { return job.Policy{Attempts: 3}, true },
		MayStart: func(zone fleet.ZoneID) bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			must.Eq(t, "z1", zone)
			p.asked = append(p.asked, time.Now())
			if p.evacuations != nil {
				return p.evacuations.MayStart(zone)
			}
			return !p.closed
		},
		Evacuated: func() []fleet.ZoneID {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.evacuated
		},
	})
	t.Cleanup(func() { _ = p.owner.stop() })
	p.owner.SetWorkers(zonedWorkers("z1"))
	time.Sleep(time.Second)
	p.owner.SetWorkers(zonedWorkers("z1"))
	time.Sleep(time.Second)
	return p
}

// zonedWorkers returns a list of one worker in a zone.
func zonedWorkers(zone fleet.ZoneID) []owner.ListedWorker {
	return []owner.ListedWorker{{Worker: schedule.Worker{ID: "w1", Incarnation: 5, Zone: zone, Capacity: job.Resources{CPU: 8000}}, Address: "a"}}
}

func (p *zonedPool) set(closed bool, evacuated ...fleet.ZoneID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed, p.evacuated, p.asked = closed, evacuated, nil
}

// submit submits a job of one task.
func (p *zonedPool) submit(t *testing.T, id job.ID) {
	must.NoError(t, p.owner.Submit(t.Context(), &job.Job{ID: id, Queue: "q", Steps: []job.Step{{Count: 1, Needs: job.Resources{CPU: 1000}}}}, owner.Route{}, 0))
}

// Guards against an owner that sends a start although its member may not know all evacuations, that gives
// the task up, or that tries again so often that it has time for nothing else.
func TestOwnerHoldsStartsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newZonedPool(t)
		p.set(true)
		p.submit(t, "00000000000000aa")
		time.Sleep(3 * time.Second)
		must.Eq(t, 0, p.workers.started())
		p.mu.Lock()
		must.Between(t, 7, len(p.asked), 11)
		p.mu.Unlock()
		p.set(false)
		time.Sleep(time.Second)
		must.Eq(t, 1, p.workers.started())
	})
}

// Guards against an owner that was suspended for less time than its lease lasts, and on waking starts a
// task in a zone that was evacuated meanwhile, in its own zone or another.
func TestOwnerThatWakesReadsTheEvacuationsFirst(t *testing.T) {
	for _, ownZone := range []fleet.ZoneID{"z1", "z2"} {
		synctest.Test(t, func(t *testing.T) {
			p := newZonedPool(t)
			evacuations := &fleet.Evacuations{Clock: p.clock, OwnZone: ownZone, Limit: 4000}
			p.mu.Lock()
			p.evacuations = evacuations
			p.mu.Unlock()
			sent := p.clock.Mark()
			evacuations.Confirm(sent)
			p.submit(t, "00000000000000aa")
			time.Sleep(time.Second)
			must.Eq(t, 1, p.workers.started())
			p.suspended.Store(5000)
			p.submit(t, "00000000000000bb")
			time.Sleep(time.Second)
			must.Eq(t, 1, p.workers.started())
			evacuations.Confirm(sent) // the response that had waited
			time.Sleep(time.Second)
			must.Eq(t, 1, p.workers.started())
			evacuations.Confirm(p.clock.Mark())
			time.Sleep(time.Second)
			must.Eq(t, 2, p.workers.started())
		})
	}
}

// Guards against an owner that goes on ordering starts in an evacuated zone, or in a zone that was taken
// back starts nothing, and against an evacuation that leaves no line in the log, more than one, or one
// that lacks what the pool has in the zone.
func TestOwnerPassesEvacuatedZonesToItsPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newZonedPool(t)
		p.submit(t, "00000000000000aa")
		time.Sleep(time.Second)
		must.Eq(t, 1, p.workers.started())
		p.set(false, "z1")
		p.submit(t, "00000000000000bb")
		time.Sleep(time.Second)
		p.mu.Lock()
		must.SliceEmpty(t, p.asked, must.Sprint("no start is ordered"))
		p.mu.Unlock()
		p.set(false)
		time.Sleep(time.Second)
		must.Eq(t, 2, p.workers.started())
		for _, kind := range []string{"zone_evacuated", "zone_taken_back"} {
			var lines []string
			for line := range strings.Lines(p.log.String()) {
				if strings.Contains(line, "owner: "+kind) {
					lines = append(lines, line)
				}
			}
			must.Len(t, 1, lines)
			must.StrContains(t, lines[0], `msg="owner: `+kind+`" event=`+kind+" pool=p fence=1 zone=z1 workers=1 runs=1\n")
		}
	})
}

// Guards against a dispatcher that is not told the zone of a worker, or goes on with a zone that the
// worker does not name any more.
func TestAssignmentsNameTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDividedPool(t)
		joined := time.Now() // 0 on the dispatcher's clock
		first := p.join("s1")
		must.Eq(t, "", first[0].Zone)
		list := append(zonedWorkers("z1"), zonedWorkers("z2")...)
		list[1].ID = "w2"
		for i := range list {
			list[i].Capacity.CPU = 1000
		}
		p.owner.SetWorkers(list)
		zones := map[fleet.InstanceID]fleet.ZoneID{}
		for _, a := range p.join("s1") {
			zones[a.Endpoint.ID] = a.Zone
		}
		must.Eq(t, map[fleet.InstanceID]fleet.ZoneID{"w1": "z1", "w2": "z2"}, zones)
		order := p.startTask("00000000000000aa")
		p.send(dispatcher.Event{
			Kind: dispatcher.OrderCompleted, Assignment: order.Assignment, At: clock.MillisOf(time.Since(joined)), Order: order.Order, Outcome: schedule.ZoneClosed,
		})
		again := p.poll("s1")
		for range 10 {
			if len(again.Orders) == 0 {
				again = p.poll("s1")
			}
		}
		must.Len(t, 1, again.Orders, must.Sprint("a held start is placed again"))
		must.NotEq(t, order.Assignment, again.Orders[0].Assignment, must.Sprint("on another worker"))
		p.owner.TakeResults(dispatcher.Results{Member: "m1", Session: "s1", Number: 99, Leaving: true})
		_ = p.owner.stop()
	})
}
