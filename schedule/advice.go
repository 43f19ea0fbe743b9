package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// Limits on requests to the adviser, an external service that decides which workers may run the
// steps of some queues.
const (
	maxWorkersPerRequest              = 30  // the time of a request grows with the number of workers
	adviceRetryDelay     clock.Millis = 400 // after a request that failed
	ticketExpiryMargin   clock.Millis = 250 // a ticket that expires within it may expire before the start arrives
)

// Ticket is the adviser's permission for a worker to run a step.
type Ticket struct {
	Worker fleet.InstanceID
	Text   string
}

// Advice is a response of the adviser. A worker that was asked about and has no ticket in Good
// may not run the step; that decision is final.
type Advice struct {
	Good  []Ticket     // of the workers that may run the step
	Valid clock.Millis // how long the tickets may be used
}

// advice is the record of the adviser's responses for a step.
type advice struct {
	requestPending bool
	nextRequestAt  clock.Millis // earliest time of the next request
	refused        map[fleet.InstanceID]bool
	tickets        map[*worker]cachedTicket
}

// cachedTicket is a ticket with its expiry time.
type cachedTicket struct {
	text      string
	expiresAt clock.Millis
}

// allows reports whether a worker has a ticket that is still valid when a start arrives.
func (a *advice) allows(w *worker, now clock.Millis) bool {
	t, ok := a.tickets[w]
	return ok && now+ticketExpiryMargin < t.expiresAt
}

// ticket returns the text of a worker's ticket, or "" if it has none.
func (a *advice) ticket(w *worker) string { return a.tickets[w].text }

// requestAdvice adds an order that asks the adviser about the workers that could take a task of
// a step. At most one request per step is pending.
func (p *Pool) requestAdvice(s *stepRun, now clock.Millis) {
	if s.advice.requestPending || now < s.advice.nextRequestAt {
		return
	}
	var ids []fleet.InstanceID
	for _, w := range p.sortedWorkers {
		known := s.advice.allows(w, now) || s.advice.refused[w.ID]
		if !known && w.acceptsStarts(now) && w.hasLabel(s.spec.Label) && s.spec.Needs.Fits(w.Capacity) {
			ids = append(ids, w.ID)
		}
		if len(ids) == maxWorkersPerRequest {
			break
		}
	}
	if len(ids) == 0 {
		return
	}
	s.advice.requestPending = true
	p.orders = append(p.orders, Order{Kind: Ask, Task: s.tasks[0].ref(), Workers: ids})
}

// Advised records the adviser's response to an Ask order; ok is false if there was no
// response.
func (p *Pool) Advised(o Order, a Advice, ok bool, now clock.Millis) {
	t := p.find(o.Task)
	if t == nil {
		return
	}
	known := &t.step.advice
	known.requestPending = false
	if !ok {
		known.nextRequestAt = now + adviceRetryDelay
		return
	}
	if known.tickets == nil {
		known.tickets, known.refused = map[*worker]cachedTicket{}, map[fleet.InstanceID]bool{}
	}
	for _, id := range o.Workers {
		i := slices.IndexFunc(a.Good, func(g Ticket) bool { return g.Worker == id })
		if i < 0 {
			known.refused[id] = true
		} else if w := p.workers[id]; w != nil {
			known.tickets[w] = cachedTicket{text: a.Good[i].Text, expiresAt: now + a.Valid}
		}
	}
}
