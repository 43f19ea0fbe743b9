package target

import "citronknot/clock"

const (
	retryWindow  = 10 // seconds
	retryPercent = 10
	retryMinimum = 3 // lets a pool with little traffic retry at all
)

// RetryBudget bounds the retries of a pool to a part of its requests, so that retries cannot
// amplify an overload. The zero value is ready for use. It is not safe for concurrent use.
type RetryBudget struct {
	buckets [retryWindow]struct {
		second            clock.Millis
		requests, retries int
	}
}

func (b *RetryBudget) bucket(now clock.Millis) *struct {
	second            clock.Millis
	requests, retries int
} {
	second := now / 1000
	k := &b.buckets[((second%retryWindow)+retryWindow)%retryWindow]
	if k.second != second {
		k.second, k.requests, k.retries = second, 0, 0
	}
	return k
}

// Request counts a request. Its retries are not requests.
func (b *RetryBudget) Request(now clock.Millis) { b.bucket(now).requests++ }

// Retry reports whether one more retry is allowed and counts it. There is none while the pool
// is full.
func (b *RetryBudget) Retry(now clock.Millis, full bool) bool {
	if full {
		return false
	}
	current := b.bucket(now)
	requests, retries := 0, 0
	for i := range b.buckets {
		if k := &b.buckets[i]; k.second > now/1000-retryWindow {
			requests += k.requests
			retries += k.retries
		}
	}
	if (retries+1)*100 > requests*retryPercent+retryMinimum*100 {
		return false
	}
	current.retries++
	return true
}
