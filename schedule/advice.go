package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// Bounds of asking for advice.
const (
	askWorkers               = 30  // workers in one call: its time grows with them
	askAgain    clock.Millis = 400 // after a call that failed
	ticketSlack clock.Millis = 250 // a ticket that ends within it may end before the start arrives
)

// Ticket lets a worker run a step.
type Ticket struct {
	Worker fleet.InstanceID
	Text   string
}

// Advice is an answer of the adviser. Workers that were asked about and are not in it may not
// run the step, which does not change.
type Advice struct {
	Good  []Ticket
	Valid clock.Millis
}

// advice is what is known of the workers that may run a step.
type advice struct {
	asking  bool
	next    clock.Millis // the first time at which the adviser may be asked again
	refused map[fleet.InstanceID]bool
	tickets map[*worker]heldTicket
}

type heldTicket struct {
	text  string
	until clock.Millis
}

func (a *advice) allows(w *worker, now clock.Millis) bool {
	t, ok := a.tickets[w]
	return ok && now+ticketSlack < t.until
}

func (a *advice) ticket(w *worker) string { return a.tickets[w].text }

// ask asks the adviser about workers that could take a task of a step.
func (p *Pool) ask(s *stepRun, now clock.Millis) {
	if s.advice.asking || now < s.advice.next {
		return
	}
	var ids []fleet.InstanceID
	for _, w := range p.order {
		known := s.advice.allows(w, now) || s.advice.refused[w.ID]
		if !known && w.open(now) && w.hasLabel(s.spec.Label) && s.spec.Needs.Fits(w.Capacity) {
			ids = append(ids, w.ID)
		}
		if len(ids) == askWorkers {
			break
		}
	}
	if len(ids) == 0 {
		return
	}
	s.advice.asking = true
	p.orders = append(p.orders, Order{Kind: Ask, Task: s.tasks[0].ref(), Workers: ids})
}

// Advised takes in the answer to an Ask; ok is false if there was none.
func (p *Pool) Advised(o Order, a Advice, ok bool, now clock.Millis) {
	t := p.find(o.Task)
	if t == nil {
		return
	}
	known := &t.step.advice
	known.asking = false
	if !ok {
		known.next = now + askAgain
		return
	}
	if known.tickets == nil {
		known.tickets, known.refused = map[*worker]heldTicket{}, map[fleet.InstanceID]bool{}
	}
	for _, id := range o.Workers {
		i := slices.IndexFunc(a.Good, func(g Ticket) bool { return g.Worker == id })
		if i < 0 {
			known.refused[id] = true
		} else if w := p.workers[id]; w != nil {
			known.tickets[w] = heldTicket{text: a.Good[i].Text, until: now + a.Valid}
		}
	}
}
