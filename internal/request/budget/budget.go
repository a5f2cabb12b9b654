// Package budget bounds the requests of a service that are sent again, so that
// retries do not add load to a service that is failing.
package budget

import "time"

const (
	ratio    = 0.2 // Retries that each request allows.
	reserve  = 3.0 // Retries at once after a quiet time.
	perTime  = 1.0 // Retries per second that are allowed without any request.
	capacity = 50.0
)

// Budget is that of one service. Its zero value allows a few retries. It is not
// safe for use by several goroutines at once.
type Budget struct {
	tokens float64
	at     time.Time // Time of the last change; zero before the first.
}

// Request notes a request that was sent for the first time.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+ratio, capacity)
}

// Retry reports whether a request may be sent again, and counts it if so.
func (b *Budget) Retry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill grows the budget by time only up to the reserve.
func (b *Budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.tokens = reserve
	} else if elapsed := now.Sub(b.at); elapsed > 0 && b.tokens < reserve {
		b.tokens = min(b.tokens+perTime*elapsed.Seconds(), reserve)
	}
	if now.After(b.at) {
		b.at = now
	}
}
