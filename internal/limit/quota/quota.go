// Package quota counts the requests of customers against their limits. One node,
// the customer's home, keeps the bucket; a node that cannot reach the home
// admits its own small share.
package quota

import "time"

const (
	// startLevel is the part of the burst that a home begins with: the home
	// before it may have admitted the whole burst just now.
	startLevel = 0.3

	// shareBurst is the burst of a node that admits its own share, in requests.
	shareBurst = 1.0
)

// Bucket is the limit of one customer at its home. Its zero value is that of a
// home that has just begun. It is not safe for use by several goroutines at
// once.
type Bucket struct {
	level float64
	at    time.Time
}

// Take admits a request and returns zero, or the time after which one may be
// admitted. The rate is in requests per second.
func (b *Bucket) Take(now time.Time, rate, burst float64) time.Duration {
	if b.at.IsZero() {
		b.level, b.at = max(startLevel*burst, 1), now
	}
	b.refill(now, rate, burst)
	return b.take(rate)
}

// TakeShare admits a request of a node that is one of several and cannot reach
// the home.
func (b *Bucket) TakeShare(now time.Time, rate float64, nodes int) time.Duration {
	rate /= float64(max(nodes, 1))
	if b.at.IsZero() {
		b.level, b.at = shareBurst, now
	}
	b.refill(now, rate, shareBurst)
	return b.take(rate)
}

func (b *Bucket) take(rate float64) time.Duration {
	if b.level >= 1 {
		b.level--
		return 0
	}
	if rate <= 0 {
		return time.Second
	}
	// Rounded up: a level just below one would give a wait of zero, which says
	// that the request was admitted.
	return time.Duration((1-b.level)/rate*float64(time.Second)) + time.Nanosecond
}

func (b *Bucket) refill(now time.Time, rate, burst float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, max(burst, 1))
}
