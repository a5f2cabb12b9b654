// Package ratelimit paces the requests to one backend server by the limit that the backend
// server names in its responses. It answers the load of a backend server in need, which
// takes only so many requests a second from all nodes together.
package ratelimit

import "time"

const (
	// burstTime is the time for which requests that the limit allows can be saved up, so
	// that a pause in the load does not waste them.
	burstTime = 500 * time.Millisecond

	// minRate is the least rate, in requests per second. Without any request, no response
	// would tell that a limit of zero has ended.
	minRate = 0.2

	// unknownRate is the rate, in requests per second, until a first response tells whether
	// there is a limit. An earlier process may have sent what a limit allows.
	unknownRate = 0.5
)

// Limiter is a token bucket at the rate that a backend server names. The zero value limits
// nothing. It is not safe for concurrent use.
type Limiter struct {
	rate    float64 // Requests per second; zero if there is no limit.
	level   float64 // Requests that may start at levelAt.
	levelAt time.Time
	namedAt time.Time // Time at which the limit was last named.
	assumed bool      // No response has told yet whether there is a limit.
}

// Set records that a response named a limit in requests per second. The bucket of a new
// limit is empty: what was sent before, perhaps by an earlier process, is not known.
func (l *Limiter) Set(now time.Time, perSecond float64) {
	if l.rate == 0 || l.assumed {
		l.level, l.levelAt = min(l.level, 0), now
	}
	l.refill(now)
	l.rate, l.namedAt, l.assumed = max(perSecond, minRate), now, false
	l.refill(now)
}

// Assume lets one request start, and few others, until a response to a request sent after
// now tells whether there is a limit.
func (l *Limiter) Assume(now time.Time) {
	*l = Limiter{rate: unknownRate, level: 1, levelAt: now, namedAt: now, assumed: true}
}

// Clear records a response without a limit to a request sent at the given time. It ends the
// limit and returns true, unless the limit was named after that request was sent.
func (l *Limiter) Clear(sent time.Time) bool {
	if l.rate == 0 || !sent.After(l.namedAt) {
		return false
	}
	*l = Limiter{}
	return true
}

// Interval returns the time between two requests at the limit; zero if there is none.
func (l *Limiter) Interval() time.Duration {
	if l.rate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / l.rate)
}

// Delay returns the time until the nth request from now on may start, the first being 1.
// It is zero without a limit, and negative for a request that could have started before.
func (l *Limiter) Delay(now time.Time, n int) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.refill(now)
	missing := (float64(n) - l.level) / l.rate
	return l.levelAt.Sub(now) + time.Duration(missing*float64(time.Second))
}

// Next returns the time from which a request may start; the zero time without a limit.
func (l *Limiter) Next() time.Time {
	if l.rate == 0 {
		return time.Time{}
	}
	// Rounded up, so that the request may start at that time.
	return l.levelAt.Add(max(time.Duration((1-l.level)/l.rate*float64(time.Second)), 0) + time.Microsecond)
}

// Take counts a request that starts.
func (l *Limiter) Take(now time.Time) {
	if l.rate > 0 {
		l.refill(now)
		l.level--
	}
}

func (l *Limiter) refill(now time.Time) {
	if elapsed := now.Sub(l.levelAt); elapsed > 0 {
		l.level += l.rate * elapsed.Seconds()
		l.levelAt = now
	}
	l.level = min(l.level, max(l.rate*burstTime.Seconds(), 1))
}
