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
	measureQuiet   = 10 * time.Second // without changes
	measureChanges = 15
	measureOutage  = 10 * time.Second
)

// counted counts the bytes of a connection at one of its ends.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return counted{c, l.bytes}, err
}

// field is a fleet of members on loopback, in this process.
type field struct {
	store   standin.Platform
	nodes   []*node
	bytes   atomic.Int64 // between members, counted at both ends
	calls   atomic.Int64
	mu      sync.Mutex
	applied map[fleet.Version][]time.Time
	wg      sync.WaitGroup
	closers []func()
}

// loads returns the load of a member with 12 of 82 pools and 150 teams, or with 5 pools and 6
// teams today.
func loads(n int, r *rand.Rand) map[fleet.PoolID]peer.PoolLoad {
	pools, of, teams := 5, 5, 6
	if n > 40 {
		pools, of, teams = 12, 82, 150
	}
	out := map[fleet.PoolID]peer.PoolLoad{}
	for _, i := range r.Perm(of)[:pools] {
		w := map[fleet.TeamID]peer.TeamLoad{}
		for range 2 {
			w[fleet.TeamID(fmt.Sprintf("team-%03d", r.IntN(teams)))] = peer.TeamLoad{Running: 1 + r.IntN(8), Waiting: 1 + r.IntN(20)}
		}
		out[fleet.PoolID(fmt.Sprintf("pool-%02d", i))] = peer.PoolLoad{InFlight: r.IntN(30), Slots: fleet.Slots(r.IntN(30)), Oldest: clock.Millis(r.IntN(500)), Teams: w}
	}
	return out
}

func newField(ctx context.Context, n int, exchange bool, seed *rand.Rand) *field {
	f := &field{applied: map[fleet.Version][]time.Time{}}
	store := httptest.NewServer(&f.store)
	f.closers = append(f.closers, store.Close)
	list := make([]peer.Member, n)
	for i := range n {
		d := &node{id: fleet.MemberID(fmt.Sprintf("m%03d", i))}
		transport := peer.NewTransport()
		transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return counted{c, &f.bytes}, err
		}
		client := &peer.Client{Credential: "secret", HTTP: &http.Client{Transport: transport}}
		logger := slog.New(slog.DiscardHandler)
		table := (&rowstore.Client{URL: store.URL, HTTP: &http.Client{Transport: &http.Transport{}}}).Table()
		d.follower = &peer.Follower{Log: &rowstore.ConfigLog{Table: table}, Current: &d.current, Logger: logger}
		load := rand.New(rand.NewPCG(seed.Uint64(), 0))
		zone := fleet.ZoneID(fmt.Sprint("zone-", i%7))
		d.syncer = &peer.Syncer{
			Self: d.id, Zone: zone, Epoch: 1, Logger: logger, Follower: d.follower, Assignments: &d.zones,
			Members: func() peer.Roster {
				return peer.Roster{Members: list, Read: d.syncer.Clock.Mark(), Known: true}
			},
			Load: func() map[fleet.PoolID]peer.PoolLoad { return loads(n, load) },
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
		server := httptest.NewUnstartedServer((&peer.Server{Credential: "secret", Answer: d.syncer.Answer}).Handler())
		server.Listener = countedListener{server.Listener, &f.bytes}
		server.Start()
		list[i] = peer.Member{ID: d.id, Zone: zone, Address: server.Listener.Addr().String()}
		f.closers = append(f.closers, transport.CloseIdleConnections, server.Close)
		f.nodes = append(f.nodes, d)
	}
	for _, d := range f.nodes {
		late := time.Duration(seed.Int64N(int64(time.Second)))
		f.wg.Go(func() {
			time.Sleep(late)
			if exchange {
				f.wg.Go(func() { d.syncer.Run(ctx) })
			}
			d.follower.Run(ctx)
		})
	}
	return f
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// usage is what all members used in a time.
type usage struct {
	at           time.Time
	bytes, calls int64
	reads        int64
	cpu          time.Duration
}

func (f *field) usage() usage {
	return usage{at: time.Now(), bytes: f.bytes.Load(), calls: f.calls.Load(), reads: f.store.Reads.Load(), cpu: cpu()}
}

// since prints what each member used a second since u. A message is a request or an answer.
func (f *field) since(b *testing.B, what string, u usage) {
	v := f.usage()
	s := v.at.Sub(u.at).Seconds()
	n := float64(len(f.nodes))
	b.Logf("%3d members  %-22s %6.2f KB/s  %5.1f messages/s  %7.1f table reads/s (all)  %.3f%% of a core",
		len(f.nodes), what, float64(v.bytes-u.bytes)/n/s/1000, 2*2*float64(v.calls-u.calls)/n/s,
		float64(v.reads-u.reads)/s, 100*(v.cpu-u.cpu).Seconds()/n/s)
}

// spread makes changes at random members and prints the time until they are in force.
func (f *field) spread(b *testing.B, what string, seed *rand.Rand) {
	var delays []time.Duration
	for i := range measureChanges {
		time.Sleep(time.Second + time.Duration(seed.Int64N(int64(time.Second))))
		d := f.nodes[seed.IntN(len(f.nodes))]
		v := fleet.Version(i + 1)
		got, err := d.follower.Accept(context.Background(), fleet.ReleaseNote{ID: fleet.NoteID(fmt.Sprint("n", i)), Base: v - 1})
		must.NoError(b, err)
		must.Eq(b, v, got)
		begun := time.Now()
		for range 300 { // 3 s
			f.mu.Lock()
			at := slices.Clone(f.applied[v])
			f.mu.Unlock()
			if len(at) == len(f.nodes) {
				for _, t := range at {
					delays = append(delays, max(0, t.Sub(begun)))
				}
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	must.Eq(b, measureChanges*len(f.nodes), len(delays), must.Sprint("a change was not in force everywhere within 3 s"))
	slices.SortFunc(delays, cmp.Compare[time.Duration])
	b.Logf("%3d members  %-22s in force: median %.3f s, maximum %.3f s (%d changes)", len(f.nodes), what,
		delays[len(delays)/2].Seconds(), delays[len(delays)-1].Seconds(), measureChanges)
}

// outage takes the table service down and prints how often keys were accepted.
func (f *field) outage(b *testing.B) {
	f.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(4 * time.Second)
	u := f.usage()
	fresh, all := 0, 0
	for range int(measureOutage / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		for _, d := range f.nodes {
			if age, ok := d.follower.Age(); ok && age <= 3000 {
				fresh++
			}
			all++
		}
	}
	f.since(b, "exchange, outage", u)
	b.Logf("%3d members  exchange, outage       configuration fresh %.2f%% of the time", len(f.nodes), 100*float64(fresh)/float64(all))
}

// BenchmarkConfigurationSync compares the state vector exchange with polling alone. Loads and
// the instants of changes come from seed 1. It prints a table and takes about 6 minutes:
//
//	go test ./peer -run '^$' -bench ConfigurationSync -benchtime 1x
func BenchmarkConfigurationSync(b *testing.B) {
	for _, n := range []int{8, 40, 150} {
		for _, exchange := range []bool{false, true} {
			what := "polling"
			if exchange {
				what = "exchange"
			}
			b.Run(fmt.Sprintf("%s-%d", what, n), func(b *testing.B) {
				for range b.N {
					seed := rand.New(rand.NewPCG(1, uint64(n)))
					ctx, cancel := context.WithCancel(context.Background())
					f := newField(ctx, n, exchange, seed)
					time.Sleep(5 * time.Second)
					u := f.usage()
					time.Sleep(measureQuiet)
					f.since(b, what+", quiet", u)
					u = f.usage()
					f.spread(b, what, seed)
					f.since(b, what+", with changes", u)
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
						f.outage(b)
					}
					cancel()
					f.wg.Wait()
					for _, c := range f.closers {
						c()
					}
				}
			})
		}
	}
}
