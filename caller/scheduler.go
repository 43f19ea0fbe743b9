package caller

import (
	"net/http"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// maxFailedStarts is the number of targets on which a request may fail before it runs. Then
	// the request is refused.
	maxFailedStarts = 3
	// urgentDivisor divides the slots: urgent requests may take one slot in urgentDivisor ahead
	// of the fair order.
	urgentDivisor = 4
	// accrueInterval is the interval of the updates of the use of all teams. A shorter interval
	// costs more than it improves the order.
	accrueInterval clock.Millis = 50
	// maxLead limits how far a team's use may be ahead of the others, in milliseconds of a full
	// pool. A team that used slots for which no other team had requests is held back for at
	// most this time.
	maxLead clock.Millis = 2_000
	// minLeadRuns is the lower limit of the allowed lead, in runs of mean length.
	minLeadRuns = 8
	// minBacklogFraction keeps a team's weight above zero where little of its backlog waits.
	minBacklogFraction = 0.001
	// initialRunTime is the mean run time, in milliseconds, until the first request has run.
	initialRunTime = 100.0
)

// Scheduler decides which request of one pool starts next at this member. It holds no lock, reads
// no clock, and is not safe for concurrent use. The zero value is ready to use.
//
// Teams are ordered by weighted use: the slot time that a team has used, plus the expected run
// time of its running requests, divided by its weight. Within a team the request with the
// earliest deadline comes first.
type Scheduler struct {
	// Share returns the share of a team. Nil means equal shares.
	Share func(fleet.TeamID) fleet.Share
	// TryStart counts one more running request of a team if its limit allows it. If it returns
	// false, the Scheduler skips the team until Unblock is called, or Done for one of its
	// requests. Nil means no limit.
	TryStart func(fleet.TeamID) bool

	division      division
	slots         fleet.Slots // slots of the whole pool
	teams         map[fleet.TeamID]*flow
	fairOrder     indexedHeap[*flow] // teams with waiting requests that are not blocked
	urgentOrder   indexedHeap[*flow] // the teams in fairOrder with waiting urgent requests
	running       fleet.Slots
	urgentAhead   fleet.Slots // running urgent requests that started ahead of the fair order
	fairStarts    int         // starts in the fair order since the last start ahead of it
	waiting       int
	virtualTime   float64      // weighted use of the team chosen last in the fair order; never decreases
	meanRunTime   float64      // moving average in milliseconds
	accruedAt     clock.Millis // time of the last update of all teams
	lastSequence  uint64
	refused       []*Request // refused since the last call of TakeRefused
	finishedCount uint64     // see Load.Finished
	refusedCount  uint64     // see Load.Refused
}

// flow is the state of one team in one pool, a flow in the sense of fair queueing.
type flow struct {
	team            fleet.TeamID
	share           float64
	backlogFraction float64 // fraction of the team's backlog that waits at this member
	running         fleet.Slots
	waiting         int
	queues          map[fleet.QueueID]*teamQueue
	normal          indexedHeap[*Request]
	urgent          indexedHeap[*Request]
	blocked         bool
	latestDeadline  clock.Millis // no waiting request has a later deadline
	runTimes        runTimes

	weightedUse float64      // used slot time in milliseconds divided by the weight, up to accruedAt
	sortKey     float64      // weightedUse plus the expected use of the running requests
	accruedAt   clock.Millis // time of the last update of weightedUse

	fairIndex, urgentIndex int // positions in fairOrder and urgentOrder; see indexedHeap
}

// teamQueue is the state of one queue for one team.
type teamQueue struct {
	waiting  int
	runTimes runTimes
}

// phase is the progress of a request in its Scheduler.
type phase uint8

const (
	phaseNone phase = iota
	phaseWaiting
	phaseRunning
	phaseRefused
)

// requestState is the state of a request in its Scheduler.
type requestState struct {
	phase        phase
	startedAhead bool
	heapIndex    int
	sequence     uint64
	started      clock.Millis
	flow         *flow
	queue        *teamQueue
	problem      *Problem      // reason of the refusal
	decided      chan struct{} // closed when a waiting request starts or is refused
}

// earlierDeadline reports whether a comes before b in its team: by deadline, then in order of
// arrival.
func earlierDeadline(a, b *Request) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.state.sequence < b.state.sequence
}

func requestIndex(r *Request) *int { return &r.state.heapIndex }

// lessSortKey reports whether team a comes before team b. Equal sort keys are ordered by team id.
func lessSortKey(a, b *flow) bool {
	if a.sortKey != b.sortKey {
		return a.sortKey < b.sortKey
	}
	return a.team < b.team
}

func (s *Scheduler) init() {
	if s.teams != nil {
		return
	}
	s.teams = map[fleet.TeamID]*flow{}
	s.fairOrder = indexedHeap[*flow]{less: lessSortKey, index: func(f *flow) *int { return &f.fairIndex }}
	s.urgentOrder = indexedHeap[*flow]{less: lessSortKey, index: func(f *flow) *int { return &f.urgentIndex }}
	s.meanRunTime = initialRunTime
	s.fairStarts = urgentDivisor - 1
}

// SetView applies a new view of the pool: it computes this member's portion and the weights of
// the teams.
func (s *Scheduler) SetView(now clock.Millis, v View) {
	s.apply(now, v.Slots, divide(v, s.shareOf))
}

// apply is the part of SetView that changes the state.
func (s *Scheduler) apply(now clock.Millis, slots fleet.Slots, d division) {
	s.init()
	s.accrue(now)
	s.slots, s.division = slots, d
	for _, f := range s.teams {
		f.share = s.shareOf(f.team)
		s.updateBacklogFraction(f)
	}
	s.updateOrder()
}

// Add puts r in its team's queue. If r is refused, Add returns the reason, with the outcome
// not_run.
func (s *Scheduler) Add(now clock.Millis, r *Request) *Problem {
	s.init()
	if r.FailedStarts >= maxFailedStarts {
		return tooManyFailedStarts()
	}
	f := s.flow(now, r.Team)
	q := f.queues[r.Queue.ID]
	if q == nil {
		q = &teamQueue{}
		f.queues[r.Queue.ID] = q
	}
	if q.waiting >= r.Queue.MaxWaiting {
		s.refusedCount++
		return queueFull(r.Queue)
	}
	if s.tooLateToQueue(now, f, q, r) {
		s.refusedCount++
		return deadlineMissed(r.Deadline - now)
	}
	s.lastSequence++
	r.state = requestState{phase: phaseWaiting, sequence: s.lastSequence, flow: f, queue: q}
	f.heapOf(r).push(r)
	f.latestDeadline = max(f.latestDeadline, r.Deadline)
	q.waiting++
	f.waiting++
	s.waiting++
	if f.waiting == 1 {
		s.activate(now, f)
	}
	if r.Queue.Urgent && !f.blocked && f.urgentIndex == 0 {
		s.urgentOrder.push(f)
	}
	return nil
}

// Next starts the next request and returns it, or returns nil if none may start now.
func (s *Scheduler) Next(now clock.Millis) *Request {
	if s.waiting == 0 || s.running >= s.division.portion {
		return nil
	}
	if now-s.accruedAt >= accrueInterval {
		s.accrue(now)
		s.updateOrder()
	}
	if s.urgentOrder.len() > 0 && s.mayStartUrgent() {
		if r := s.start(now, &s.urgentOrder); r != nil {
			s.fairStarts = 0
			r.state.startedAhead = true
			s.urgentAhead++
			return r
		}
	}
	r := s.start(now, &s.fairOrder)
	if r != nil {
		s.fairStarts++
	}
	return r
}

// mayStartUrgent reports whether one more urgent request may start ahead of the fair order. A
// portion of less than urgentDivisor slots has no whole slot for urgent requests, so there one
// start in urgentDivisor is ahead of the order.
func (s *Scheduler) mayStartUrgent() bool {
	if s.division.portion >= urgentDivisor {
		return s.urgentAhead < s.division.portion/urgentDivisor
	}
	return s.urgentAhead == 0 && s.fairStarts >= urgentDivisor-1
}

// start starts the first request in the order of teams that may start, and returns it, or nil if
// there is none. It refuses requests that are too late and blocks teams at their limit.
func (s *Scheduler) start(now clock.Millis, teams *indexedHeap[*flow]) *Request {
	for teams.len() > 0 {
		f := teams.items[0]
		r := f.first(teams == &s.urgentOrder)
		if s.tooLateToStart(now, r) {
			s.refuse(now, r)
			continue
		}
		if s.TryStart != nil && !s.TryStart(f.team) {
			s.block(f)
			continue
		}
		s.accrueFlow(now, f)
		if teams == &s.fairOrder {
			s.virtualTime = max(s.virtualTime, f.weightedUse)
		}
		s.dequeue(r)
		r.state.phase, r.state.started = phaseRunning, now
		s.running++
		f.running++
		s.updateSortKey(f)
		return r
	}
	return nil
}

// startMarginRuns is the number of mean run times that a request must have left before its
// deadline to start while others wait. In an overload the earliest deadline comes first, so
// without this margin requests would start when they can just no longer end in time, and would
// waste their slots.
const startMarginRuns = 2

// tooLateToStart reports whether r must not start any more, because it would not end by its
// deadline. While other requests wait, the margin of startMarginRuns applies, but limited to half
// of the time from arrival to deadline, so that requests with short deadlines can start.
func (s *Scheduler) tooLateToStart(now clock.Millis, r *Request) bool {
	left := r.Deadline - now
	if left <= 0 {
		return true
	}
	needed, ok := r.state.queue.runTimes.shortest(now)
	if !ok {
		return false
	}
	if mean, ok := r.state.queue.runTimes.mean(now); ok && s.waiting > 1 {
		needed = max(needed, min(startMarginRuns*mean, (r.Deadline-r.Arrived)/2))
	}
	return left < needed
}

// Remove removes a waiting request at once and reports whether it was waiting.
func (s *Scheduler) Remove(r *Request) bool {
	if r.state.phase != phaseWaiting {
		return false
	}
	s.dequeue(r)
	r.state.phase = phaseNone
	return true
}

// Done ends a running request. Only a request with the outcome ran counts for the estimate of run
// times.
func (s *Scheduler) Done(now clock.Millis, r *Request, o Outcome) {
	if r.state.phase != phaseRunning {
		return
	}
	f := r.state.flow
	s.accrueFlow(now, f)
	r.state.phase = phaseNone
	s.running--
	f.running--
	if r.state.startedAhead {
		s.urgentAhead--
	}
	if o != NotRun {
		s.finishedCount++
	}
	if o == Ran {
		run := now - r.state.started
		f.runTimes.add(now, run)
		r.state.queue.runTimes.add(now, run)
		s.meanRunTime += (float64(run) - s.meanRunTime) / 16
	}
	s.updateSortKey(f)
	s.unblock(now, f)
}

// Unblock returns a team that was at its limit to the order.
func (s *Scheduler) Unblock(now clock.Millis, t fleet.TeamID) {
	if f, ok := s.teams[t]; ok {
		s.unblock(now, f)
	}
}

// UnblockAll calls Unblock for all teams.
func (s *Scheduler) UnblockAll(now clock.Millis) {
	for _, f := range s.teams {
		s.unblock(now, f)
	}
}

// Expire refuses waiting requests whose deadline can no longer be met, and removes the state of
// teams that have been idle for longer than maxRunTimeAge. It stops at the first request of each
// heap that can still be met.
func (s *Scheduler) Expire(now clock.Millis) {
	for id, f := range s.teams {
		for _, h := range []*indexedHeap[*Request]{&f.normal, &f.urgent} {
			for h.len() > 0 {
				r := h.items[0]
				shortest, ok := r.state.queue.runTimes.shortest(now)
				if r.Deadline > now && (!ok || now+shortest <= r.Deadline) {
					break
				}
				s.refuse(now, r)
			}
		}
		if f.waiting == 0 && f.running == 0 && now-f.accruedAt > maxRunTimeAge {
			delete(s.teams, id)
		}
	}
}

// TakeRefused returns the requests that Next and Expire have refused since the last call.
func (s *Scheduler) TakeRefused() []*Request {
	out := s.refused
	s.refused = nil
	return out
}

func (s *Scheduler) refuse(now clock.Millis, r *Request) {
	s.dequeue(r)
	r.state.phase = phaseRefused
	r.state.problem = deadlineMissed(r.Deadline - now)
	s.refusedCount++
	s.refused = append(s.refused, r)
}

// tooLateToQueue reports whether r cannot end by its deadline, even if all slots of the pool were
// free now and served only the requests of its team that come before it. The requests before r
// are counted only if its deadline is the last of its team, because otherwise its position is not
// known without a search.
func (s *Scheduler) tooLateToQueue(now clock.Millis, f *flow, q *teamQueue, r *Request) bool {
	if r.Deadline <= now {
		return true
	}
	needed, ok := q.runTimes.shortest(now)
	if !ok {
		return false
	}
	shortest, ok := f.runTimes.shortest(now)
	if ok && s.slots > 0 && r.Deadline >= f.latestDeadline && !r.Queue.Urgent {
		needed += clock.Millis(f.waiting/int(s.slots)) * shortest
	}
	return now+needed > r.Deadline
}

// dequeue removes a waiting request from its team's queue.
func (s *Scheduler) dequeue(r *Request) {
	f := r.state.flow
	f.heapOf(r).remove(r)
	r.state.queue.waiting--
	f.waiting--
	s.waiting--
	if f.waiting == 0 {
		f.latestDeadline = 0
		s.fairOrder.remove(f)
	}
	if f.urgent.len() == 0 {
		s.urgentOrder.remove(f)
	}
}

// tooManyFailedStarts returns the Problem for a request that failed on maxFailedStarts targets.
func tooManyFailedStarts() *Problem {
	return &Problem{
		Status: http.StatusServiceUnavailable, Title: "request set aside", Outcome: NotRun, Reason: "set_aside",
		Detail: "the request failed on 3 targets before it ran",
	}
}

func queueFull(q fleet.Queue) *Problem {
	return &Problem{
		Status: http.StatusTooManyRequests, Title: "queue full", Outcome: NotRun, Reason: "queue_full",
		Detail: "the team has the most requests waiting that queue " + string(q.ID) + " accepts",
	}
}

func deadlineMissed(left clock.Millis) *Problem {
	p := &Problem{
		Status: http.StatusServiceUnavailable, Title: "deadline cannot be met", Outcome: NotRun, Reason: "deadline",
		Detail: "by the run times seen lately the request would end after its deadline",
	}
	if left <= 0 {
		p.Title, p.Detail = "deadline passed while waiting", "the deadline passed before a slot was free"
	}
	return p
}
