// Package retrybucket limits the retries for a service with a token bucket, so that retries
// do not add load to a service that is failing.
package retrybucket

import "time"

const (
	ratio           = 0.2  // Tokens that each request adds.
	reserve         = 3.0  // Tokens that time alone refills the bucket to.
	refillPerSecond = 1.0  // Tokens per second, up to the reserve.
	capacity        = 50.0 // Largest number of tokens.
)

// Bucket is the token bucket of one service; a retry takes one token. Its zero value
// holds the reserve. It is not safe for concurrent use.
type Bucket struct {
	tokens  float64
	updated time.Time // Time of the last change; zero before the first.
}

// RecordFirstAttempt adds the tokens for the first attempt of a request.
func (b *Bucket) RecordFirstAttempt(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+ratio, capacity)
}

// AllowRetry reports whether a request may be sent again, and takes a token if so.
func (b *Bucket) AllowRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last change, up to the reserve. Tokens
// above the reserve come from requests alone.
func (b *Bucket) refill(now time.Time) {
	if b.updated.IsZero() {
		b.tokens = reserve
	} else if elapsed := now.Sub(b.updated); elapsed > 0 && b.tokens < reserve {
		b.tokens = min(b.tokens+refillPerSecond*elapsed.Seconds(), reserve)
	}
	if now.After(b.updated) {
		b.updated = now
	}
}
