package job

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// wireStep is a step as it is stored. Zero fields are omitted, since storage is paid for by the
// byte.
type wireStep struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	Memory       int64  `json:"memory_mb,omitempty"`
	GPU          int64  `json:"gpu,omitempty"`
	Estimate     int64  `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	SameRack     bool   `json:"same_rack,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	BestEffort   bool   `json:"fills,omitempty"`
	Label        string `json:"label,omitempty"`
	DataRack     string `json:"data_rack,omitempty"`
	MaxPerWorker int    `json:"max_per_worker,omitempty"`
	Image        string `json:"image,omitempty"`
	TailTarget   int64  `json:"tail_target_ms,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
}

// wireJob is a job as it is stored.
type wireJob struct {
	ID       string     `json:"id"`
	Queue    string     `json:"queue"`
	Team     string     `json:"team,omitempty"`
	Spec     string     `json:"spec,omitempty"`
	Steps    []wireStep `json:"steps"`
	Runs     int        `json:"runs,omitempty"`
	First    int64      `json:"first_ms,omitempty"`
	Interval int64      `json:"interval_ms,omitempty"`
	Accepted int64      `json:"accepted_ms,omitempty"`

	Policy *wirePolicy `json:"policy,omitempty"`
}

// wireProgress is the progress of a job as it is stored.
type wireProgress struct {
	State    string           `json:"state,omitempty"`
	Finished int64            `json:"finished_ms,omitempty"`
	Done     []string         `json:"done,omitempty"`     // OCCURRENCE.STEP.FIRST-LAST, or FIRST-LAST for whole occurrences
	Failures map[string][]int `json:"failures,omitempty"` // run numbers by OCCURRENCE.STEP.INDEX

	Cause   string                 `json:"cause,omitempty"`   // of a final state
	Crashes map[string][]wireCrash `json:"crashes,omitempty"` // by OCCURRENCE.STEP.INDEX, like Trials
	Trials  map[string]wireTrial   `json:"trials,omitempty"`

	Compact *wireCompact `json:"compact,omitempty"` // what has too many entries for the fields above
}

// wireCrash is a crash of a worker under a task.
type wireCrash struct {
	Run         int    `json:"run"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born_ms"`
	Age         int64  `json:"age_ms"`
	Alone       bool   `json:"alone,omitempty"`
	Peers       int    `json:"peers,omitempty"`
}

// wireTrial is the start of a task under which workers have crashed.
type wireTrial struct {
	Run         int    `json:"run"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born_ms"`
	Alone       bool   `json:"alone,omitempty"`
}

// Encode returns j in the JSON form in which it is stored and sent between members.
func (j *Job) Encode() ([]byte, error) {
	w := wireJob{
		ID: string(j.ID), Queue: string(j.Queue), Team: string(j.Team), Spec: j.Spec, Runs: j.Runs,
		First: int64(j.First), Interval: int64(j.Interval), Accepted: int64(j.Accepted), Policy: encodePolicy(j.Policy),
	}
	for i := range j.Steps {
		w.Steps = append(w.Steps, encodeStep(&j.Steps[i]))
	}
	text, err := json.Marshal(w)
	return text, eris.Wrap(err, "job: encode")
}

func encodeStep(s *Step) wireStep {
	return wireStep{
		Count: s.Count, CPU: s.Needs.CPU, Memory: s.Needs.Memory, GPU: s.Needs.GPU, Estimate: int64(s.Estimate),
		After: s.After, Checkpoint: s.Checkpoint, Gang: s.Gang, SameRack: s.SameRack, Speculative: s.Speculative,
		LongRunning: s.LongRunning, BestEffort: s.BestEffort, Label: s.Label, DataRack: string(s.DataRack), MaxPerWorker: s.MaxPerWorker,
		Image: s.Image, TailTarget: int64(s.TailLatencyTarget), MayMiss: s.MaxUnavailable,
	}
}

// Decode decodes a stored job and checks it. It fails with *FieldError if a field is not accepted.
func Decode(text []byte) (*Job, error) {
	var w wireJob
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, eris.Wrap(err, "job: decode")
	}
	j := w.job()
	if err := j.Check(); err != nil {
		return nil, err
	}
	return j, nil
}

func (w *wireJob) job() *Job {
	j := &Job{
		ID: ID(w.ID), Queue: fleet.QueueID(w.Queue), Team: fleet.TeamID(w.Team), Spec: w.Spec, Runs: w.Runs,
		First: clock.Millis(w.First), Interval: clock.Millis(w.Interval), Accepted: clock.Millis(w.Accepted), Policy: decodePolicy(w.Policy),
	}
	for _, s := range w.Steps {
		j.Steps = append(j.Steps, decodeStep(s))
	}
	return j
}

// DecodeSubmission decodes a job that a team submits to a queue under an id, in the form in which
// jobs are stored. It fails if the text has an unknown field, so that a misspelled field is not
// ignored, and with *FieldError if it names another team, a policy, or has a field that is not accepted.
func DecodeSubmission(text []byte, id ID, queue fleet.QueueID, team fleet.TeamID) (*Job, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	var w wireJob
	if err := d.Decode(&w); err != nil {
		return nil, eris.Wrap(err, "job: decode")
	}
	if w.Team != "" && fleet.TeamID(w.Team) != team {
		return nil, newFieldError("team", w.Team, "the team of the key")
	}
	if w.Policy != nil {
		return nil, newFieldError("policy", "an object", "no value: the queue sets the policy of its jobs")
	}
	j := w.job()
	j.ID, j.Queue, j.Team, j.Accepted = id, queue, team, 0
	if err := j.Check(); err != nil {
		return nil, err
	}
	return j, nil
}

func decodeStep(s wireStep) Step {
	return Step{
		Count: s.Count, Needs: Resources{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}, Estimate: clock.Millis(s.Estimate),
		After: s.After, Checkpoint: s.Checkpoint, Gang: s.Gang, SameRack: s.SameRack, Speculative: s.Speculative,
		LongRunning: s.LongRunning, BestEffort: s.BestEffort, Label: s.Label, DataRack: fleet.RackID(s.DataRack), MaxPerWorker: s.MaxPerWorker,
		Image: s.Image, TailLatencyTarget: clock.Millis(s.TailTarget), MaxUnavailable: s.MayMiss,
	}
}

// Encode returns p in the JSON form in which it is stored. Done tasks are stored as ranges of
// indexes, and what concerns many tasks in a compact form. For a job in a final state only the
// state, its cause and its time are stored.
func (p *Progress) Encode() ([]byte, error) { return p.encode(allCrashes) }

// EncodeWithin is like Encode, but leaves out as much of the crashes as is necessary for the result to
// take at most limit bytes; complete reports whether nothing is left out. The result is larger than the limit if
// the rest alone is.
func (p *Progress) EncodeWithin(limit int) (text []byte, complete bool, err error) {
	for detail := allCrashes; ; detail++ {
		text, err = p.encode(detail)
		if err != nil || len(text) <= limit || detail == noCrashes || len(p.Crashes) == 0 {
			return text, detail == allCrashes, err
		}
	}
}

// encode returns p in its stored form, with the given detail of the crashes.
func (p *Progress) encode(detail crashDetail) ([]byte, error) {
	w := wireProgress{State: string(p.State), Finished: int64(p.Finished), Cause: p.Cause}
	if !p.State.Final() {
		w.encodeTasks(p, detail)
	}
	text, err := json.Marshal(w)
	return text, eris.Wrap(err, "job: encode progress")
}

// encodeByPosition converts a map of what is known of tasks to the stored form. It returns nil for an
// empty map, so that the field is omitted.
func encodeByPosition[V, W any](values map[Position]V, encode func(V) W) map[string]W {
	if len(values) == 0 {
		return nil
	}
	out := make(map[string]W, len(values))
	for at, v := range values {
		out[fmt.Sprintf("%d.%d.%d", at.Occurrence, at.Step, at.Index)] = encode(v)
	}
	return out
}

// decodeByPosition is the inverse of encodeByPosition.
func decodeByPosition[V, W any](values map[string]W, decode func(W) V) (map[Position]V, error) {
	out := make(map[Position]V, len(values))
	for text, v := range values {
		at, err := decodePosition(text)
		if err != nil {
			return nil, err
		}
		out[at] = decode(v)
	}
	return out, nil
}

func encodeCrashes(crashes []Crash) []wireCrash {
	out := make([]wireCrash, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, wireCrash{Run: c.Run, Worker: string(c.Worker), Incarnation: int64(c.Incarnation), Age: int64(c.Age), Alone: c.Alone, Peers: c.Peers})
	}
	return out
}

func decodeCrashes(crashes []wireCrash) []Crash {
	out := make([]Crash, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, Crash{Run: c.Run, Worker: fleet.InstanceID(c.Worker), Incarnation: clock.Millis(c.Incarnation), Age: clock.Millis(c.Age), Alone: c.Alone, Peers: c.Peers})
	}
	return out
}

func encodeTrial(t Trial) wireTrial {
	return wireTrial{Run: t.Run, Worker: string(t.Worker), Incarnation: int64(t.Incarnation), Alone: t.Alone}
}

func decodeTrial(t wireTrial) Trial {
	return Trial{Run: t.Run, Worker: fleet.InstanceID(t.Worker), Incarnation: clock.Millis(t.Incarnation), Alone: t.Alone}
}

// encodeDone returns the ranges of complete occurrences and of done tasks in their stored form.
func encodeDone(p *Progress) []string {
	var out []string
	for _, r := range p.Complete {
		out = append(out, fmt.Sprintf("%d-%d", r.First, r.Last))
	}
	all := make([]Position, 0, len(p.Done))
	for at := range p.Done {
		all = append(all, at)
	}
	slices.SortFunc(all, comparePositions)
	for i := 0; i < len(all); {
		k := i + 1
		for k < len(all) && all[k].Occurrence == all[i].Occurrence && all[k].Step == all[i].Step && all[k].Index == all[k-1].Index+1 {
			k++
		}
		out = append(out, fmt.Sprintf("%d.%d.%d-%d", all[i].Occurrence, all[i].Step, all[i].Index, all[k-1].Index))
		i = k
	}
	return out
}

func comparePositions(a, b Position) int {
	if a.Occurrence != b.Occurrence {
		return a.Occurrence - b.Occurrence
	}
	if a.Step != b.Step {
		return a.Step - b.Step
	}
	return a.Index - b.Index
}

// DecodeProgress decodes what [Progress.Encode] returned. It fails with *FieldError if a task is
// not in the stored form.
func DecodeProgress(text []byte) (*Progress, error) {
	var w wireProgress
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, eris.Wrap(err, "job: decode progress")
	}
	p := &Progress{State: State(w.State), Cause: w.Cause, Finished: clock.Millis(w.Finished), Done: map[Position]bool{}}
	for _, doneRange := range w.Done {
		if doneRange == compactMark && w.Compact != nil {
			continue
		}
		if err := p.decodeDone(doneRange); err != nil {
			return nil, err
		}
	}
	var err error
	if p.Failures, err = decodeByPosition(w.Failures, func(runs []int) []int { return runs }); err != nil {
		return nil, err
	}
	if p.Crashes, err = decodeByPosition(w.Crashes, decodeCrashes); err != nil {
		return nil, err
	}
	if p.Trials, err = decodeByPosition(w.Trials, decodeTrial); err != nil {
		return nil, err
	}
	if w.Compact != nil {
		if err := w.Compact.decode(p); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// decodeDone adds a stored range of done tasks or of complete occurrences.
func (p *Progress) decodeDone(text string) error {
	head, last, ok := strings.Cut(text, "-")
	end, err := strconv.Atoi(last)
	if !ok || err != nil {
		return newFieldError("done", text, "OCCURRENCE.STEP.FIRST-LAST or FIRST-LAST")
	}
	if first, err := strconv.Atoi(head); err == nil {
		if first < 0 || end < first || end >= MaxOccurrences {
			return newFieldError("done", text, fmt.Sprintf("a range of occurrences from 0 to %d", MaxOccurrences-1))
		}
		p.Complete = append(p.Complete, OccurrenceRange{First: first, Last: end})
		return nil
	}
	at, err := decodePosition(head)
	if err != nil || end-at.Index > MaxTasks {
		return newFieldError("done", text, "OCCURRENCE.STEP.FIRST-LAST or FIRST-LAST")
	}
	for ; at.Index <= end; at.Index++ {
		p.Done[at] = true
	}
	return nil
}

func decodePosition(text string) (Position, error) {
	var at Position
	if n, err := fmt.Sscanf(text, "%d.%d.%d", &at.Occurrence, &at.Step, &at.Index); err != nil || n != 3 {
		return at, newFieldError("position", text, "OCCURRENCE.STEP.INDEX")
	}
	return at, nil
}
