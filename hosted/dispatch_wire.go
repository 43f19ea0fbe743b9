package hosted

import (
	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/dispatcher"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
	"citronknot/worker"
)

// wirePollRequest is a dispatcher's request for the next batch.
type wirePollRequest struct {
	Member   string  `json:"member"`
	Session  string  `json:"session"`
	CPUCores float64 `json:"cpu_cores,omitempty"`
	Received uint64  `json:"received,omitempty"`
	SentAt   int64   `json:"sent_at_ms"` // on the dispatcher's clock
	Wait     int64   `json:"wait_ms"`
}

func encodePollRequest(r *dispatcher.PollRequest) wirePollRequest {
	return wirePollRequest{
		Member: string(r.Member), Session: string(r.Session), CPUCores: r.CPUCores, Received: r.Received, SentAt: int64(r.SentAt), Wait: int64(r.Wait),
	}
}

func (w *wirePollRequest) decode() dispatcher.PollRequest {
	return dispatcher.PollRequest{
		Member: fleet.MemberID(w.Member), Session: dispatcher.SessionID(w.Session), CPUCores: w.CPUCores, Received: w.Received,
		SentAt: clock.Millis(w.SentAt), Wait: clock.Millis(w.Wait),
	}
}

// wireBatch is the owner's response to a wirePollRequest.
type wireBatch struct {
	Number     uint64              `json:"number"`
	Fence      uint64              `json:"fence"`
	Grant      int64               `json:"grant_ms"`
	Ended      bool                `json:"ended,omitempty"`
	Reason     string              `json:"reason,omitempty"`
	Durable    uint64              `json:"durable,omitempty"`
	Unassigned []uint64            `json:"unassigned,omitempty"`
	Assigned   []wireAssignment    `json:"assigned,omitempty"`
	Orders     []wireDispatchOrder `json:"orders,omitempty"`
	Specs      map[string]string   `json:"specs,omitempty"` // by job id, of the starts in Orders
}

// wireAssignment gives a dispatcher one incarnation of a worker.
type wireAssignment struct {
	ID           uint64 `json:"id"`
	Worker       string `json:"worker"`
	Address      string `json:"address"`
	Incarnation  int64  `json:"born_ms"`
	FormerLeases int64  `json:"former_leases_ms"`
	FormerLease  int64  `json:"former_lease_ms,omitempty"` // missing from members of earlier versions, like MaxLease
	MaxLease     int64  `json:"max_lease_ms,omitempty"`
	Zone         string `json:"zone,omitempty"`
}

// wireDispatchOrder is an order for the worker of an assignment.
type wireDispatchOrder struct {
	Assignment uint64 `json:"a"`
	Kind       uint8  `json:"k"`
	Task       string `json:"t"`
	Run        int    `json:"r"`
	Checkpoint string `json:"c,omitempty"`
	Ticket     string `json:"x,omitempty"`
	Percent    int    `json:"p,omitempty"`
	Reason     string `json:"why,omitempty"`
}

func encodeBatch(b *dispatcher.Batch) wireBatch {
	w := wireBatch{Number: b.Number, Fence: b.Fence, Grant: int64(b.Grant), Ended: b.Ended, Reason: b.Reason, Durable: b.Durable}
	for _, id := range b.Unassigned {
		w.Unassigned = append(w.Unassigned, uint64(id))
	}
	for _, a := range b.Assigned {
		w.Assigned = append(w.Assigned, wireAssignment{
			ID: uint64(a.ID), Worker: string(a.Endpoint.ID), Address: a.Endpoint.Address,
			Incarnation: int64(a.Incarnation), FormerLeases: int64(a.FormerLeases), FormerLease: int64(a.FormerLease), MaxLease: int64(a.MaxLease),
			Zone: string(a.Zone),
		})
	}
	for i := range b.Orders {
		o := &b.Orders[i]
		if o.Kind == schedule.Start && o.Spec != "" {
			if w.Specs == nil {
				w.Specs = map[string]string{}
			}
			w.Specs[string(o.Task.Job)] = o.Spec
		}
		w.Orders = append(w.Orders, wireDispatchOrder{
			Assignment: uint64(o.Assignment), Kind: uint8(o.Kind), Task: o.Task.String(), Run: o.Run, Checkpoint: o.Checkpoint,
			Ticket: o.Ticket, Percent: o.Percent, Reason: string(o.Reason),
		})
	}
	return w
}

func (w *wireBatch) decode() (dispatcher.Batch, error) {
	b := dispatcher.Batch{
		Number: w.Number, Fence: w.Fence, Grant: clock.Millis(w.Grant), Ended: w.Ended, Reason: w.Reason, Durable: w.Durable,
	}
	for _, id := range w.Unassigned {
		b.Unassigned = append(b.Unassigned, dispatcher.AssignmentID(id))
	}
	for i := range w.Assigned {
		a := &w.Assigned[i]
		b.Assigned = append(b.Assigned, dispatcher.Assignment{
			ID: dispatcher.AssignmentID(a.ID), Endpoint: worker.Endpoint{ID: fleet.InstanceID(a.Worker), Address: a.Address},
			Incarnation: clock.Millis(a.Incarnation), FormerLeases: clock.Millis(a.FormerLeases), FormerLease: clock.Millis(a.FormerLease),
			MaxLease: clock.Millis(a.MaxLease), Zone: fleet.ZoneID(a.Zone),
		})
	}
	for i := range w.Orders {
		o := &w.Orders[i]
		task, err := job.ParseRef(o.Task)
		if err != nil {
			return b, eris.Wrap(err, "hosted: order in a batch")
		}
		kind := schedule.OrderKind(o.Kind)
		if kind != schedule.Start && kind != schedule.Stop && kind != schedule.Pace {
			return b, eris.Errorf("hosted: order of unknown kind %d in a batch", o.Kind)
		}
		order := schedule.Order{Kind: kind, Task: task, Run: o.Run, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Percent: o.Percent, Reason: schedule.StopReason(o.Reason)}
		if kind == schedule.Start {
			order.Spec = w.Specs[string(task.Job)]
		}
		b.Orders = append(b.Orders, dispatcher.Order{Assignment: dispatcher.AssignmentID(o.Assignment), Order: order})
	}
	return b, nil
}

// wireResults are the results of a dispatcher.
type wireResults struct {
	Member  string      `json:"member"`
	Session string      `json:"session"`
	Number  uint64      `json:"number"`
	SentAt  int64       `json:"sent_at_ms"` // on the dispatcher's clock, like all times in the events
	Leaving bool        `json:"leaving,omitempty"`
	Events  []wireEvent `json:"events,omitempty"`
}

// wireEvent is what has happened at the worker of an assignment. The fields that follow At depend on
// the kind.
type wireEvent struct {
	Kind       uint8  `json:"k"`
	Assignment uint64 `json:"a"`
	At         int64  `json:"at"`

	Order   uint8  `json:"o,omitempty"` // kind of the completed order
	Task    string `json:"t,omitempty"`
	Run     int    `json:"r,omitempty"`
	Outcome uint8  `json:"out,omitempty"`

	RequestedAt int64     `json:"req,omitempty"`
	ListedAt    int64     `json:"listed,omitempty"` // missing from members of earlier versions
	EndsOnly    bool      `json:"ends_only,omitempty"`
	Running     []wireRun `json:"running,omitempty"`
	Ended       []wireEnd `json:"ended,omitempty"`
	MoreEnds    bool      `json:"more_ends,omitempty"`
	Change      uint64    `json:"change,omitempty"`

	Successor int64  `json:"successor_ms,omitempty"` // missing from members of earlier versions
	Detail    string `json:"why,omitempty"`
}

// wireRun is a run that a worker lists as running.
type wireRun struct {
	Task       string `json:"t"`
	Run        int    `json:"r"`
	Checkpoint string `json:"c,omitempty"`
	Percent    int    `json:"p,omitempty"`
	Load       int64  `json:"l,omitempty"`
}

// wireEnd is a run that a worker lists as ended.
type wireEnd struct {
	Task       string `json:"t"`
	Run        int    `json:"r"`
	Kind       uint8  `json:"k"`
	Checkpoint string `json:"c,omitempty"`
}

func encodeResults(r *dispatcher.Results) wireResults {
	w := wireResults{Member: string(r.Member), Session: string(r.Session), Number: r.Number, SentAt: int64(r.SentAt), Leaving: r.Leaving}
	for i := range r.Events {
		w.Events = append(w.Events, encodeEvent(&r.Events[i]))
	}
	return w
}

func encodeEvent(e *dispatcher.Event) wireEvent {
	w := wireEvent{Kind: uint8(e.Kind), Assignment: uint64(e.Assignment), At: int64(e.At), Successor: int64(e.Successor), Detail: e.Detail}
	switch e.Kind {
	case dispatcher.OrderCompleted:
		w.Order, w.Task, w.Run, w.Outcome = uint8(e.Order.Kind), e.Order.Task.String(), e.Order.Run, uint8(e.Outcome)
	case dispatcher.Polled:
		w.RequestedAt, w.ListedAt, w.EndsOnly, w.Change = int64(e.Report.RequestedAt), int64(e.Report.ListedAt), e.Report.EndsOnly, e.Change
		w.MoreEnds = e.Report.MoreEnds
		for _, r := range e.Report.Running {
			w.Running = append(w.Running, wireRun{Task: r.Task.String(), Run: r.Run, Checkpoint: r.Checkpoint, Percent: r.Percent, Load: r.Load})
		}
		for _, r := range e.Report.Ended {
			w.Ended = append(w.Ended, wireEnd{Task: r.Task.String(), Run: r.Run, Kind: uint8(r.Kind), Checkpoint: r.Checkpoint})
		}
	}
	return w
}

func (w *wireResults) decode() (dispatcher.Results, error) {
	r := dispatcher.Results{
		Member: fleet.MemberID(w.Member), Session: dispatcher.SessionID(w.Session), Number: w.Number, SentAt: clock.Millis(w.SentAt), Leaving: w.Leaving,
	}
	for i := range w.Events {
		e, err := w.Events[i].decode()
		if err != nil {
			return r, err
		}
		r.Events = append(r.Events, e)
	}
	return r, nil
}

func (w *wireEvent) decode() (dispatcher.Event, error) {
	e := dispatcher.Event{
		Kind: dispatcher.EventKind(w.Kind), Assignment: dispatcher.AssignmentID(w.Assignment), At: clock.Millis(w.At),
		Successor: clock.Millis(w.Successor), Detail: w.Detail,
	}
	var err error
	switch e.Kind {
	case dispatcher.OrderCompleted:
		e.Order.Kind, e.Order.Run, e.Outcome = schedule.OrderKind(w.Order), w.Run, schedule.Outcome(w.Outcome)
		if e.Order.Task, err = job.ParseRef(w.Task); err != nil {
			return e, eris.Wrap(err, "hosted: completed order")
		}
		if e.Outcome < schedule.Accepted || e.Outcome > schedule.ZoneClosed {
			return e, eris.Errorf("hosted: completed order with unknown outcome %d", w.Outcome)
		}
	case dispatcher.Polled:
		e.Report, err = w.decodeReport()
		e.Change = w.Change
		return e, err
	case dispatcher.Reachable, dispatcher.Unreachable, dispatcher.IncarnationLost, dispatcher.LeasesExpired, dispatcher.FenceRefused:
	default:
		return e, eris.Errorf("hosted: event of unknown kind %d", w.Kind)
	}
	return e, nil
}

func (w *wireEvent) decodeReport() (schedule.Report, error) {
	report := schedule.Report{RequestedAt: clock.Millis(w.RequestedAt), ListedAt: clock.Millis(w.ListedAt), EndsOnly: w.EndsOnly, MoreEnds: w.MoreEnds}
	for _, run := range w.Running {
		task, err := job.ParseRef(run.Task)
		if err != nil {
			return report, eris.Wrap(err, "hosted: running task in a report")
		}
		report.Running = append(report.Running, schedule.RunReport{Task: task, Run: run.Run, Checkpoint: run.Checkpoint, Percent: run.Percent, Load: run.Load})
	}
	for _, run := range w.Ended {
		task, err := job.ParseRef(run.Task)
		if err != nil {
			return report, eris.Wrap(err, "hosted: ended task in a report")
		}
		kind := schedule.EndKind(run.Kind)
		if kind < schedule.EndDone || kind > schedule.EndGangIncomplete {
			return report, eris.Errorf("hosted: end of unknown kind %d in a report", run.Kind)
		}
		report.Ended = append(report.Ended, schedule.EndReport{Task: task, Run: run.Run, Kind: kind, Checkpoint: run.Checkpoint})
	}
	return report, nil
}
