// Package quota implements the token buckets that count requests of customers
// against their limits. One node, the customer's home, keeps the bucket of the
// whole limit; a node that cannot reach the home admits its share of the limit by
// itself.
package quota

import "time"

const (
	// initialBurstPart is the part of the burst that the bucket of a new home holds
	// at first: the previous home may have just admitted the whole burst.
	initialBurstPart = 0.3

	// shareBurst is the burst of one node's share, in requests.
	shareBurst = 1.0

	// maxWait is the longest time after which a refused request may be tried again.
	maxWait = 365 * 24 * time.Hour
)

// Bucket is the token bucket of one customer. The zero value is ready for use as
// that of a new home or of a share. It is not safe for concurrent use.
type Bucket struct {
	level      float64
	refilledAt time.Time
}

// Take admits a request at the customer's home and returns zero, or refuses it and
// returns the time after which to retry. The rate is in requests per second, the
// burst in requests.
func (b *Bucket) Take(now time.Time, rate, burst float64) time.Duration {
	b.begin(now, burst)
	b.refill(now, rate, burst)
	return b.take(rate)
}

// TakeShare is Take for a node that cannot reach the home: it admits one nodes-th
// of the rate, with a burst of shareBurst. If the share is used up, but less than
// maxDelay from its next token, the request is admitted too, and must not be sent
// before the returned time has passed. TakeShare returns false if it is refused.
func (b *Bucket) TakeShare(now time.Time, rate float64, nodes int, maxDelay time.Duration) (time.Duration, bool) {
	_, rate = b.ShareLevel(now, rate, nodes)
	wait := b.take(rate)
	if wait > maxDelay {
		return wait, false
	}
	if wait > 0 {
		b.level--
	}
	return wait, true
}

func (b *Bucket) take(rate float64) time.Duration {
	if b.level >= 1 {
		b.level--
		return 0
	}
	if rate <= 0 {
		return time.Second
	}
	// Rounds up: a level just below one would otherwise give a wait of zero, which
	// means that the request is admitted.
	wait := min((1-b.level)/rate, maxWait.Seconds())
	return time.Duration(wait*float64(time.Second)) + time.Nanosecond
}

func (b *Bucket) refill(now time.Time, rate, burst float64) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.level = min(b.level, max(burst, 1))
}
