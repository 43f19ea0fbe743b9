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

// openConnections returns the script of a target and a function that opens count connections to
// it at once and leaves them idle. On the first unresponsiveUpTo connections, the target responds
// only to the first request.
func openConnections(received *atomic.Int32, count, unresponsiveUpTo int) (script, func(*fixture)) {
	proceed := make(chan struct{})
	script := func(n int, c *targetConn) {
		for k := 0; ; k++ {
			id, _, ok := c.request()
			if !ok {
				return
			}
			if n <= count && k == 0 {
				<-proceed
			} else {
				received.Add(1)
			}
			if k > 0 && n <= unresponsiveUpTo {
				continue
			}
			c.respond(id)
		}
	}
	return script, func(f *fixture) {
		done := make(chan struct{}, count)
		for range count {
			go func() { f.forward(call{}); done <- struct{}{} }()
		}
		synctest.Wait()
		close(proceed)
		for range count {
			<-done
		}
		synctest.Wait()
	}
}

// A request that is not idempotent must wait on its unresponsive connection until its deadline.
// New requests must use neither that connection nor the idle ones opened before it.
func TestUnresponsiveConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int32
		script, openAll := openConnections(&received, 4, 4)
		f := newFixture(t, script)
		openAll(f)
		must.Eq(t, 4, f.network.dials("a:1"))
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
		test.Eq(t, 5, f.network.dials("a:1"))
		o := <-first
		test.True(t, o.sent())
		test.Eq(t, 2, received.Load()) // the first request was not sent again
		must.NoError(t, f.forward(call{}).err)
	})
}

// A request whose deadline is shorter than the inactivity timeout must also cause unresponsive
// connections to be abandoned.
func TestUnresponsiveConnectionShortDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var unresponsive atomic.Bool
		var requests atomic.Int32
		f := newFixture(t, func(_ int, c *targetConn) {
			openedBefore := !unresponsive.Load()
			for {
				id, _, ok := c.request()
				if !ok {
					return
				}
				if requests.Add(1) <= 4 {
					time.Sleep(10 * time.Millisecond) // keeps four connections busy at once
				}
				if unresponsive.Load() && openedBefore {
					continue
				}
				c.respond(id)
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
		unresponsive.Store(true)
		time.Sleep(time.Millisecond)
		test.True(t, f.forward(call{deadline: 200 * time.Millisecond}).sent())
		test.Eq(t, 0, f.State()[0].Idle)
		test.Eq(t, 1, f.State()[0].Failures)
		must.NoError(t, f.forward(call{deadline: 200 * time.Millisecond}).err)
	})
}

// A response that arrives after the inactivity timeout must still reach the caller of its
// request.
func TestSlowResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(_ int, c *targetConn) {
			id, _, ok := c.request()
			if ok {
				time.Sleep(4 * time.Second)
				c.respond(id)
			}
		})
		o := f.forward(call{})
		must.NoError(t, o.err)
		test.Eq(t, 1, f.State()[0].Generation)
	})
}

// An idempotent request on an unresponsive connection must be retried on a new connection, even
// if its target is the only one.
func TestIdempotentRetryAfterInactivity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int32
		script, openAll := openConnections(&received, 3, 3)
		f := newFixture(t, script)
		openAll(f)
		start := time.Now()
		must.NoError(t, f.forward(call{idempotent: true}).err)
		test.Eq(t, time.Second, time.Since(start))
		test.Eq(t, 2, received.Load())
		test.Eq(t, []target.Result{target.Completed, target.Completed, target.Completed, target.Unresponsive, target.Completed}, f.results())
	})
}

// Connections opened after the unresponsive one must stay in use.
func TestNewerConnectionsStayInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int32
		script, openAll := openConnections(&received, 1, 1)
		f := newFixture(t, script)
		openAll(f)
		first := make(chan outcome)
		go func() { first <- f.forward(call{deadline: 2 * time.Second}) }()
		time.Sleep(time.Millisecond)
		must.NoError(t, f.forward(call{}).err) // opens the second connection
		time.Sleep(1500 * time.Millisecond)
		test.Eq(t, 1, f.State()[0].Idle)
		must.NoError(t, f.forward(call{}).err)
		test.Eq(t, 2, f.network.dials("a:1"))
		<-first
	})
}

// An idle connection must be closed soon, because it can become unresponsive unnoticed.
func TestIdleConnectionsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, respondToAll)
		must.NoError(t, f.forward(call{}).err)
		time.Sleep(3500 * time.Millisecond)
		must.NoError(t, f.forward(call{}).err)
		test.Eq(t, 2, f.network.dials("a:1"))
	})
}

// The inactivity timeout must follow the run times of a pool, and the estimate of the 99th
// percentile must be close to it.
func TestLatencies(t *testing.T) {
	var l target.Latencies
	test.Eq(t, 1000, l.InactivityTimeout())
	now := clock.Millis(0)
	for k := range 1000 {
		now += 10
		l.Record(now, clock.Millis(100+k%100*10)) // up to 1090 ms
	}
	test.Between(t, 3*1080, l.InactivityTimeout(), 3*1300)
	for range 200_000 {
		now++
		l.Record(now, 20)
	}
	test.Eq(t, 1000, l.InactivityTimeout())
}

// Retries must stay within 10% of the requests plus 3 in the window, and there must be none while
// the pool is full.
func TestRetryBudget(t *testing.T) {
	var b target.RetryBudget
	now := clock.Millis(5000)
	allowed := func() (n int) {
		for b.TakeRetry(now, false) {
			n++
		}
		return n
	}
	test.False(t, b.TakeRetry(now, true))
	test.Eq(t, 3, allowed())
	for range 100 {
		b.CountRequest(now)
	}
	test.Eq(t, 10, allowed())
	now += 9000
	test.Eq(t, 0, allowed())
	now += 1000
	test.Eq(t, 3, allowed())
}

// If every target refuses requests because of overload, retries must not exceed the budget: a
// tenth of the requests and 3 more in each window of 10 s.
func TestRetriesUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var received atomic.Int32
		refuse := func(_ int, c *targetConn) {
			for {
				id, _, ok := c.request()
				if !ok {
					return
				}
				received.Add(1)
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
		test.LessEq(t, 200+20+3*windows, received.Load())
		test.GreaterEq(t, 200+3, received.Load())
	})
}

// A member may use only its share of a target's connections, and there are no retries while all
// slots are in use.
func TestFullPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		proceed := make(chan struct{})
		f := newFixture(t, func(_ int, c *targetConn) {
			id, _, ok := c.request()
			if ok {
				<-proceed
				c.respond(id)
			}
		})
		snapshot := *f.snapshot.Load()
		snapshot.Targets = []fleet.Instance{snapshot.Targets[0]}
		snapshot.Targets[0].Connections, snapshot.Members = 9, 4
		f.snapshot.Store(&snapshot)
		done := make(chan outcome, 2)
		for range 2 {
			go func() { done <- f.forward(call{}) }()
		}
		synctest.Wait()
		test.Eq(t, 2, f.InFlight()["a"])
		o := f.forward(call{})
		must.Error(t, o.err)
		test.False(t, o.sent())
		close(proceed)
		must.NoError(t, (<-done).err)
		must.NoError(t, (<-done).err)
	})
}

// An admitted request must not fail because all guards refuse it for a short time. It must run
// once, with its whole body.
func TestWaitsForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var ran atomic.Int32
		f := newFixture(t, func(_ int, c *targetConn) {
			for {
				id, r, ok := c.request() // reads the whole body
				switch {
				case !ok:
					return
				case time.Since(start) < 100*time.Millisecond:
					c.refuse(id)
				default:
					test.Eq(t, 4, r.ContentLength)
					ran.Add(1)
					c.respond(id)
				}
			}
		})
		o := f.forward(call{body: strings.NewReader("body")})
		must.NoError(t, o.err, must.Sprint(time.Since(start), f.results()))
		test.Eq(t, 1, ran.Load())
		test.Less(t, 300*time.Millisecond, time.Since(start))
	})
}
