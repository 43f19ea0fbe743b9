package peer_test

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/peer"
	"citronknot/rowstore"
	"citronknot/standin"
)

const (
	idleDuration    = 10 * time.Second // duration of the measurement without changes
	measuredChanges = 15
	outageDuration  = 10 * time.Second
)

// countedConn counts the bytes that pass through one end of a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of all connections that it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

// loopbackFleet is a fleet of members in this process that communicate over the loopback
// interface.
type loopbackFleet struct {
	store   standin.Platform
	nodes   []*node
	bytes   atomic.Int64 // bytes between members, counted at both ends
	calls   atomic.Int64
	mu      sync.Mutex
	applied map[fleet.Version][]time.Time
	running sync.WaitGroup
	closers []func()
}

// randomLoads returns a random load of one member: on 12 of 82 pools with 150 teams in a fleet
// of more than 40 members, and on 5 pools with 6 teams otherwise, which is the present size of
// the fleet.
func randomLoads(n int, r *rand.Rand) map[fleet.PoolID]peer.PoolLoad {
	pools, allPools, teams := 5, 5, 6
	if n > 40 {
		pools, allPools, teams = 12, 82, 150
	}
	out := map[fleet.PoolID]peer.PoolLoad{}
	for _, i := range r.Perm(allPools)[:pools] {
		teamLoads := map[fleet.TeamID]peer.TeamLoad{}
		for range 2 {
			teamLoads[fleet.TeamID(fmt.Sprintf("team-%03d", r.IntN(teams)))] = peer.TeamLoad{Running: 1 + r.IntN(8), Waiting: 1 + r.IntN(20)}
		}
		out[fleet.PoolID(fmt.Sprintf("pool-%02d", i))] = peer.PoolLoad{InFlight: r.IntN(30), Slots: fleet.Slots(r.IntN(30)), LongestWait: clock.Millis(r.IntN(500)), Teams: teamLoads}
	}
	return out
}

// newLoopbackFleet starts n members, which read the table service and, if exchange is set,
// exchange vectors.
func newLoopbackFleet(ctx context.Context, n int, exchange bool, seed *rand.Rand) *loopbackFleet {
	f := &loopbackFleet{applied: map[fleet.Version][]time.Time{}}
	store := httptest.NewServer(&f.store)
	f.closers = append(f.closers, store.Close)
	roster := make([]peer.Member, n)
	for i := range n {
		d := &node{id: fleet.MemberID(fmt.Sprintf("m%03d", i))}
		transport := peer.NewTransport()
		transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countedConn{c, &f.bytes}, err
		}
		client := &peer.Client{Credential: "secret", HTTP: &http.Client{Transport: transport}}
		logger := slog.New(slog.DiscardHandler)
		table := (&rowstore.Client{URL: store.URL, HTTP: &http.Client{Transport: &http.Transport{}}}).Table()
		d.follower = &peer.Follower{ConfigLog: &rowstore.ConfigLog{Table: table}, Current: &d.current, Logger: logger}
		load := rand.New(rand.NewPCG(seed.Uint64(), 0))
		zone := fleet.ZoneID(fmt.Sprint("zone-", i%7))
		d.syncer = &peer.Syncer{
			Self: d.id, Zone: zone, Epoch: 1, Logger: logger, Follower: d.follower, Assignments: &d.assignments,
			Members: func() peer.Roster {
				return peer.Roster{Members: roster, ReadAt: d.syncer.Clock.Mark(), HasRead: true}
			},
			Load: func() map[fleet.PoolID]peer.PoolLoad { return randomLoads(n, load) },
			Call: func(ctx context.Context, to peer.Member, m peer.Message) (peer.Message, error) {
				f.calls.Add(1)
				return client.Call(ctx, to, m)
			},
		}
		for z := range 7 {
			d.syncer.Publish(&fleet.Assignment{Zone: fleet.ZoneID(fmt.Sprint("zone-", z)), Version: 1})
		}
		d.follower.Changed = func() {
			f.mu.Lock()
			v := d.current.Load().Version
			f.applied[v] = append(f.applied[v], time.Now())
			f.mu.Unlock()
			if exchange {
				d.syncer.Changed()
			}
		}
		server := httptest.NewUnstartedServer((&peer.Server{Credential: "secret", Respond: d.syncer.Respond}).Handler())
		server.Listener = countedListener{server.Listener, &f.bytes}
		server.Start()
		roster[i] = peer.Member{ID: d.id, Zone: zone, Address: server.Listener.Addr().String()}
		f.closers = append(f.closers, transport.CloseIdleConnections, server.Close)
		f.nodes = append(f.nodes, d)
	}
	for _, d := range f.nodes {
		startDelay := time.Duration(seed.Int64N(int64(time.Second)))
		f.running.Go(func() {
			time.Sleep(startDelay)
			if exchange {
				f.running.Go(func() { d.syncer.Run(ctx) })
			}
			d.follower.Run(ctx)
		})
	}
	return f
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// usage is the total resource usage of all members up to a point in time.
type usage struct {
	readAt       time.Time
	bytes, calls int64
	reads        int64
	cpu          time.Duration
}

func (f *loopbackFleet) usage() usage {
	return usage{readAt: time.Now(), bytes: f.bytes.Load(), calls: f.calls.Load(), reads: f.store.Reads.Load(), cpu: cpuTime()}
}

// logUsage logs the usage of each member per second since before. A message is a request or a
// response.
func (f *loopbackFleet) logUsage(b *testing.B, label string, before usage) {
	v := f.usage()
	s := v.readAt.Sub(before.readAt).Seconds()
	n := float64(len(f.nodes))
	b.Logf("%3d members  %-22s %6.2f KB/s  %5.1f messages/s  %7.1f table reads/s (all)  %.3f%% of a core",
		len(f.nodes), label, float64(v.bytes-before.bytes)/n/s/1000, 2*2*float64(v.calls-before.calls)/n/s,
		float64(v.reads-before.reads)/s, 100*(v.cpu-before.cpu).Seconds()/n/s)
}

// logChangeDelays submits changes at random members and logs the time until all members have
// applied them.
func (f *loopbackFleet) logChangeDelays(b *testing.B, label string, seed *rand.Rand) {
	var delays []time.Duration
	for i := range measuredChanges {
		time.Sleep(time.Second + time.Duration(seed.Int64N(int64(time.Second))))
		d := f.nodes[seed.IntN(len(f.nodes))]
		v := fleet.Version(i + 1)
		got, err := d.follower.Submit(context.Background(), fleet.ReleaseNote{ID: fleet.NoteID(fmt.Sprint("n", i)), Base: v - 1})
		must.NoError(b, err)
		must.Eq(b, v, got)
		acceptedAt := time.Now()
		for range 300 { // 3 s
			f.mu.Lock()
			appliedAt := slices.Clone(f.applied[v])
			f.mu.Unlock()
			if len(appliedAt) == len(f.nodes) {
				for _, t := range appliedAt {
					delays = append(delays, max(0, t.Sub(acceptedAt)))
				}
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	must.Eq(b, measuredChanges*len(f.nodes), len(delays), must.Sprint("a change was not applied by all members within 3 s"))
	slices.SortFunc(delays, cmp.Compare[time.Duration])
	b.Logf("%3d members  %-22s in force: median %.3f s, maximum %.3f s (%d changes)", len(f.nodes), label,
		delays[len(delays)/2].Seconds(), delays[len(delays)-1].Seconds(), measuredChanges)
}

// logOutage makes the table service unavailable and logs the share of time in which the
// configuration of a member counted as fresh, so that keys were accepted.
func (f *loopbackFleet) logOutage(b *testing.B) {
	f.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(4 * time.Second)
	u := f.usage()
	fresh, all := 0, 0
	for range int(outageDuration / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		for _, d := range f.nodes {
			if age, ok := d.follower.Age(); ok && age <= 3000 {
				fresh++
			}
			all++
		}
	}
	f.logUsage(b, "exchange, outage", u)
	b.Logf("%3d members  exchange, outage       configuration fresh %.2f%% of the time", len(f.nodes), 100*float64(fresh)/float64(all))
}

// BenchmarkConfigurationSync compares the exchange of state vectors with periodic reads of the
// table service alone. The loads and the times of changes are random with seed 1. It logs a
// table and takes about 6 minutes:
//
//	go test ./peer -run '^$' -bench ConfigurationSync -benchtime 1x
func BenchmarkConfigurationSync(b *testing.B) {
	for _, n := range []int{8, 40, 150} {
		for _, exchange := range []bool{false, true} {
			mode := "polling"
			if exchange {
				mode = "exchange"
			}
			b.Run(fmt.Sprintf("%s-%d", mode, n), func(b *testing.B) {
				for range b.N {
					seed := rand.New(rand.NewPCG(1, uint64(n)))
					ctx, cancel := context.WithCancel(context.Background())
					f := newLoopbackFleet(ctx, n, exchange, seed)
					time.Sleep(5 * time.Second)
					u := f.usage()
					time.Sleep(idleDuration)
					f.logUsage(b, mode+", quiet", u)
					u = f.usage()
					f.logChangeDelays(b, mode, seed)
					f.logUsage(b, mode+", with changes", u)
					if exchange {
						var ages []int64
						for _, d := range f.nodes {
							for _, l := range d.syncer.Dump().Loads {
								ages = append(ages, l.AgeMS)
							}
						}
						slices.Sort(ages)
						b.Logf("%3d members  exchange               load known of %.1f members, age median %d ms, p99 %d ms",
							n, float64(len(ages))/float64(n), ages[len(ages)/2], ages[len(ages)*99/100])
						f.logOutage(b)
					}
					cancel()
					f.running.Wait()
					for _, c := range f.closers {
						c()
					}
				}
			})
		}
	}
}
