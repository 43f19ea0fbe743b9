package experiment

import (
	"math/rand/v2"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
)

// Policy names a way to choose the request that starts next and the worker that runs it. Its value
// is the text in printed tables.
type Policy string

// The policies that are compared. All of them run with guards, which are the admission checks of
// the workers: each worker refuses a request if all its slots are in use. The first three policies
// divide the slots between teams by share.
const (
	FairSlotWait       Policy = "citronknot"                   // caller.Scheduler and target.Choose, as in package entry
	FairPeerLoad       Policy = "before, peers' load"          // as FairSlotWait, but a refused request counts as a failed start instead of waiting for a slot
	FairOwnLoad        Policy = "before"                       // as FairPeerLoad, but members don't know how many requests of their peers each worker runs
	FirstComeEvenSplit Policy = "first come, even split"       // each member uses an equal part of the slots
	FirstComeUnlimited Policy = "first come, guards refuse it" // each member may use all slots
)

// Policies lists all policies in the order of the printed columns.
var Policies = []Policy{FairSlotWait, FairPeerLoad, FairOwnLoad, FirstComeEvenSplit, FirstComeUnlimited}

// fair reports whether the policy uses the scheduler and the target selection of citronknot.
func (p Policy) fair() bool { return p == FairOwnLoad || p == FairPeerLoad || p == FairSlotWait }

// poolQueue is the admission of requests to one pool at one member.
type poolQueue interface {
	// add queues j and reports whether it was accepted.
	add(now clock.Millis, j *simulatedRequest) (accepted bool)
	// next starts the next request and returns it, or nil if none may start.
	next(now clock.Millis) *simulatedRequest
	// done ends a started request.
	done(now clock.Millis, j *simulatedRequest, o caller.Outcome)
	// expire refuses waiting requests that can't meet their deadlines any more.
	expire(now clock.Millis)
	// takeRefused returns the waiting requests that were refused since the last call.
	takeRefused() []*simulatedRequest
	// hasFreeCapacity reports whether a new request could start at once.
	hasFreeCapacity() bool
	// startsBefore reports whether j, if it had waited, would have started before other.
	startsBefore(j, other *simulatedRequest) bool
	// setView applies a new view of the pool.
	setView(now clock.Millis, v caller.View)
	// load returns the load that the member reports to its peers.
	load(now clock.Millis) caller.Load
	// grantedSlots returns the number of slots that the member may use.
	grantedSlots() int
}

// fairQueue uses caller.Scheduler, the admission that runs in production.
type fairQueue struct {
	scheduler caller.Scheduler
	requests  map[*caller.Request]*simulatedRequest
}

func newFairQueue(shares map[fleet.TeamID]fleet.Share) *fairQueue {
	q := &fairQueue{requests: map[*caller.Request]*simulatedRequest{}}
	q.scheduler.Share = func(t fleet.TeamID) fleet.Share { return shares[t] }
	return q
}

func (q *fairQueue) add(now clock.Millis, j *simulatedRequest) bool {
	if q.scheduler.Add(now, &j.request) != nil {
		return false
	}
	q.requests[&j.request] = j
	return true
}

func (q *fairQueue) next(now clock.Millis) *simulatedRequest {
	return q.requests[q.scheduler.Next(now)]
}

func (q *fairQueue) done(now clock.Millis, j *simulatedRequest, o caller.Outcome) {
	q.scheduler.Done(now, &j.request, o)
	delete(q.requests, &j.request)
}

func (q *fairQueue) expire(now clock.Millis) { q.scheduler.Expire(now) }

func (q *fairQueue) takeRefused() []*simulatedRequest {
	var out []*simulatedRequest
	for _, r := range q.scheduler.TakeRefused() {
		out = append(out, q.requests[r])
		delete(q.requests, r)
	}
	return out
}

func (q *fairQueue) hasFreeCapacity() bool {
	return q.scheduler.Waiting() == 0 && q.scheduler.Running() < q.scheduler.Portion()
}

func (q *fairQueue) startsBefore(j, other *simulatedRequest) bool {
	return j.team == other.team && j.request.Queue.Urgent == other.request.Queue.Urgent && j.request.Deadline <= other.request.Deadline
}

func (q *fairQueue) setView(now clock.Millis, v caller.View) { q.scheduler.SetView(now, v) }

func (q *fairQueue) load(now clock.Millis) caller.Load { return q.scheduler.Load(now) }

func (q *fairQueue) grantedSlots() int { return int(q.scheduler.Portion()) }

// fifoQueue starts requests in the order of arrival, as the baselines do. A request is refused when
// its deadline passes while it waits.
type fifoQueue struct {
	memberRank, members int
	evenSplit           bool // use an equal part of the slots; otherwise all
	portion             int
	running             int
	waiting             []*simulatedRequest
	refused             []*simulatedRequest
}

func (q *fifoQueue) add(_ clock.Millis, j *simulatedRequest) bool {
	if len(q.waiting) >= maxTeamWaiting*6 {
		return false
	}
	q.waiting = append(q.waiting, j)
	return true
}

func (q *fifoQueue) next(now clock.Millis) *simulatedRequest {
	for len(q.waiting) > 0 && q.running < q.portion {
		j := q.waiting[0]
		q.waiting = q.waiting[1:]
		if j.request.Deadline <= now {
			q.refused = append(q.refused, j)
			continue
		}
		q.running++
		return j
	}
	return nil
}

func (q *fifoQueue) done(clock.Millis, *simulatedRequest, caller.Outcome) { q.running-- }

func (q *fifoQueue) expire(now clock.Millis) {
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		if j.request.Deadline <= now {
			q.refused = append(q.refused, j)
			continue
		}
		kept = append(kept, j)
	}
	q.waiting = kept
}

func (q *fifoQueue) takeRefused() []*simulatedRequest {
	out := q.refused
	q.refused = nil
	return out
}

func (q *fifoQueue) hasFreeCapacity() bool { return len(q.waiting) == 0 && q.running < q.portion }

func (q *fifoQueue) startsBefore(j, other *simulatedRequest) bool {
	return j.arrivalIndex < other.arrivalIndex
}

func (q *fifoQueue) setView(_ clock.Millis, v caller.View) {
	q.portion = int(v.Slots)
	if q.evenSplit {
		q.portion = (q.memberRank+1)*int(v.Slots)/q.members - q.memberRank*int(v.Slots)/q.members
	}
}

func (q *fifoQueue) load(clock.Millis) caller.Load { return caller.Load{} }

func (q *fifoQueue) grantedSlots() int { return q.portion }

// newQueue returns the queue that the policy uses for one pool at one member.
func newQueue(p Policy, s Scenario, member int, shares map[fleet.TeamID]fleet.Share) poolQueue {
	if p.fair() {
		return newFairQueue(shares)
	}
	return &fifoQueue{memberRank: member, members: s.Members, evenSplit: p == FirstComeEvenSplit}
}

// randomTarget returns a random one of the usable workers, or -1 if there is none.
func randomTarget(random *rand.Rand, workers []int, usable func(int) bool) int {
	var candidates []int
	for _, w := range workers {
		if usable(w) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	return candidates[random.IntN(len(candidates))]
}
