package runtimes

import (
	"cmp"
	"container/list"
	"math/bits"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// MaxKeys is the number of groups of runs that a table keeps apart, unless Table.MaxKeys says
// otherwise. A table takes about 100 KB with as many.
const MaxKeys = 512

// minObservations is the number of observations from which a quantile is given. With fewer, a few
// runs that take seven times as long as the others would decide the 95th percentile, and chance the
// median.
const minObservations = 16

// Key names the runs that are expected to behave alike, and the estimate that was submitted for
// them. Runs of a queue and image whose estimates are of one size class are counted together.
type Key struct {
	Queue    fleet.QueueID
	Image    string
	Estimate clock.Millis
}

// group is what the runs that are counted together have in common.
type group struct {
	queue fleet.QueueID
	image string
	class int
}

// sizeClass returns the size class of an estimate. A class spans a factor of four, so that a queue
// with estimates of many sizes has few keys.
func sizeClass(estimate clock.Millis) int { return bits.Len64(uint64(max(0, estimate))) / 2 }

// group returns the group that a key belongs to.
func (k Key) group() group {
	return group{queue: k.Queue, image: k.Image, class: sizeClass(k.Estimate)}
}

// Table holds the learned run times of a pool's tasks. The zero value is an empty table. A table is
// not safe for concurrent use.
type Table struct {
	MaxKeys int // groups that are kept; 0 means the constant MaxKeys

	records map[group]*list.Element // of *record
	used    list.List               // records, the most recently used first
}

// record holds the observations of a group.
type record struct {
	group  group
	ratios histogram
}

// Observe records that a run with the estimate of k took ran. Estimates of 0 are ignored: there is no
// ratio to them.
func (t *Table) Observe(k Key, ran clock.Millis) {
	if k.Estimate <= 0 || ran < 0 {
		return
	}
	r := t.find(k)
	if r == nil {
		r = t.add(k.group())
	}
	r.ratios.add(float64(max(1, ran)) / float64(k.Estimate))
}

// find returns the record of a key and marks it as used, or nil if there is none.
func (t *Table) find(k Key) *record {
	e := t.records[k.group()]
	if e == nil {
		return nil
	}
	t.used.MoveToFront(e)
	return e.Value.(*record)
}

// add adds the record of a group, in place of the least recently used one if the table is full.
func (t *Table) add(g group) *record {
	if t.records == nil {
		t.records = map[group]*list.Element{}
	}
	if len(t.records) >= cmp.Or(t.MaxKeys, MaxKeys) {
		oldest := t.used.Back()
		t.used.Remove(oldest)
		delete(t.records, oldest.Value.(*record).group)
	}
	r := &record{group: g}
	t.records[g] = t.used.PushFront(r)
	return r
}

// Quantile returns the run time that a part q of the runs like k do not exceed. It returns false if
// too few were observed.
func (t *Table) Quantile(k Key, q float64) (ran clock.Millis, ok bool) {
	return t.quantile(k, q, 0)
}

// Remaining returns the median of how much longer runs like k go on that have gone on for elapsed,
// and false if too few runs were observed or none of them took as long.
func (t *Table) Remaining(k Key, elapsed clock.Millis) (left clock.Millis, ok bool) {
	if k.Estimate <= 0 {
		return 0, false
	}
	ran, ok := t.quantile(k, 0.5, bucketOf(float64(max(1, elapsed))/float64(k.Estimate)))
	return max(0, ran-elapsed), ok
}

// quantile returns the quantile of the observations of a key from a bucket on.
func (t *Table) quantile(k Key, q float64, from int) (clock.Millis, bool) {
	if k.Estimate <= 0 {
		return 0, false
	}
	r := t.find(k)
	if r == nil || r.ratios.total < minObservations {
		return 0, false
	}
	ratio, ok := r.ratios.quantile(q, from)
	return clock.Millis(ratio * float64(k.Estimate)), ok
}

// Entry describes the observations of a group of runs. Ratios are to the submitted estimate.
type Entry struct {
	Queue        fleet.QueueID
	Image        string
	Smallest     clock.Millis // estimates of the group are at least this
	Median       float64
	P95          float64
	Observations int // with the older ones in part
}

// Len returns the number of groups in the table.
func (t *Table) Len() int { return len(t.records) }

// Entries returns at most limit groups, those with the most observations, by queue, image and size.
func (t *Table) Entries(limit int) []Entry {
	out := make([]Entry, 0, len(t.records))
	for g, e := range t.records {
		h := &e.Value.(*record).ratios
		median, _ := h.quantile(0.5, 0)
		p95, _ := h.quantile(0.95, 0)
		out = append(out, Entry{
			Queue: g.queue, Image: g.image, Smallest: smallest(g.class), Median: median, P95: p95, Observations: h.total,
		})
	}
	order := func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Image, b.Image), cmp.Compare(a.Smallest, b.Smallest))
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Or(cmp.Compare(b.Observations, a.Observations), order(a, b)) })
	out = out[:min(limit, len(out))]
	slices.SortFunc(out, order)
	return out
}

// smallest returns the smallest estimate of a size class.
func smallest(class int) clock.Millis {
	if class == 0 {
		return 1
	}
	return 1 << (2*class - 1)
}
