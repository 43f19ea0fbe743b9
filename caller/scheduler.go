package caller

import (
	"net/http"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// maxFailedStarts is the number of targets on which a request may fail before it ran.
	maxFailedStarts = 3
	// urgentPart is the part of the slots, as a divisor, that urgent requests may take ahead of
	// the fair order.
	urgentPart = 4
	// accrueEvery is the time between updates of the use of all teams. Shorter times cost more
	// than they improve the order.
	accrueEvery clock.Millis = 50
	// maxLead bounds how far a team's use may run ahead of the others, in time of a full pool.
	// A team that filled slots nobody wanted is held back no longer than this.
	maxLead clock.Millis = 2_000
	// leadTurns is the least that maxLead allows, in runs of mean length.
	leadTurns = 8
	// minPart keeps a team's weight above zero where little of its backlog waits.
	minPart = 0.001
	// firstRunTime stands in for the mean run time until the first request has run.
	firstRunTime = 100.0
)

// Scheduler decides which request of one pool starts next at this member. It holds no lock,
// reads no clock and is not safe for concurrent use.
//
// Teams are ordered by weighted use: the slot time that a team has used, plus the expected run
// time of what it has running, over its weight. Within a team the earliest deadline is first.
type Scheduler struct {
	// Share returns the share of a team. Nil means equal shares.
	Share func(fleet.TeamID) fleet.Share
	// TryStart counts one more running request of a team if its limit allows it. A team for
	// which it returns false is passed over until Unblock, or Done of one of its requests. Nil
	// means no limit.
	TryStart func(fleet.TeamID) bool

	view     division
	slots    fleet.Slots // of the whole pool
	teams    map[fleet.TeamID]*flow
	fair     indexedHeap[*flow] // teams that wait and are not blocked
	urgent   indexedHeap[*flow] // those of them with urgent requests
	running  fleet.Slots
	ahead    fleet.Slots // urgent requests that run and started ahead of the fair order
	between  int         // starts in the fair order since the last one ahead of it
	waiting  int
	virtual  float64 // weighted use of the team chosen last in the fair order; never goes back
	meanRun  float64
	accrued  clock.Millis
	sequence uint64
	refused  []*Request
	finished uint64 // see Load
	refusals uint64 // see Load
}

// flow is the state of one team in one pool.
type flow struct {
	team    fleet.TeamID
	share   float64
	part    float64 // of the team's backlog that waits here
	running fleet.Slots
	waiting int
	lines   map[fleet.QueueID]*line
	normal  indexedHeap[*Request]
	urgent  indexedHeap[*Request]
	blocked bool
	latest  clock.Millis // no waiting request has a later deadline
	run     runTimes

	used    float64 // slot time over weight, up to accrued
	key     float64
	accrued clock.Millis

	fairIndex, urgentIndex int
}

// line is the state of one queue of one team.
type line struct {
	waiting int
	run     runTimes
}

type phase uint8

const (
	phaseNone phase = iota
	phaseWaiting
	phaseRunning
	phaseRefused
)

// ticket is the state of a request in its Scheduler.
type ticket struct {
	phase    phase
	ahead    bool
	index    int
	sequence uint64
	started  clock.Millis
	flow     *flow
	line     *line
	refusal  *Problem
	decided  chan struct{} // closed when a waiting request starts or is refused
}

func earlier(a, b *Request) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.ticket.sequence < b.ticket.sequence
}

func requestIndex(r *Request) *int { return &r.ticket.index }

func lessUse(a, b *flow) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.team < b.team
}

func (s *Scheduler) init() {
	if s.teams != nil {
		return
	}
	s.teams = map[fleet.TeamID]*flow{}
	s.fair = indexedHeap[*flow]{less: lessUse, index: func(f *flow) *int { return &f.fairIndex }}
	s.urgent = indexedHeap[*flow]{less: lessUse, index: func(f *flow) *int { return &f.urgentIndex }}
	s.meanRun = firstRunTime
	s.between = urgentPart - 1
}

// SetView takes news about the pool and computes this member's portion and the weights.
func (s *Scheduler) SetView(now clock.Millis, v View) {
	s.apply(now, v.Slots, divide(v, s.shareOf))
}

// apply is the part of SetView that changes the state.
func (s *Scheduler) apply(now clock.Millis, slots fleet.Slots, d division) {
	s.init()
	s.accrue(now)
	s.slots, s.view = slots, d
	for _, f := range s.teams {
		f.share = s.shareOf(f.team)
		s.follow(f)
	}
	s.reorder()
}

// Add puts r in its team's queue, or refuses it with a reason that has the outcome not_run.
func (s *Scheduler) Add(now clock.Millis, r *Request) *Problem {
	s.init()
	if r.FailedStarts >= maxFailedStarts {
		return setAside()
	}
	f := s.flow(now, r.Team)
	l := f.lines[r.Queue.ID]
	if l == nil {
		l = &line{}
		f.lines[r.Queue.ID] = l
	}
	if l.waiting >= r.Queue.MaxWaiting {
		s.refusals++
		return queueFull(r.Queue)
	}
	if s.tooLate(now, f, l, r) {
		s.refusals++
		return deadlineMissed(r.Deadline - now)
	}
	s.sequence++
	r.ticket = ticket{phase: phaseWaiting, sequence: s.sequence, flow: f, line: l}
	f.heapOf(r).push(r)
	f.latest = max(f.latest, r.Deadline)
	l.waiting++
	f.waiting++
	s.waiting++
	if f.waiting == 1 {
		s.activate(now, f)
	}
	if r.Queue.Urgent && !f.blocked && f.urgentIndex == 0 {
		s.urgent.push(f)
	}
	return nil
}

// Next starts the request whose turn it is and returns it, or nil if none may start now.
func (s *Scheduler) Next(now clock.Millis) *Request {
	if s.waiting == 0 || s.running >= s.view.portion {
		return nil
	}
	if now-s.accrued >= accrueEvery {
		s.accrue(now)
		s.reorder()
	}
	if s.urgent.len() > 0 && s.mayPass() {
		if r := s.start(now, &s.urgent); r != nil {
			s.between = 0
			r.ticket.ahead = true
			s.ahead++
			return r
		}
	}
	r := s.start(now, &s.fair)
	if r != nil {
		s.between++
	}
	return r
}

// mayPass reports whether one more urgent request may start ahead of the fair order. A portion
// of less than urgentPart slots has no whole slot for it, so it is shared in time instead.
func (s *Scheduler) mayPass() bool {
	if s.view.portion >= urgentPart {
		return s.ahead < s.view.portion/urgentPart
	}
	return s.ahead == 0 && s.between >= urgentPart-1
}

func (s *Scheduler) start(now clock.Millis, teams *indexedHeap[*flow]) *Request {
	for teams.len() > 0 {
		f := teams.items[0]
		r := f.first(teams == &s.urgent)
		if s.hopeless(now, r) {
			s.refuse(now, r)
			continue
		}
		if s.TryStart != nil && !s.TryStart(f.team) {
			s.block(f)
			continue
		}
		s.accrueFlow(now, f)
		if teams == &s.fair {
			s.virtual = max(s.virtual, f.used)
		}
		s.leave(r)
		r.ticket.phase, r.ticket.started = phaseRunning, now
		s.running++
		f.running++
		s.rekey(f)
		return r
	}
	return nil
}

// startMargin is the number of mean run times that a request needs before its deadline to start
// while others wait. In an overload the earliest deadline comes first, so requests would
// otherwise start when they can just no longer end in time, and waste their slots.
const startMargin = 2

// hopeless reports whether r should not start any more. While others wait, the margin applies,
// but to at most half of the time that the request had, so that short deadlines have a chance.
func (s *Scheduler) hopeless(now clock.Millis, r *Request) bool {
	left := r.Deadline - now
	if left <= 0 {
		return true
	}
	least, ok := r.ticket.line.run.least(now)
	if !ok {
		return false
	}
	if mean, ok := r.ticket.line.run.mean(now); ok && s.waiting > 1 {
		least = max(least, min(startMargin*mean, (r.Deadline-r.Arrived)/2))
	}
	return left < least
}

// Remove takes a waiting request out at once and reports whether it was waiting.
func (s *Scheduler) Remove(r *Request) bool {
	if r.ticket.phase != phaseWaiting {
		return false
	}
	s.leave(r)
	r.ticket.phase = phaseNone
	return true
}

// Done ends a running request. Only a request that ran counts for the estimate of run times.
func (s *Scheduler) Done(now clock.Millis, r *Request, o Outcome) {
	if r.ticket.phase != phaseRunning {
		return
	}
	f := r.ticket.flow
	s.accrueFlow(now, f)
	r.ticket.phase = phaseNone
	s.running--
	f.running--
	if r.ticket.ahead {
		s.ahead--
	}
	if o != NotRun {
		s.finished++
	}
	if o == Ran {
		run := now - r.ticket.started
		f.run.add(now, run)
		r.ticket.line.run.add(now, run)
		s.meanRun += (float64(run) - s.meanRun) / 16
	}
	s.rekey(f)
	s.unblock(now, f)
}

// Unblock lets a team that was at its limit take turns again.
func (s *Scheduler) Unblock(now clock.Millis, t fleet.TeamID) {
	if f, ok := s.teams[t]; ok {
		s.unblock(now, f)
	}
}

// UnblockAll does what Unblock does, for all teams.
func (s *Scheduler) UnblockAll(now clock.Millis) {
	for _, f := range s.teams {
		s.unblock(now, f)
	}
}

// Expire refuses waiting requests whose deadline can no longer be met, and forgets teams that
// have been idle. It looks at the first requests of each team only.
func (s *Scheduler) Expire(now clock.Millis) {
	for id, f := range s.teams {
		for _, h := range []*indexedHeap[*Request]{&f.normal, &f.urgent} {
			for h.len() > 0 {
				r := h.items[0]
				run, ok := r.ticket.line.run.least(now)
				if r.Deadline > now && (!ok || now+run <= r.Deadline) {
					break
				}
				s.refuse(now, r)
			}
		}
		if f.waiting == 0 && f.running == 0 && now-f.accrued > runTimeMaxAge {
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
	s.leave(r)
	r.ticket.phase = phaseRefused
	r.ticket.refusal = deadlineMissed(r.Deadline - now)
	s.refusals++
	s.refused = append(s.refused, r)
}

// tooLate reports whether r cannot end by its deadline, even if all slots of the pool were free
// now and served only the requests of its team that come before it. Only a request behind all
// others of its team counts those, because its place is known without a search.
func (s *Scheduler) tooLate(now clock.Millis, f *flow, l *line, r *Request) bool {
	if r.Deadline <= now {
		return true
	}
	run, ok := l.run.least(now)
	if !ok {
		return false
	}
	least, ok := f.run.least(now)
	if ok && s.slots > 0 && r.Deadline >= f.latest && !r.Queue.Urgent {
		run += clock.Millis(f.waiting/int(s.slots)) * least
	}
	return now+run > r.Deadline
}

// leave takes a waiting request out of its team's queue.
func (s *Scheduler) leave(r *Request) {
	f := r.ticket.flow
	f.heapOf(r).remove(r)
	r.ticket.line.waiting--
	f.waiting--
	s.waiting--
	if f.waiting == 0 {
		f.latest = 0
		s.fair.remove(f)
	}
	if f.urgent.len() == 0 {
		s.urgent.remove(f)
	}
}

// setAside refuses a request that failed on too many targets.
func setAside() *Problem {
	return &Problem{
		Status: http.StatusServiceUnavailable, Title: "request set aside", Run: NotRun, Reason: "set_aside",
		Detail: "the request failed on 3 targets before it ran",
	}
}

func queueFull(q fleet.Queue) *Problem {
	return &Problem{
		Status: http.StatusTooManyRequests, Title: "queue full", Run: NotRun, Reason: "queue_full",
		Detail: "the team has the most requests waiting that queue " + string(q.ID) + " accepts",
	}
}

func deadlineMissed(left clock.Millis) *Problem {
	p := &Problem{
		Status: http.StatusServiceUnavailable, Title: "deadline cannot be met", Run: NotRun, Reason: "deadline",
		Detail: "by the run times seen lately the request would end after its deadline",
	}
	if left <= 0 {
		p.Title, p.Detail = "deadline passed while waiting", "the deadline passed before a slot was free"
	}
	return p
}
