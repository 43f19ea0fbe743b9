//go:build review3

package main

import (
	"fmt"
	"sync"
	"time"
)

// cases are the scripts by name. Each returns how the rule was broken, or nothing if it held.
var cases = map[string]func(w *world, trouble bool) []string{
	"gang":   gangTooWide,
	"memory": manyTasks,
	"keys":   foreignKeys,
	"timed":  manyTimes,
	"fails":  failingTasks,
}

const host = "pule25.example"

// revokeTime is the time after which a key that was taken away must not be of use, and finishTime the time after the end
// of the traffic at which jobs are asked for. Both are bounds of the small sites.
const (
	revokeTime = 5000 * time.Millisecond
	finishTime = 14 * time.Second
)

func config(version int, routes []map[string]any, backends []string, tenants []map[string]any) map[string]any {
	list := []map[string]any{}
	for _, b := range backends {
		list = append(list, map[string]any{"name": b, "admissionCheck": true})
	}
	return map[string]any{"version": version, "routes": routes, "backends": list, "tenants": tenants, "limits": map[string]any{"maxBodyBytes": 262144}}
}

func route(name, backend string) map[string]any {
	return map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "backend": backend, "attempts": 3, "stretch": 1.6, "sloMs": 600, "timeoutMs": 3000}
}

func (w *world) addWorkers(pool string, n int, cpu int64) {
	for i := range n {
		k := &worker{
			id: fmt.Sprintf("i-%s-%d", pool, i), pool: pool, zone: fmt.Sprintf("z%d", 1+i%3), machine: fmt.Sprintf("m-%s-%d", pool, i),
			rack: fmt.Sprintf("r1-%d", 1+i/4), cpu: cpu, mem: 131072, w: w,
		}
		k.start()
		w.workers = append(w.workers, k)
	}
}

// needs are what tasks request of a worker, in thousandths of a core, by their specs in the cases that ask for it.
var needs = map[string]int64{"300": 1000, "200": 50, "lasts": 10, "fails": 10}

// usedCPU returns what the running tasks request.
func (w *world) usedCPU() int64 {
	sum := int64(0)
	for _, k := range w.workers {
		k.mu.Lock()
		for _, r := range k.active {
			sum += needs[r.spec]
		}
		k.mu.Unlock()
	}
	return sum
}

// running returns the number of runs on the workers of tasks whose names begin with a prefix.
func (w *world) running(prefix string) int {
	n := 0
	for _, k := range w.workers {
		k.mu.Lock()
		for task := range k.active {
			if len(task) >= len(prefix) && task[:len(prefix)] == prefix {
				n++
			}
		}
		k.mu.Unlock()
	}
	return n
}

// client hands in jobs and remembers those that were accepted.
type client struct {
	w        *world
	key      string
	prefix   string
	mu       sync.Mutex
	accepted []string
	wg       sync.WaitGroup
}

// submit hands a job in, up to five times in all under the same id, as the clients of the small sites do.
func (c *client) submit(first int, job any) string {
	id := newID()
	for try := range 5 {
		m := c.w.members[(first+try)%len(c.w.members)]
		status, body := c.w.call(m, "POST", host, c.prefix+id, c.key, job)
		c.w.note("POST %s%s at %s: %d %v", c.prefix, id, m.name, status, short(body))
		if status == 200 {
			c.mu.Lock()
			c.accepted = append(c.accepted, id)
			c.mu.Unlock()
			return id
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// count returns the number of accepted jobs.
func (c *client) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.accepted)
}

func short(body map[string]any) string {
	text := fmt.Sprint(body)
	return text[:min(len(text), 120)]
}

// traffic hands in a job each interval until a time, without waiting for answers.
func (c *client) traffic(interval time.Duration, until time.Time, job any) {
	for i := 0; time.Now().Before(until); i++ {
		c.wg.Go(func() { c.submit(i, job) })
		time.Sleep(interval)
	}
}

// checkLost judges the rule LOST at finishTime after the end of the traffic, by about n of the accepted jobs: each is known and is
// answered in time, by one of two members at least; and a job that is not complete does not stand still for 3 s
// while less than a quarter of the pool is in use (the rule says half).
func (c *client) checkLost(n int) []string {
	var broken []string
	noAnswer, unknown, idle := 0, 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	c.mu.Lock()
	ids := []string{}
	for i := 0; i < len(c.accepted); i += 1 + len(c.accepted)/(n+1) {
		ids = append(ids, c.accepted[i])
	}
	c.mu.Unlock()
	busy := map[string]bool{}
	used, room := int64(0), int64(0)
	for _, k := range c.w.workers {
		room += k.cpu
	}
	for range 30 { // 3 s
		used = max(used, c.w.usedCPU())
		for _, id := range ids {
			busy[id] = busy[id] || c.w.running(id) > 0
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.w.note("within 3 s at most %d of %d thousandths of a core were in use in the whole pool", used, room)
	for i, id := range ids {
		wg.Go(func() {
			var status int
			var body map[string]any
			var m *member
			for try := range 2 {
				m = c.w.members[(i+try)%len(c.w.members)]
				status, body = c.w.call(m, "GET", host, c.prefix+id, c.key, nil)
				c.w.note("GET %s%s at %s: %d %v", c.prefix, id, m.name, status, short(body))
				if status == 200 || status == 410 {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == 410:
				unknown++
			case status != 200:
				noAnswer++
			case body["state"] != "complete" && !busy[id] && used < room/4:
				idle++
			}
		})
	}
	wg.Wait()
	if unknown > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs asked for are answered 410", unknown, len(ids)))
	}
	if noAnswer > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs asked for get no answer within 3 s, asked at two members each", noAnswer, len(ids)))
	}
	if idle > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs asked for are not complete and had nothing running for 3 s in a pool of which less than a quarter is in use", idle, len(ids)))
	}
	return broken
}

// smallJob is like the small jobs of the sites.
func smallJob() any {
	return map[string]any{"spec": "300", "steps": []map[string]any{{"count": 6, "cpu": 1000, "memMb": 512, "estMs": 300}, {"count": 6, "cpu": 1000, "memMb": 512, "estMs": 300, "after": []int{0}}}}
}

var twoTenants = []map[string]any{{"name": "t1", "apiKeys": []string{"k1"}, "weight": 10}, {"name": "t2", "apiKeys": []string{"k2"}, "weight": 10}}

// gangTooWide: a tenant hands in four jobs that can never be done, gangs that are a little wider than their
// pool, two at a time. Another tenant's jobs in that pool are judged.
func gangTooWide(w *world, trouble bool) []string {
	w.store.put("op", "config", config(1, []map[string]any{route("a", "pa")}, []string{"pa"}, twoTenants))
	w.addWorkers("pa", 12, 64000)
	w.addMembers([]string{"z1", "z1", "z2", "z2", "z3"})
	w.runAll()
	w.awaitOwners("pa", "~fleet")
	time.Sleep(2 * time.Second)
	other := &client{w: w, key: "k2", prefix: "/a/"}
	end := time.Now().Add(30 * time.Second)
	if trouble {
		poison := &client{w: w, key: "k1", prefix: "/a/"}
		for i := range 4 {
			time.AfterFunc(time.Duration(5+5*(i/2))*time.Second, func() {
				poison.submit(i, map[string]any{"spec": "lasts", "steps": []map[string]any{{"count": 10000, "cpu": 77, "memMb": 10, "gang": true, "longRunning": true}}})
			})
		}
	}
	other.traffic(100*time.Millisecond, end, smallJob())
	other.wg.Wait()
	time.Sleep(time.Until(end.Add(finishTime)))
	w.note("changes of the pool's owner: fence %s", w.store.get("tenures", "pa", "holder"))
	return other.checkLost(40)
}

// manyTasks: a tenant hands in large jobs that are due at the same time, two a second, and for 6.5 s 7.5 times as
// many. Another tenant's jobs in that pool are judged. The platform ends a process that exceeds its memory, and
// starts it again.
func manyTasks(w *world, trouble bool) []string {
	w.store.put("op", "config", config(1, []map[string]any{route("a", "pa")}, []string{"pa"}, twoTenants))
	w.addWorkers("pa", 12, 64000)
	w.addMembers([]string{"z1", "z1", "z2", "z2", "z3"})
	w.runAll()
	w.awaitOwners("pa", "~fleet")
	time.Sleep(2 * time.Second)
	ends := w.limitMemory()
	begin := time.Now()
	end := begin.Add(40 * time.Second)
	other := &client{w: w, key: "k2", prefix: "/a/"}
	large := &client{w: w, key: "k1", prefix: "/a/"}
	job := map[string]any{
		"spec": "200", "runCount": 1, "firstMs": begin.Add(16 * time.Second).UnixMilli(), "intervalMs": 1000,
		"steps": []map[string]any{{"count": 10000, "cpu": 50, "memMb": 10, "estMs": 200}},
	}
	const usual = 500 * time.Millisecond
	go large.traffic(usual, begin.Add(14*time.Second), job)
	if trouble {
		time.AfterFunc(5*time.Second, func() { large.traffic(usual*10/65, begin.Add(11500*time.Millisecond), job) })
	}
	other.traffic(usual, end, smallJob())
	other.wg.Wait()
	time.Sleep(time.Until(end.Add(finishTime)))
	w.note("%d large jobs were accepted; %d processes were ended for their memory", large.count(), ends())
	return other.checkLost(40)
}

// manyTimes: a tenant usually hands in two jobs a second that run at ten given times, one a second, which are all past
// already. For 2 s ten more come in a second, large ones, with 10,000 past times each; all of these together are work
// for a few seconds of the pool. Another tenant's jobs in that pool are judged.
func manyTimes(w *world, trouble bool) []string {
	w.store.put("op", "config", config(1, []map[string]any{route("a", "pa")}, []string{"pa"}, twoTenants))
	w.addWorkers("pa", 12, 64000)
	w.addMembers([]string{"z1", "z1", "z2", "z2", "z3"})
	w.runAll()
	w.awaitOwners("pa", "~fleet")
	time.Sleep(2 * time.Second)
	begin := time.Now()
	end := begin.Add(30 * time.Second)
	other := &client{w: w, key: "k2", prefix: "/a/"}
	usual := &client{w: w, key: "k1", prefix: "/a/"}
	large := &client{w: w, key: "k1", prefix: "/a/"}
	job := func(times int) any {
		first := begin.Add(time.Duration(-times) * time.Second)
		return map[string]any{
			"spec": "200", "runCount": times, "firstMs": first.UnixMilli(), "intervalMs": 1000,
			"steps": []map[string]any{{"count": 1, "cpu": 50, "memMb": 10, "estMs": 200}},
		}
	}
	go usual.traffic(500*time.Millisecond, end, job(10))
	if trouble {
		time.AfterFunc(5*time.Second, func() { large.traffic(100*time.Millisecond, begin.Add(7*time.Second), job(10000)) })
	}
	other.traffic(100*time.Millisecond, end, smallJob())
	other.wg.Wait()
	time.Sleep(time.Until(end.Add(finishTime)))
	w.note("accepted: %d large jobs, %d usual ones of the same tenant; the pool's owner: %s", large.count(), usual.count(), w.store.get("tenures", "pa", "holder"))
	return other.checkLost(40)
}

// failingTasks: a tenant hands in one job that can never be done: its tasks last, and fail soon after each start.
// Another tenant's jobs in that pool are judged.
func failingTasks(w *world, trouble bool) []string {
	w.store.put("op", "config", config(1, []map[string]any{route("a", "pa")}, []string{"pa"}, twoTenants))
	w.addWorkers("pa", 12, 64000)
	w.addMembers([]string{"z1", "z1", "z2", "z2", "z3"})
	w.runAll()
	w.awaitOwners("pa", "~fleet")
	time.Sleep(2 * time.Second)
	other := &client{w: w, key: "k2", prefix: "/a/"}
	lasting := &client{w: w, key: "k1", prefix: "/a/"}
	end := time.Now().Add(30 * time.Second)
	spec := "lasts"
	if trouble {
		spec = "fails"
	}
	time.AfterFunc(5*time.Second, func() {
		lasting.submit(0, map[string]any{"spec": spec, "steps": []map[string]any{{"count": 3000, "cpu": 10, "memMb": 10, "longRunning": true}}})
	})
	other.traffic(100*time.Millisecond, end, smallJob())
	other.wg.Wait()
	time.Sleep(time.Until(end.Add(finishTime)))
	w.note("%d jobs of the other tenant were accepted", other.count())
	return other.checkLost(40)
}

// foreignKeys: clients ask for jobs of another tenant and cancel them: one whose keys have been taken away and one
// that never had a key, on a public route of the same service, and one with the key of a third tenant.
func foreignKeys(w *world, trouble bool) []string {
	public := route("b", "pa")
	public["public"] = true
	routes := []map[string]any{route("a", "pa"), public}
	t1, t2, t3 := twoTenants[0], twoTenants[1], map[string]any{"name": "t3", "apiKeys": []string{"k3"}, "weight": 10}
	w.store.put("op", "config", config(1, routes, []string{"pa"}, []map[string]any{t1, t2, t3}))
	w.addWorkers("pa", 6, 64000)
	w.addMembers([]string{"z1", "z1", "z2", "z2", "z3"})
	w.runAll()
	w.awaitOwners("pa", "~fleet")
	time.Sleep(2 * time.Second)
	owner := &client{w: w, key: "k1", prefix: "/a/"}
	lasting := map[string]any{"spec": "lasts", "steps": []map[string]any{{"count": 3, "cpu": 1000, "memMb": 512, "longRunning": true}}}
	for i := range 4 {
		if owner.submit(i, lasting) == "" {
			cannotRun("a job was not accepted")
		}
	}
	time.Sleep(3 * time.Second)
	if trouble { // all keys of t2 are taken away
		w.store.put("op", "config", config(2, routes, []string{"pa"}, []map[string]any{t1, {"name": "t2", "apiKeys": []string{}, "weight": 10}, t3}))
		w.note("version 2, without the keys of t2, is acknowledged")
	}
	time.Sleep(revokeTime)
	if !trouble { // the others only ask for jobs that they have handed in themselves
		other := &client{w: w, key: "k2", prefix: "/b/"}
		id := other.submit(0, lasting)
		w.note("DELETE of the own job: %d", first(w.call(w.members[1], "DELETE", host, "/b/"+id, "k2", nil)))
		return owner.checkForeign(nil)
	}
	shown := []string{}
	for i, attempt := range []struct{ who, key, prefix string }{
		{"with a key that was taken away, on the job's route", "k2", "/a/"},
		{"with a key that was taken away, on a public route", "k2", "/b/"},
		{"with a key that no configuration ever held, on a public route", "k9", "/b/"},
		{"with the key of another tenant, on the job's route", "k3", "/a/"},
	} {
		id, m := owner.accepted[i], w.members[i]
		for _, method := range []string{"GET", "DELETE"} {
			status, body := w.call(m, method, host, attempt.prefix+id, attempt.key, nil)
			w.note("%s %s%s at %s, %s: %d %v", method, attempt.prefix, id, m.name, attempt.who, status, short(body))
			if status == 200 && method == "GET" && attempt.prefix == "/b/" {
				shown = append(shown, fmt.Sprintf("MIXED: %s%s, which nobody submitted, is shown as %v to a client %s", attempt.prefix, id, body["state"], attempt.who))
			}
		}
	}
	return owner.checkForeign(shown)
}

func first(status int, _ map[string]any) int { return status }

// checkForeign judges the jobs of the client, of which it has cancelled none.
func (c *client) checkForeign(broken []string) []string {
	time.Sleep(3 * time.Second)
	for _, id := range c.accepted {
		status, body := c.w.call(c.w.members[3], "GET", host, c.prefix+id, c.key, nil)
		c.w.note("GET %s%s by its tenant: %d %v; %d of its tasks run", c.prefix, id, status, short(body), c.w.running(id))
		if status != 200 || body["state"] != "running" {
			broken = append(broken, fmt.Sprintf("LOST: %s%s, which its tenant has not cancelled, is answered %d %v, and %d of its 3 tasks run", c.prefix, id, status, body["state"], c.w.running(id)))
		}
	}
	return broken
}
