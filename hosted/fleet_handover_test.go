package hosted_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
)

// newFleetCluster returns a cluster of two members in which the orders of two fleet leaders to a machine are
// at least change apart, and which has begun the maintenance of machine m0.
func newFleetCluster(t *testing.T, change time.Duration) *cluster {
	c := newCluster(t, 0, 4)
	c.minHolderChange = clock.Millis(change.Milliseconds())
	for i := range 2 {
		c.members = append(c.members, c.startWithUnknownCPU(fmt.Sprintf("member-%d", i)))
	}
	c.requestWave(1, "m0")
	c.waitMaintained("m0", 10*time.Second)
	return c
}

// requestWave writes a wave that has 10 s, so that it becomes urgent soon.
func (c *cluster) requestWave(number int, machines ...string) {
	c.requestWaveWithin(10*time.Second, number, machines...)
}

// requestWaveWithin writes a wave that is to be complete within the given time.
func (c *cluster) requestWaveWithin(duration time.Duration, number int, machines ...string) {
	c.store.Put("op", "", fmt.Sprintf("wave/%d", number), map[string]any{
		"wave": number, "machines": machines, "durationS": int(duration.Seconds()), "cap": 2,
	})
}

func (c *cluster) waitMaintained(machine string, timeout time.Duration) {
	c.waitFor(timeout, machine+" is maintained", func() bool {
		ids, _ := c.machines.Maintained()
		return slices.Contains(ids, machine)
	})
}

// killFleetLeader kills the fleet leader, which does not release its lease.
func (c *cluster) killFleetLeader() {
	for _, m := range c.members {
		if m.Dump().Owners["~fleet"] == string(m.settings.Member) {
			m.Close()
			m.stopped = true
			return
		}
	}
	c.t.Fatal("no member leads the fleet")
}

// Guards against a fleet without moves and maintenance for the least time between two leaders' orders
// after each change of the leader. Only machines that the former leader has ordered have to wait.
func TestNewFleetLeaderOrdersOtherMachinesAtOnce(t *testing.T) {
	t.Parallel()
	c := newFleetCluster(t, time.Minute)
	c.killFleetLeader()
	c.requestWave(2, "m0")
	c.requestWave(3, "m1")
	c.waitMaintained("m1", 15*time.Second)
	c.requestWave(4, "m2")
	c.waitMaintained("m2", 15*time.Second)
	must.Eq(t, 1, c.machines.Orders("m0"), must.Sprint("an order of the former leader to m0 may be on its way"))
	record, ok := c.store.Get("machine_orders", "~fleet", "recent")
	must.True(t, ok)
	must.StrContains(t, string(record), `"fence":2`)
	must.StrContains(t, string(record), `"m0"`, must.Sprint("the next leader, too, must know of the first one's order"))
}

// Guards against orders of two leaders to one machine that follow each other too closely because the
// record of the former leader's orders is lost.
func TestNewFleetLeaderWaitsWithoutRecord(t *testing.T) {
	t.Parallel()
	const change = 4 * time.Second
	c := newFleetCluster(t, change)
	c.killFleetLeader()
	killed := time.Now()
	c.store.PutRaw("machine_orders", "~fleet", "recent", []byte("no record"))
	c.requestWave(2, "m1")
	c.waitMaintained("m1", 20*time.Second)
	must.Greater(t, change, time.Since(killed))
}

// Guards against a record of orders that goes on naming machines whose orders can't be on their way any
// more: the next leader would hold all machines of the last peak.
func TestRecordForgetsOldOrders(t *testing.T) {
	t.Parallel()
	c := newFleetCluster(t, time.Second)
	c.waitFor(10*time.Second, "the record is empty", func() bool {
		record, _ := c.store.Get("machine_orders", "~fleet", "recent")
		return string(record) == `{"fence":1,"machines":[]}`
	})
}

// Guards against tasks that start on a machine to which an order of the former leader is on its way: a new leader
// tells the owners to keep the former one's cordons, until no such order can arrive any more.
func TestNewFleetLeaderKeepsCordons(t *testing.T) {
	t.Parallel()
	keeps := func(c *cluster) bool {
		for _, m := range c.members {
			if m.stopped {
				continue
			}
			url := fmt.Sprintf("http://127.0.0.1:%d/v1/fleet/report", m.settings.PeerPort)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(`{"pool":"none"}`))
			must.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			must.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			must.NoError(t, err)
			if response.StatusCode == http.StatusOK {
				return strings.Contains(string(body), `"keep_cordons":true`)
			}
		}
		return false
	}
	c := newFleetCluster(t, time.Minute)
	c.killFleetLeader()
	c.waitFor(10*time.Second, "the new leader keeps cordons", func() bool { return keeps(c) })
	short := newFleetCluster(t, 100*time.Millisecond)
	short.waitFor(10*time.Second, "cordons are not kept any more", func() bool { return !keeps(short) })
}
