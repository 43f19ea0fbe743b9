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

// cluster runs the schedulers of several members for one pool in virtual time. The members
// exchange load summaries once a second.
type cluster struct {
	now       clock.Millis
	random    *rand.Rand
	shares    map[fleet.TeamID]fleet.Share
	slots     fleet.Slots
	members   []*member
	slotTime  map[fleet.TeamID]float64 // in milliseconds, since the map was last cleared
	peakInUse fleet.Slots              // largest number of slots in use at the same time
	runTime   func(*caller.Request) clock.Millis
	started   func(*caller.Request)
}

type run struct {
	request *caller.Request
	end     clock.Millis
}

type member struct {
	id          fleet.MemberID
	scheduler   caller.Scheduler
	running     []run
	lastSummary caller.Load
	waiting     map[fleet.TeamID]int
	added       []*caller.Request
}

func newCluster(members int, slots fleet.Slots, shares map[fleet.TeamID]fleet.Share) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(1, 2)), shares: shares, slots: slots, slotTime: map[fleet.TeamID]float64{},
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

// summaryDelay is the time from sending a load summary to its arrival, in milliseconds.
const summaryDelay = 300

func (c *cluster) exchange() {
	c.publish()
	c.deliver()
}

func (c *cluster) publish() {
	for _, m := range c.members {
		m.lastSummary = m.scheduler.Load(c.now)
	}
}

// deliver passes the published summaries of all members to every member.
func (c *cluster) deliver() {
	for _, m := range c.members {
		v := caller.View{Slots: c.slots, Members: len(c.members), Self: m.id, Own: m.lastSummary}
		for _, p := range c.members {
			if p != m {
				v.Peers = append(v.Peers, caller.PeerLoad{Member: p.id, Load: p.lastSummary})
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

// advance moves the virtual time on by one millisecond.
func (c *cluster) advance() {
	c.now++
	switch c.now % 1000 {
	case 0:
		c.publish()
	case summaryDelay:
		c.deliver()
	}
	var inUse fleet.Slots
	for _, m := range c.members {
		m.running = slices.DeleteFunc(m.running, func(x run) bool {
			if x.end > c.now {
				c.slotTime[x.request.Team]++
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
			c.slotTime[r.Team]++
			if c.started != nil {
				c.started(r)
			}
		}
		inUse += m.scheduler.Running()
	}
	c.peakInUse = max(c.peakInUse, inUse)
}

// backlog keeps depth requests of a team waiting at each member for which hasBacklog returns
// true, until the virtual time reaches until.
func (c *cluster) backlog(until clock.Millis, depth int, hasBacklog func(team, member int) bool) {
	for c.now < until {
		for j, m := range c.members {
			for i := range len(c.shares) {
				for hasBacklog(i, j) && m.waiting[teamID(i)] < depth {
					_, _ = c.add(j, teamID(i), fleet.Queue{}, 60_000)
				}
			}
		}
		for range 10 {
			c.advance()
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

// unevenShares divides the full share among n teams in the ratio 3:2:1, repeated.
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

// Guards against teams that get less or more than their share of a full pool, whichever members
// their requests wait at and however long they run, and against members that together use more
// slots than the pool has.
func TestSharesWhenFull(t *testing.T) {
	everywhere := func(int, int) bool { return true }
	tests := []struct {
		name       string
		members    int
		teams      int
		slots      fleet.Slots
		hasBacklog func(team, member int) bool
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
			c.backlog(5_000, depth, tc.hasBacklog)
			clear(c.slotTime)
			// With 150 teams a team has about half a slot, so one run is 2% of its use in 10 s.
			window := clock.Millis(10_000)
			if tc.teams > 100 {
				window = 30_000
			}
			c.backlog(5_000+window, depth, tc.hasBacklog)
			must.LessEq(t, tc.slots, c.peakInUse)
			total, sum := 0.0, fleet.Share(0)
			for id, s := range c.shares {
				total, sum = total+c.slotTime[id], sum+s
			}
			must.Greater(t, 0.98*float64(window)*float64(tc.slots), total, must.Sprint("the pool was not kept full"))
			worstError := 0.0
			for id, s := range c.shares {
				fair := total * float64(s) / float64(sum)
				worstError = max(worstError, c.slotTime[id]/fair-1, 1-c.slotTime[id]/fair)
			}
			t.Logf("worst share error %.2f%%, slots in use %.2f%%", 100*worstError, 100*total/float64(tc.slots)/float64(window))
			must.Less(t, 0.05, worstError)
		})
	}
}
