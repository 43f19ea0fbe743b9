package experiment

import (
	"fmt"
	"math/rand/v2"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// publishInterval is the time between two load summaries of one member.
	publishInterval clock.Millis = 1_000
	// viewUpdateInterval is the time between two updates of a member's views, as in package entry.
	viewUpdateInterval clock.Millis = 250
)

// loadSummary is the load that a member reports to its peers.
type loadSummary struct {
	sentAt clock.Millis
	loads  []caller.Load // by pool
	// inFlight is the number of the member's requests on each worker.
	inFlight []int
}

// delivery is a summary in transit between two members.
type delivery struct {
	from, to int
	summary  loadSummary
}

// summaryExchange delivers load summaries between members. Each member publishes once in each
// publishInterval, at its own offset, and a summary reaches each peer after a random delay of up to
// maxDelay.
type summaryExchange struct {
	random     *rand.Rand
	maxDelay   clock.Millis
	latest     []loadSummary               // last published, by member
	received   [][]loadSummary             // by receiver and sender
	receivedAt [][]clock.Millis            // by receiver and sender
	inTransit  map[clock.Millis][]delivery // by time of arrival
}

func newExchange(members int, maxDelay clock.Millis, random *rand.Rand) *summaryExchange {
	e := &summaryExchange{random: random, maxDelay: maxDelay, latest: make([]loadSummary, members), inTransit: map[clock.Millis][]delivery{}}
	for range members {
		e.received = append(e.received, make([]loadSummary, members))
		e.receivedAt = append(e.receivedAt, make([]clock.Millis, members))
	}
	return e
}

func memberID(m int) fleet.MemberID { return fleet.MemberID(fmt.Sprintf("m%03d", m)) }

// publishDue reports whether a member has to publish a summary now.
func (e *summaryExchange) publishDue(now clock.Millis, member int) bool {
	return (now+clock.Millis(member*137))%publishInterval == 0
}

// publish sends a summary of a member to all peers.
func (e *summaryExchange) publish(now clock.Millis, member int, s loadSummary) {
	e.latest[member] = s
	for to := range e.latest {
		if to != member {
			at := now + 1 + clock.Millis(e.random.Int64N(int64(e.maxDelay)))
			e.inTransit[at] = append(e.inTransit[at], delivery{from: member, to: to, summary: s})
		}
	}
}

// deliver delivers the summaries that arrive now. It drops those older than the last received one.
func (e *summaryExchange) deliver(now clock.Millis) {
	for _, d := range e.inTransit[now] {
		if d.summary.sentAt >= e.received[d.to][d.from].sentAt {
			e.received[d.to][d.from], e.receivedAt[d.to][d.from] = d.summary, now
		}
	}
	delete(e.inTransit, now)
}

// view returns a member's view of a pool: its own load and the loads that it received from peers.
func (e *summaryExchange) view(now clock.Millis, member, pool int, slots fleet.Slots) caller.View {
	v := caller.View{Slots: slots, Members: len(e.latest), Self: memberID(member)}
	if e.latest[member].loads != nil {
		v.Own = e.latest[member].loads[pool]
	}
	for peer, s := range e.received[member] {
		if peer != member && s.loads != nil {
			v.Peers = append(v.Peers, caller.PeerLoad{Member: memberID(peer), Load: s.loads[pool], Age: now - e.receivedAt[member][peer]})
		}
	}
	return v
}

// peerInFlight returns the number of requests of the other members on each worker, according to
// the summaries that a member received.
func (e *summaryExchange) peerInFlight(member, workers int) []int {
	out := make([]int, workers)
	for _, s := range e.received[member] {
		for w, n := range s.inFlight {
			out[w] += n
		}
	}
	return out
}
