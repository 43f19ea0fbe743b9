package dispatcher

import (
	"slices"

	"citronknot/clock"
	"citronknot/schedule"
)

// reportInterval is the longest time for which reports without news are left out.
const reportInterval clock.Millis = 1000

// reportFilter leaves out the reports of a worker that say nothing new to the owner. The zero value
// lets the first report pass.
type reportFilter struct {
	listed    bool                 // a report with the running runs has passed
	listedAt  clock.Millis         // when the poll of the latest such report was sent
	running   []schedule.RunReport // as reported then
	moreEnds  bool                 // as reported then
	orderedAt clock.Millis         // when the latest order had an outcome; the owner needs a list that is newer
}

// isNews reports whether the owner needs a report, and records that it gets it.
func (f *reportFilter) isNews(r *schedule.Report) bool {
	if r.EndsOnly {
		return true
	}
	current := f.listed && f.listedAt > f.orderedAt && r.RequestedAt-f.listedAt < reportInterval
	if current && len(r.Ended) == 0 && f.moreEnds == r.MoreEnds && slices.EqualFunc(f.running, r.Running, sameProgress) {
		return false
	}
	f.listed, f.listedAt, f.running, f.moreEnds = true, r.RequestedAt, r.Running, r.MoreEnds
	return true
}

// sameProgress reports whether two reports of a run say the same to the owner, which uses the
// progress only to see whether a long-running task works.
func sameProgress(a, b schedule.RunReport) bool {
	return a.Task == b.Task && a.Run == b.Run && a.Checkpoint == b.Checkpoint && a.Load == b.Load && (a.Percent >= 100) == (b.Percent >= 100)
}
