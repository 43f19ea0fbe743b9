package target_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/fleet/target"
)

// siblings opens connections and leaves them idle. On connections up to silentUpTo, the target
// falls silent after the first request.
func siblings(arrived *atomic.Int32, open, silentUpTo int) (script, func(*fixture)) {
	gate := make(chan struct{})
	serve := func(n int, c *peerConn) {
		for k := 0; ; k++ {
			id, _, ok := c.request()
			if !ok {
				return
			}
			if n <= open && k == 0 {
				<-gate
			} else {
				arrived.Add(1)
			}
			if k > 0 && n <= silentUpTo {
				continue
			}
			c.answer(id)
		}
	}
	return serve, func(f *fixture) {
		done := make(chan struct{}, open)
		for range open {
			go func() { f.forward(call{}); done <- struct{}{} }()
		}
		synctest.Wait()
		close(gate)
		for range open {
			<-done
		}
		synctest.Wait()
	}
}

// A request that is not idempotent waits on its silent connection until its deadline, while new
// requests use neither that connection nor the idle ones opened before it.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var arrived atomic.Int32
		script, open := siblings(&arrived, 4, 4)
		f := newFixture(t, script)
		open(f)
		must.Eq(t, 4, f.net.dials("a:1"))
		must.Eq(t, 4, f.State()[0].Idle)

		first := make(chan outcome)
		go func() { first <- f.forward(call{deadline: 2500 * time.Millisecond}) }()
		time.Sleep(1100 * time.Millisecond)
		test.Eq(t, 1, f.State()[0].Generation)
		test.Eq(t, 1, f.State()[0].InFlight)
		test.LessEq(t, 3, f.State()[0].Idle)

		start := time.Now()
		must.NoError(t, f.forward(call{}).err)
		test.Eq(t, 0, time.Since(start))
		test.Eq(t, 5, f.net.dials("a:1"))
		o := <-first
		test.True(t, o.sent())
		test.Eq(t, 2, arrived.Load()) // the first request was not sent again
		must.NoError(t, f.forward(call{}).err)
	})
}

// Requests whose deadline is shorter than the silence timeout must also end the use of silent
// connections.
func TestSilenceUnderShortDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var silent atomic.Bool
		var open atomic.Int32
		f := newFixture(t, func(_ int, c *peerConn) {
			old := !silent.Load()
			for {
				id, _, ok := c.request()
				if !ok {
					return
				}
				if open.Add(1) <= 4 {
					time.Sleep(10 * time.Millisecond) // keeps four connections busy at once
				}
				if silent.Load() && old {
					continue
				}
				c.answer(id)
			}
		})
		for range 4 {
			go f.forward(call{})
		}
		time.Sleep(20 * time.Millisecond)
		must.Eq(t, 4, f.State()[0].Idle)
		for range 200 {
			must.NoError(t, f.forward(call{}).err)
		}
		silent.Store(true)
		time.Sleep(time.Millisecond)
		test.True(t, f.forward(call{deadline: 200 * time.Millisecond}).sent())
		test.Eq(t, 0, f.State()[0].Idle)
		test.Eq(t, 1, f.State()[0].Failures)
		must.NoError(t, f.forward(call{deadline: 200 * time.Millisecond}).err)
	})
}

// A response that comes after the silence timeout still answers its own request.
func TestSlowIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(_ int, c *peerConn) {
			id, _, ok := c.request()
			if ok {
				time.Sleep(4 * time.Second)
				c.answer(id)
			}
		})
		o := f.forward(call{})
		must.NoError(t, o.err)
		test.Eq(t, 1, f.State()[0].Generation)
	})
}

// An idempotent request on a silent connection is tried again on a new connection, also if its
// target is the only one.
func TestSilentIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var arrived atomic.Int32
		script, open := siblings(&arrived, 3, 3)
		f := newFixture(t, script)
		open(f)
		start := time.Now()
		must.NoError(t, f.forward(call{idempotent: true}).err)
		test.Eq(t, time.Second, time.Since(start))
		test.Eq(t, 2, arrived.Load())
		test.Eq(t, []target.Result{target.Answered, target.Answered, target.Answered, target.Silent, target.Answered}, f.results())
	})
}

// Connections opened after the silent one stay in use.
func TestYoungerConnectionsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var arrived atomic.Int32
		script, open := siblings(&arrived, 1, 1)
		f := newFixture(t, script)
		open(f)
		first := make(chan outcome)
		go func() { first <- f.forward(call{deadline: 2 * time.Second}) }()
		time.Sleep(time.Millisecond)
		must.NoError(t, f.forward(call{}).err) // opens the second connection
		time.Sleep(1500 * time.Millisecond)
		test.Eq(t, 1, f.State()[0].Idle)
		must.NoError(t, f.forward(call{}).err)
		test.Eq(t, 2, f.net.dials("a:1"))
		<-first
	})
}

// An idle connection must be closed soon, because it may go silent unnoticed.
func TestIdleConnectionsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, serve)
		must.NoError(t, f.forward(call{}).err)
		time.Sleep(3500 * time.Millisecond)
		must.NoError(t, f.forward(call{}).err)
		test.Eq(t, 2, f.net.dials("a:1"))
	})
}

// The silence timeout must follow a pool whose run times grow, and its percentile must not be
// far off.
func TestLatencies(t *testing.T) {
	var l target.Latencies
	test.Eq(t, 1000, l.Silence())
	now := clock.Millis(0)
	for k := range 1000 {
		now += 10
		l.Record(now, clock.Millis(100+k%100*10)) // up to 1090 ms
	}
	test.Between(t, 3*1080, l.Silence(), 3*1300)
	for range 200_000 {
		now++
		l.Record(now, 20)
	}
	test.Eq(t, 1000, l.Silence())
}

// Retries must stay a part of the requests, and end when the pool is full.
func TestRetryBudget(t *testing.T) {
	var b target.RetryBudget
	now := clock.Millis(5000)
	allowed := func() (n int) {
		for b.Retry(now, false) {
			n++
		}
		return n
	}
	test.False(t, b.Retry(now, true))
	test.Eq(t, 3, allowed())
	for range 100 {
		b.Request(now)
	}
	test.Eq(t, 10, allowed())
	now += 9000
	test.Eq(t, 0, allowed())
	now += 1000
	test.Eq(t, 3, allowed())
}

// An overload that every target refuses must not be amplified by more than the budget, which is
// a tenth of the requests and 3 in each window of 10 s.
func TestRetriesUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var arrived atomic.Int32
		refuse := func(_ int, c *peerConn) {
			for {
				id, _, ok := c.request()
				if !ok {
					return
				}
				arrived.Add(1)
				c.refuse(id)
			}
		}
		f := newFixture(t, refuse, refuse, refuse)
		for range 200 {
			o := f.forward(call{idempotent: true})
			test.Error(t, o.err)
			test.False(t, o.sent())
		}
		windows := int32(time.Since(start)/(10*time.Second)) + 1
		test.LessEq(t, 200+20+3*windows, arrived.Load())
		test.GreaterEq(t, 200+3, arrived.Load())
	})
}

// A member may fill only its part of the connections, and there are no retries while the slots
// are full.
func TestFullPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		f := newFixture(t, func(_ int, c *peerConn) {
			id, _, ok := c.request()
			if ok {
				<-gate
				c.answer(id)
			}
		})
		s := *f.snapshot.Load()
		s.Targets = []fleet.Instance{s.Targets[0]}
		s.Targets[0].Connections, s.Members = 9, 4
		f.snapshot.Store(&s)
		done := make(chan outcome, 2)
		for range 2 {
			go func() { done <- f.forward(call{}) }()
		}
		synctest.Wait()
		test.Eq(t, 2, f.InFlight()["a"])
		o := f.forward(call{})
		must.Error(t, o.err)
		test.False(t, o.sent())
		close(gate)
		must.NoError(t, (<-done).err)
		must.NoError(t, (<-done).err)
	})
}

// A request that was admitted must not be refused because the guards are full for a moment, and
// its body must arrive whole and once.
func TestWaitsForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var ran atomic.Int32
		f := newFixture(t, func(_ int, c *peerConn) {
			for {
				id, r, ok := c.request() // which reads the whole body
				switch {
				case !ok:
					return
				case time.Since(start) < 100*time.Millisecond:
					c.refuse(id)
				default:
					test.Eq(t, 4, r.ContentLength)
					ran.Add(1)
					c.answer(id)
				}
			}
		})
		o := f.forward(call{body: strings.NewReader("body")})
		must.NoError(t, o.err, must.Sprint(time.Since(start), f.results()))
		test.Eq(t, 1, ran.Load())
		test.Less(t, 300*time.Millisecond, time.Since(start))
	})
}
