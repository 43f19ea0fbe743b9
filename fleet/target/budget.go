package target

import "citronknot/clock"

const (
	retryWindowSeconds = 10
	retryPercent       = 10 // retries for each 100 requests in the window
	minRetries         = 3  // added in each window, so that a pool with few requests can retry at all
)

// RetryBudget limits the retries of a pool to a fraction of its requests in the last 10 s, so
// that retries cannot amplify an overload. The zero value is ready for use. It is not safe for
// concurrent use.
type RetryBudget struct {
	buckets [retryWindowSeconds]struct {
		second            clock.Millis
		requests, retries int
	}
}

func (b *RetryBudget) bucket(now clock.Millis) *struct {
	second            clock.Millis
	requests, retries int
} {
	second := now / 1000
	bucket := &b.buckets[((second%retryWindowSeconds)+retryWindowSeconds)%retryWindowSeconds]
	if bucket.second != second {
		bucket.second, bucket.requests, bucket.retries = second, 0, 0
	}
	return bucket
}

// CountRequest counts a request. It is not called for the retries of a request.
func (b *RetryBudget) CountRequest(now clock.Millis) { b.bucket(now).requests++ }

// TakeRetry reports whether one more retry is allowed, and counts it if so. No retry is allowed
// while the pool is full.
func (b *RetryBudget) TakeRetry(now clock.Millis, full bool) bool {
	if full {
		return false
	}
	current := b.bucket(now)
	requests, retries := 0, 0
	for i := range b.buckets {
		if bucket := &b.buckets[i]; bucket.second > now/1000-retryWindowSeconds {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	if (retries+1)*100 > requests*retryPercent+minRetries*100 {
		return false
	}
	current.retries++
	return true
}
