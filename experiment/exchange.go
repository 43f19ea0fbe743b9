package experiment

import (
	"fmt"
	"math/rand/v2"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// publishEvery is the time between two load summaries of a member.
	publishEvery clock.Millis = 1_000
	// viewEvery is the time between two updates of a member's views, as in package entry.
	viewEvery clock.Millis = 250
)

// summary is one load summary of a member, by pool.
type summary struct {
	sent  clock.Millis
	loads []caller.Load
	// inFlight has the requests on each worker.
	inFlight []int
}

// delivery is a summary under way.
type delivery struct {
	from, to int
	summary  summary
}

// exchange carries load summaries between members. Each member publishes once a second at a
// time of its own, and each summary takes up to maxDelay to each peer.
type exchange struct {
	random   *rand.Rand
	maxDelay clock.Millis
	own      []summary
	held     [][]summary // by receiver and sender
	arrived  [][]clock.Millis
	underWay map[clock.Millis][]delivery
}

func newExchange(members int, maxDelay clock.Millis, random *rand.Rand) *exchange {
	e := &exchange{random: random, maxDelay: maxDelay, own: make([]summary, members), underWay: map[clock.Millis][]delivery{}}
	for range members {
		e.held = append(e.held, make([]summary, members))
		e.arrived = append(e.arrived, make([]clock.Millis, members))
	}
	return e
}

func memberID(m int) fleet.MemberID { return fleet.MemberID(fmt.Sprintf("m%03d", m)) }

// due reports whether a member publishes now.
func (e *exchange) due(now clock.Millis, member int) bool {
	return (now+clock.Millis(member*137))%publishEvery == 0
}

func (e *exchange) publish(now clock.Millis, member int, s summary) {
	e.own[member] = s
	for to := range e.own {
		if to != member {
			at := now + 1 + clock.Millis(e.random.Int64N(int64(e.maxDelay)))
			e.underWay[at] = append(e.underWay[at], delivery{from: member, to: to, summary: s})
		}
	}
}

func (e *exchange) deliver(now clock.Millis) {
	for _, d := range e.underWay[now] {
		if d.summary.sent >= e.held[d.to][d.from].sent {
			e.held[d.to][d.from], e.arrived[d.to][d.from] = d.summary, now
		}
	}
	delete(e.underWay, now)
}

// view returns what a member knows of a pool.
func (e *exchange) view(now clock.Millis, member, pool int, slots fleet.Slots) caller.View {
	v := caller.View{Slots: slots, Members: len(e.own), Self: memberID(member)}
	if e.own[member].loads != nil {
		v.Own = e.own[member].loads[pool]
	}
	for m, s := range e.held[member] {
		if m != member && s.loads != nil {
			v.Peers = append(v.Peers, caller.PeerLoad{Member: memberID(m), Load: s.loads[pool], Age: now - e.arrived[member][m]})
		}
	}
	return v
}

// inFlight returns what a member knows of the other members' requests on each worker.
func (e *exchange) inFlight(member, workers int) []int {
	out := make([]int, workers)
	for _, s := range e.held[member] {
		for w, n := range s.inFlight {
			out[w] += n
		}
	}
	return out
}
