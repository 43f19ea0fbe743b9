package target

import (
	"math/bits"

	"citronknot/clock"
)

const (
	silenceMinimum clock.Millis = 1000
	silenceFactor               = 3
	overdueMinimum clock.Millis = 100
	latencyRefresh clock.Millis = 1000
	latencyHalf    clock.Millis = 10_000
	latencySamples              = 100 // fewer samples have no 99th percentile
)

// Latencies estimates the 99th percentile of a pool's response times from a histogram whose
// buckets are a quarter of a power of two wide. The zero value is ready for use. It is not safe
// for concurrent use.
type Latencies struct {
	counts  [160]uint32
	total   uint32
	p99     clock.Millis
	fresh   clock.Millis // next computation of p99
	halving clock.Millis // next halving of the counts
}

// Record adds one response time. A request that is given up for silence counts with its waiting
// time; otherwise a pool whose run times grow would be taken for silent for good.
func (l *Latencies) Record(now, took clock.Millis) {
	l.counts[bucketOf(took)]++
	l.total++
	if now < l.fresh {
		return
	}
	l.fresh = now + latencyRefresh
	l.p99 = l.percentile()
	if now >= l.halving {
		l.halving = now + latencyHalf
		l.total = 0
		for i := range l.counts {
			l.counts[i] /= 2
			l.total += l.counts[i]
		}
	}
}

// Silence returns the time after which a request without a response marks its connection as
// silent: 3 times the pool's 99th percentile, and at least 1 s.
func (l *Latencies) Silence() clock.Millis { return max(silenceMinimum, silenceFactor*l.p99) }

// Overdue reports whether a request without a response for some time is slower than the pool's
// requests are known to be. It needs samples, unlike Silence, and at least 100 ms, because a
// busy member alone can cause shorter delays.
func (l *Latencies) Overdue(waited clock.Millis) bool {
	return l.total >= latencySamples && waited >= max(overdueMinimum, silenceFactor*l.p99)
}

func (l *Latencies) percentile() clock.Millis {
	if l.total < latencySamples {
		return l.p99
	}
	above := uint32(0)
	for i := len(l.counts) - 1; i >= 0; i-- {
		above += l.counts[i]
		if above*100 > l.total {
			return upperOf(i)
		}
	}
	return 0
}

func bucketOf(m clock.Millis) int {
	if m < 4 {
		return int(max(0, m))
	}
	e := bits.Len64(uint64(m)) - 1
	return min(159, e*4-4+int(m>>(e-2)&3))
}

func upperOf(i int) clock.Millis {
	if i < 4 {
		return clock.Millis(i)
	}
	e := (i + 4) / 4
	return clock.Millis(1)<<e + clock.Millis(i%4+1)<<(e-2) - 1
}
