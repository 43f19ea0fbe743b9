package target

import (
	"math/bits"

	"citronknot/clock"
)

const (
	minInactivityTimeout clock.Millis = 1000
	percentileFactor                  = 3
	minOverdue           clock.Millis = 100
	percentileRefresh    clock.Millis = 1000
	countHalvingInterval clock.Millis = 10_000
	minSamples                        = 100 // fewer samples give no 99th percentile
)

// Latencies estimates the 99th percentile of the response times of a pool from a histogram with
// four buckets for each power of two milliseconds. The zero value is ready for use. It is not
// safe for concurrent use.
type Latencies struct {
	counts      [160]uint32
	total       uint32
	p99         clock.Millis
	nextRefresh clock.Millis // time of the next computation of p99
	nextHalving clock.Millis // time at which the counts are next halved
}

// Record adds the duration of one response to the histogram. For a request that was abandoned
// after the inactivity timeout, the caller passes the time that it waited. Otherwise a pool whose
// run times grow beyond the timeout would be treated as unresponsive forever.
func (l *Latencies) Record(now, duration clock.Millis) {
	l.counts[bucketIndex(duration)]++
	l.total++
	if now < l.nextRefresh {
		return
	}
	l.nextRefresh = now + percentileRefresh
	l.p99 = l.percentile()
	if now >= l.nextHalving {
		l.nextHalving = now + countHalvingInterval
		l.total = 0
		for i := range l.counts {
			l.counts[i] /= 2
			l.total += l.counts[i]
		}
	}
}

// InactivityTimeout returns the time without progress of a request after which its connection
// counts as unresponsive: 3 times the pool's 99th percentile, and at least 1 s.
func (l *Latencies) InactivityTimeout() clock.Millis {
	return max(minInactivityTimeout, percentileFactor*l.p99)
}

// Overdue reports whether a request that has waited for a response is slower than 3 times the
// pool's 99th percentile. Unlike InactivityTimeout, it requires at least 100 samples. It is
// false below 100 ms, because high load on this member alone can cause such delays.
func (l *Latencies) Overdue(waited clock.Millis) bool {
	return l.total >= minSamples && waited >= max(minOverdue, percentileFactor*l.p99)
}

func (l *Latencies) percentile() clock.Millis {
	if l.total < minSamples {
		return l.p99
	}
	above := uint32(0)
	for i := len(l.counts) - 1; i >= 0; i-- {
		above += l.counts[i]
		if above*100 > l.total {
			return bucketUpperBound(i)
		}
	}
	return 0
}

func bucketIndex(duration clock.Millis) int {
	if duration < 4 {
		return int(max(0, duration))
	}
	exponent := bits.Len64(uint64(duration)) - 1
	return min(159, exponent*4-4+int(duration>>(exponent-2)&3))
}

func bucketUpperBound(i int) clock.Millis {
	if i < 4 {
		return clock.Millis(i)
	}
	exponent := (i + 4) / 4
	return clock.Millis(1)<<exponent + clock.Millis(i%4+1)<<(exponent-2) - 1
}
