package caller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
)

// cluster drives several schedulers of one pool in virtual time. They exchange load summaries
// once a second, as members do.
type cluster struct {
	now     clock.Millis
	random  *rand.Rand
	shares  map[fleet.TeamID]fleet.Share
	slots   fleet.Slots
	members []*member
	used    map[fleet.TeamID]float64 // slot time since it was last cleared
	busy    fleet.Slots              // most slots in use at once
	runTime func(*caller.Request) clock.Millis
	started func(*caller.Request)
}

type run struct {
	request *caller.Request
	end     clock.Millis
}

type member struct {
	id        fleet.MemberID
	scheduler caller.Scheduler
	running   []run
	sent      caller.Load
	waiting   map[fleet.TeamID]int
	added     []*caller.Request
}

func newCluster(members int, slots fleet.Slots, shares map[fleet.TeamID]fleet.Share) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(1, 2)), shares: shares, slots: slots, used: map[fleet.TeamID]float64{},
		runTime: func(*caller.Request) clock.Millis { return 100 },
	}
	for i := range members {
		m := &member{id: fleet.MemberID(fmt.Sprintf("m%03d", i)), waiting: map[fleet.TeamID]int{}}
		m.scheduler.Share = func(t fleet.TeamID) fleet.Share { return shares[t] }
		c.members = append(c.members, m)
	}
	c.exchange()
	return c
}

// summaryDelay is the time that a load summary is under way.
const summaryDelay = 300

func (c *cluster) exchange() {
	c.publish()
	c.deliver()
}

func (c *cluster) publish() {
	for _, m := range c.members {
		m.sent = m.scheduler.Load(c.now)
	}
}

// deliver gives every member the published summaries of all.
func (c *cluster) deliver() {
	for _, m := range c.members {
		v := caller.View{Slots: c.slots, Members: len(c.members), Self: m.id, Own: m.sent}
		for _, p := range c.members {
			if p != m {
				v.Peers = append(v.Peers, caller.PeerLoad{Member: p.id, Load: p.sent})
			}
		}
		m.scheduler.SetView(c.now, v)
	}
}

func (c *cluster) add(m int, t fleet.TeamID, q fleet.Queue, wait clock.Millis) (*caller.Request, *caller.Problem) {
	q.Pool, q.ID, q.MaxWaiting = "p", "q", max(q.MaxWaiting, 1000)
	if q.Urgent {
		q.ID = "urgent"
	}
	r := &caller.Request{Queue: q, Team: t, Arrived: c.now, Deadline: c.now + wait}
	c.members[m].added = append(c.members[m].added, r)
	p := c.members[m].scheduler.Add(c.now, r)
	if p == nil {
		c.members[m].waiting[t]++
	}
	return r, p
}

// step passes one millisecond.
func (c *cluster) step() {
	c.now++
	switch c.now % 1000 {
	case 0:
		c.publish()
	case summaryDelay:
		c.deliver()
	}
	var busy fleet.Slots
	for _, m := range c.members {
		m.running = slices.DeleteFunc(m.running, func(x run) bool {
			if x.end > c.now {
				c.used[x.request.Team]++
				return false
			}
			m.scheduler.Done(c.now, x.request, caller.Ran)
			return true
		})
		if c.now%100 == 0 {
			m.scheduler.Expire(c.now)
		}
		for r := m.scheduler.Next(c.now); r != nil; r = m.scheduler.Next(c.now) {
			m.waiting[r.Team]--
			m.running = append(m.running, run{r, c.now + c.runTime(r)})
			c.used[r.Team]++
			if c.started != nil {
				c.started(r)
			}
		}
		busy += m.scheduler.Running()
	}
	c.busy = max(c.busy, busy)
}

// backlog keeps depth requests of each team waiting at the members where at says so.
func (c *cluster) backlog(until clock.Millis, depth int, at func(team, member int) bool) {
	for c.now < until {
		for j, m := range c.members {
			for i := range len(c.shares) {
				for at(i, j) && m.waiting[teamID(i)] < depth {
					_, _ = c.add(j, teamID(i), fleet.Queue{}, 60_000)
				}
			}
		}
		for range 10 {
			c.step()
		}
	}
}

var teamIDs = func() (ids []fleet.TeamID) {
	for i := range 150 {
		ids = append(ids, fleet.TeamID(fmt.Sprintf("t%03d", i)))
	}
	return ids
}()

func teamID(i int) fleet.TeamID { return teamIDs[i] }

// unevenShares gives n teams shares of 3, 2 and 1 parts in turn.
func unevenShares(n int) map[fleet.TeamID]fleet.Share {
	shares, parts := map[fleet.TeamID]fleet.Share{}, 0
	for i := range n {
		parts += 3 - i%3
	}
	for i := range n {
		shares[teamID(i)] = fleet.FullShare * fleet.Share(3-i%3) / fleet.Share(parts)
	}
	return shares
}

// Guards against teams getting less or more than their share of a full pool, whichever members
// their requests wait at and however long they run, and against members together filling more
// slots than the pool has.
func TestSharesWhenFull(t *testing.T) {
	everywhere := func(int, int) bool { return true }
	tests := []struct {
		name    string
		members int
		teams   int
		slots   fleet.Slots
		at      func(team, member int) bool
	}{
		{"6 teams, 1 member", 1, 6, 80, everywhere},
		{"150 teams, 1 member", 1, 150, 89, everywhere},
		{"6 teams, 9 members", 9, 6, 80, everywhere},
		{"6 teams, 9 members, each team at 3", 9, 6, 80, func(i, j int) bool { return (i+j)%3 == 0 }},
		{"6 teams, 9 members, one team at 1", 9, 6, 80, func(i, j int) bool { return i > 0 || j == 0 }},
		{"150 teams, 9 members", 9, 150, 160, everywhere},
		{"150 teams, 9 members, each team at 3", 9, 150, 160, func(i, j int) bool { return (i+j)%3 == 0 }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(tc.members, tc.slots, unevenShares(tc.teams))
			c.runTime = func(r *caller.Request) clock.Millis {
				return 40 + clock.Millis(c.random.IntN(60))*(1+clock.Millis(r.Team[3]%3))
			}
			depth := 300 / tc.teams
			c.backlog(5_000, depth, tc.at)
			clear(c.used)
			// With 150 teams a team has about half a slot: one run is 2% of its use in 10 s.
			window := clock.Millis(10_000)
			if tc.teams > 100 {
				window = 30_000
			}
			c.backlog(5_000+window, depth, tc.at)
			must.LessEq(t, tc.slots, c.busy)
			total, sum := 0.0, fleet.Share(0)
			for id, s := range c.shares {
				total, sum = total+c.used[id], sum+s
			}
			must.Greater(t, 0.98*float64(window)*float64(tc.slots), total, must.Sprint("the pool was not kept full"))
			worst := 0.0
			for id, s := range c.shares {
				fair := total * float64(s) / float64(sum)
				worst = max(worst, c.used[id]/fair-1, 1-c.used[id]/fair)
			}
			t.Logf("worst share error %.2f%%, slots in use %.2f%%", 100*worst, 100*total/float64(tc.slots)/float64(window))
			must.Less(t, 0.05, worst)
		})
	}
}
