package job

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// A job may have 10,000 tasks, and its progress has to fit in one row. Progress in which many tasks differ
// is stored in a compact form: what many tasks have in common is stored once, with the set of these
// tasks.

// Numbers of entries up to which progress is stored task by task, which members of all versions read. Entries of
// these numbers take about two thirds of a row.
const (
	maxPlainRanges  = 512 // of done tasks and of complete occurrences together
	maxPlainEntries = 128 // of failures, of crashes and of trials, each
)

// compactMark stands in wireProgress.Done if the compact form contains what would make a member that
// does not read it start tasks again. Such a member rejects the row.
const compactMark = "compact"

// wireCompact is the part of a job's progress that is stored in the compact form. Sets of tasks are of
// their numbers in the shape; see encodeSet.
type wireCompact struct {
	Steps    int              `json:"steps"` // the shape
	Tasks    int              `json:"tasks"`
	Done     []byte           `json:"done,omitempty"`
	Complete []byte           `json:"complete,omitempty"` // set of occurrences
	Failures []wireFailureSet `json:"failures,omitempty"`
	Crashes  []wireCrashSet   `json:"crashes,omitempty"`
	Trials   []wireTrialSet   `json:"trials,omitempty"`
}

// wireFailureSet holds the tasks whose run with a number failed.
type wireFailureSet struct {
	Run   int    `json:"run"`
	Tasks []byte `json:"tasks"`
}

// wireCrashSet holds the tasks that were lost in a crash of a worker.
type wireCrashSet struct {
	Run         int    `json:"run"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born_ms"`
	Alone       bool   `json:"alone,omitempty"`
	Peers       int    `json:"peers,omitempty"`
	Tasks       []byte `json:"tasks"`
	Ages        []byte `json:"ages"` // in milliseconds, in the order of the tasks; see encodeValues
}

// wireTrialSet holds the tasks of a trial.
type wireTrialSet struct {
	wireTrial
	Tasks []byte `json:"tasks"`
}

// crashDetail says how much of the crashes of a job is stored.
type crashDetail uint8

const (
	allCrashes    crashDetail = iota
	roundedAges               // ages that hardly differ in what they say are stored as the same one
	likelyCrashes             // only those of runs that were alone or had just been started
	aloneCrashes              // only those of runs that were alone
	noCrashes
)

// Ages to which those of runs that were not alone are rounded.
const (
	roundedLong  = ProvenAge + 1
	roundedLater = StartupAge + 1
)

// apply returns the crash as it is stored, and false if it is left out.
func (d crashDetail) apply(c Crash) (stored Crash, ok bool) {
	switch {
	case d == noCrashes || (d == aloneCrashes && !c.Alone) || (d == likelyCrashes && !c.Alone && c.Age > StartupAge):
		return c, false
	case d == allCrashes || c.Alone || c.Age < 0:
		return c, true
	case c.Age > ProvenAge:
		c.Age = roundedLong
	case c.Age > StartupAge:
		c.Age = roundedLater
	default:
		c.Age -= c.Age % CrashAgeSpread
	}
	return c, true
}

// encodeTasks sets what the stored progress says of tasks: each part task by task if it has few entries, and
// otherwise in the compact form.
func (w *wireProgress) encodeTasks(p *Progress, detail crashDetail) {
	numbering := p.shape()
	c := &wireCompact{Steps: numbering.Steps, Tasks: numbering.Tasks}
	required := false
	if done := encodeDone(p); len(done) <= maxPlainRanges {
		w.Done = done
	} else {
		c.Done, c.Complete = encodeSet(numbers(numbering, p.Done)), encodeSet(p.completeOccurrences())
		w.Compact, required = c, true
	}
	if countEntries(p.Failures) <= maxPlainEntries {
		w.Failures = encodeByPosition(p.Failures, func(runs []int) []int { return runs })
	} else {
		c.Failures = encodeFailureSets(p.Failures, numbering)
		w.Compact, required = c, true
	}
	if detail == allCrashes && countEntries(p.Crashes) <= maxPlainEntries {
		w.Crashes = encodeByPosition(p.Crashes, encodeCrashes)
	} else {
		c.Crashes = encodeCrashSets(p.Crashes, numbering, detail)
		w.Compact = c
	}
	if len(p.Trials) <= maxPlainEntries {
		w.Trials = encodeByPosition(p.Trials, encodeTrial)
	} else {
		c.Trials = encodeTrialSets(p.Trials, numbering)
		w.Compact = c
	}
	if required {
		w.Done = append(w.Done, compactMark)
	}
}

// shape returns the smallest shape that numbers all tasks of which p says something.
func (p *Progress) shape() shape {
	s := shape{Steps: 1, Tasks: 1}
	includeAll(&s, p.Done)
	includeAll(&s, p.Failures)
	includeAll(&s, p.Crashes)
	includeAll(&s, p.Trials)
	return s
}

// includeAll extends a shape to the tasks that are keys of a map.
func includeAll[V any](s *shape, values map[Position]V) {
	for at := range values {
		s.include(at)
	}
}

// completeOccurrences returns the occurrences of which all tasks are done, in order.
func (p *Progress) completeOccurrences() []int64 {
	var out []int64
	for _, r := range p.Complete {
		for i := r.First; i <= r.Last; i++ {
			out = append(out, int64(i))
		}
	}
	return out
}

// countEntries returns the number of entries in all lists of a map.
func countEntries[V any](lists map[Position][]V) int {
	n := 0
	for _, l := range lists {
		n += len(l)
	}
	return n
}

func encodeFailureSets(failures map[Position][]int, s shape) []wireFailureSet {
	tasks := map[int][]int64{} // by run
	for at, runs := range failures {
		for _, run := range runs {
			tasks[run] = append(tasks[run], s.number(at))
		}
	}
	out := make([]wireFailureSet, 0, len(tasks))
	for run, set := range tasks {
		slices.Sort(set)
		out = append(out, wireFailureSet{Run: run, Tasks: encodeSet(set)})
	}
	slices.SortFunc(out, func(a, b wireFailureSet) int { return cmp.Compare(a.Run, b.Run) })
	return out
}

// crashGroup is what tasks that were lost in a crash have in common. Among the crashes of each of them it
// is at the same index.
type crashGroup struct {
	index int
	crash Crash // without the age
}

// lostTask is a task that was lost in a crash.
type lostTask struct {
	number int64
	age    clock.Millis
}

func encodeCrashSets(crashes map[Position][]Crash, s shape, detail crashDetail) []wireCrashSet {
	groups := map[crashGroup][]lostTask{}
	for at, list := range crashes {
		for i, c := range list {
			c, ok := detail.apply(c)
			if !ok {
				continue
			}
			age := c.Age
			c.Age = 0
			g := crashGroup{index: i, crash: c}
			groups[g] = append(groups[g], lostTask{number: s.number(at), age: age})
		}
	}
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b crashGroup) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.crash.Worker, b.crash.Worker), cmp.Compare(a.crash.Run, b.crash.Run))
	})
	out := make([]wireCrashSet, 0, len(keys))
	for _, g := range keys {
		out = append(out, encodeCrashSet(g.crash, groups[g]))
	}
	return out
}

func encodeCrashSet(c Crash, lost []lostTask) wireCrashSet {
	slices.SortFunc(lost, func(a, b lostTask) int { return cmp.Compare(a.number, b.number) })
	set, ages := make([]int64, len(lost)), make([]int64, len(lost))
	for i, l := range lost {
		set[i], ages[i] = l.number, int64(l.age)
	}
	return wireCrashSet{
		Run: c.Run, Worker: string(c.Worker), Incarnation: int64(c.Incarnation), Alone: c.Alone, Peers: c.Peers,
		Tasks: encodeSet(set), Ages: encodeValues(ages),
	}
}

func encodeTrialSets(trials map[Position]Trial, s shape) []wireTrialSet {
	tasks := map[Trial][]int64{}
	for at, t := range trials {
		tasks[t] = append(tasks[t], s.number(at))
	}
	out := make([]wireTrialSet, 0, len(tasks))
	for t, set := range tasks {
		slices.Sort(set)
		out = append(out, wireTrialSet{wireTrial: encodeTrial(t), Tasks: encodeSet(set)})
	}
	slices.SortFunc(out, func(a, b wireTrialSet) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Run, b.Run))
	})
	return out
}

// decode adds what is stored in the compact form to p.
func (w *wireCompact) decode(p *Progress) error {
	s := shape{Steps: w.Steps, Tasks: w.Tasks}
	if !s.valid() {
		return newFieldError("compact.steps", w.Steps, fmt.Sprintf("1 to %d steps of 1 to %d tasks", MaxSteps, MaxTasks))
	}
	done, err := s.decodeTasks("compact.done", w.Done)
	if err != nil {
		return err
	}
	for _, at := range done {
		p.Done[at] = true
	}
	complete, ok := decodeSet(w.Complete, MaxOccurrences)
	if !ok {
		return newFieldError("compact.complete", len(w.Complete), "a set of occurrences")
	}
	for _, occurrence := range complete {
		p.appendComplete(int(occurrence))
	}
	if err := w.decodeFailures(p, s); err != nil {
		return err
	}
	if err := w.decodeCrashes(p, s); err != nil {
		return err
	}
	return w.decodeTrials(p, s)
}

// decodeTasks decodes a set of tasks.
func (s shape) decodeTasks(field string, text []byte) ([]Position, error) {
	set, ok := decodeSet(text, s.number(Position{Occurrence: MaxOccurrences}))
	if !ok {
		return nil, newFieldError(field, len(text), "a set of tasks")
	}
	out := make([]Position, len(set))
	for i, number := range set {
		out[i] = s.position(number)
	}
	return out, nil
}

func (w *wireCompact) decodeFailures(p *Progress, s shape) error {
	for _, f := range w.Failures {
		tasks, err := s.decodeTasks("compact.failures", f.Tasks)
		if err != nil {
			return err
		}
		for _, at := range tasks {
			p.AddFailure(at, f.Run)
		}
	}
	return nil
}

func (w *wireCompact) decodeCrashes(p *Progress, s shape) error {
	for _, c := range w.Crashes {
		tasks, err := s.decodeTasks("compact.crashes", c.Tasks)
		if err != nil {
			return err
		}
		ages, ok := decodeValues(c.Ages, len(tasks))
		if !ok {
			return newFieldError("compact.ages", len(c.Ages), "an age for each task")
		}
		for i, at := range tasks {
			p.AddCrash(at, Crash{
				Run: c.Run, Worker: fleet.InstanceID(c.Worker), Incarnation: clock.Millis(c.Incarnation), Age: clock.Millis(ages[i]), Alone: c.Alone, Peers: c.Peers,
			})
		}
	}
	return nil
}

func (w *wireCompact) decodeTrials(p *Progress, s shape) error {
	for _, t := range w.Trials {
		tasks, err := s.decodeTasks("compact.trials", t.Tasks)
		if err != nil {
			return err
		}
		for _, at := range tasks {
			p.SetTrial(at, decodeTrial(t.wireTrial))
		}
	}
	return nil
}
