// Package waitline decides which requests wait for the next tokens of a customer's limit, and when each claims its
// token. It answers the load of a customer that asks for more than its rate for some seconds while its requests have
// time left: those that are likely to get a token in time wait, and the others are refused at once.
package waitline

import (
	"slices"
	"time"
)

const (
	// MinWait is the shortest time that a request waits for. One that has less is not given a place.
	MinWait = 50 * time.Millisecond

	// MaxWait is the longest time that a request waits.
	MaxWait = 2 * time.Second

	maxPlaces = 1024 // Of one customer.

	// claimTimeout is the time after its turn at which a place lapses. The entry's claim takes 100 ms at most, as does
	// the answer that tells the turn, and a starved entry wakes late.
	claimTimeout = 250 * time.Millisecond

	// minRepeat is the shortest time between two claims of a place.
	minRepeat = 10 * time.Millisecond

	// forecastMargin is the part of the time that a request has which its forecast wait may take up: tokens that are
	// granted to others, and claims under way, make a turn later than forecast.
	forecastMargin = 0.9

	// lastingExcess is the time of excess demand from which the line gets shorter. The longer demand has exceeded the rate, the
	// longer it probably will, and all that a line then does is to delay every request.
	lastingExcess = 5 * time.Second

	// excessTimeout is the time without a request that found no token after which demand no longer exceeds the rate.
	excessTimeout = time.Second

	maxAfter = 365 * 24 * time.Hour
)

// Ask is a request for a token.
type Ask struct {
	Wait     time.Duration // Most time for which it may wait.
	Priority int           // 0 is the highest.
	Place    uint64        // Place whose token is claimed; 0 for a new request.
}

// Supply is the state of the bucket that the line waits for.
type Supply struct {
	Tokens float64 // In the bucket now.
	Rate   float64 // Tokens per second.
	Room   bool    // The home has memory for a further place.
}

// Decision is the answer to an Ask. If the request is granted a token, the caller takes one out of the bucket.
type Decision struct {
	Granted bool
	Place   uint64        // Place of a request that waits; 0 if it is refused.
	After   time.Duration // When to claim the token, or when the turn of a refused request would come.
}

// Line holds the requests of one customer that wait for tokens. A place promises nothing: a token is spent when it is
// claimed. The zero value is ready for use. It is not safe for concurrent use.
type Line struct {
	places    []place // By priority, then by the time that is left.
	demand    demand
	shortAt   time.Time // When the last request found no token.
	busySince time.Time // When the current excess of demand began.
	swept     time.Time // When the places that have lapsed were removed.
	lapsed    int       // Places that have lapsed since TakeLapsed was called.
}

// place is one request that waits.
type place struct {
	number   uint64
	priority int
	wait     time.Duration // Most time for which the request may wait.
	latest   time.Time     // When the request must have its token.
	turn     time.Time     // When it was told to claim it.
}

// Len returns the number of places.
func (l *Line) Len() int { return len(l.places) }

// Sweep removes the places that have not been claimed in time.
func (l *Line) Sweep(now time.Time) {
	before := len(l.places)
	l.places = slices.DeleteFunc(l.places, func(p place) bool { return now.Sub(p.turn) > claimTimeout })
	l.swept = now
	l.lapsed += before - len(l.places)
}

// TakeLapsed returns the number of places that have lapsed since its last call.
func (l *Line) TakeLapsed() int {
	n := l.lapsed
	l.lapsed = 0
	return n
}

// Decide grants a request a token, gives it a place, or refuses it. The number is that of the place, if it gets one.
func (l *Line) Decide(now time.Time, s Supply, a Ask, number uint64) Decision {
	// Also before claims, as no new request may come while others wait behind places that have lapsed.
	if now.Sub(l.swept) > minRepeat {
		l.Sweep(now)
	}
	if i := l.find(a.Place); i >= 0 {
		if d, ok := l.claim(now, s, i); ok {
			return d
		}
	}
	wait := min(a.Wait, MaxWait)
	if wait < MinWait {
		wait = 0
	}
	l.demand.observe(now, a.Priority, wait)
	if l.admits(now, s, wait) {
		l.demand.accept(wait)
		return Decision{Granted: true}
	}
	if now.Sub(l.shortAt) > excessTimeout {
		l.busySince = now
	}
	l.shortAt = now
	forecast := l.forecast(s, a.Priority, wait)
	limit := min(wait, l.demand.commonWait())
	if busy := now.Sub(l.busySince); busy > lastingExcess {
		limit = time.Duration(float64(limit) * float64(lastingExcess) / float64(busy))
	}
	if wait == 0 || !s.Room || len(l.places) >= maxPlaces || forecast > time.Duration(forecastMargin*float64(limit)) {
		if len(l.places) > 0 {
			// Claims of those ahead that come too early are repeated.
			forecast = min(forecast+forecast/20+minRepeat, maxAfter)
		}
		return Decision{After: forecast}
	}
	l.demand.accept(wait)
	p := place{number: number, priority: a.Priority, wait: wait, latest: now.Add(wait)}
	i, _ := slices.BinarySearchFunc(l.places, p, func(a, b place) int {
		if a.priority < b.priority || a.priority == b.priority && !a.latest.After(b.latest) {
			return -1
		}
		return 1
	})
	after := l.until(s, float64(i), l.rate(s))
	p.turn = now.Add(after)
	l.places = slices.Insert(l.places, i, p)
	return Decision{Place: number, After: after}
}

// find returns the index of a place, or -1.
func (l *Line) find(number uint64) int {
	if number == 0 {
		return -1
	}
	return slices.IndexFunc(l.places, func(p place) bool { return p.number == number })
}

// claim decides on the claim of the place with index i. It returns false, and has removed the place, if the request has
// no time left: it then competes as one that cannot wait.
func (l *Line) claim(now time.Time, s Supply, i int) (Decision, bool) {
	p := l.places[i]
	if now.After(p.latest) {
		l.places = slices.Delete(l.places, i, i+1)
		l.demand.refuse(p.wait)
		return Decision{}, false
	}
	if s.Tokens-float64(due(l.places[:i], now)) >= 1 {
		l.places = slices.Delete(l.places, i, i+1)
		return Decision{Granted: true}, true
	}
	after := max(l.until(s, float64(i), l.rate(s)), minRepeat)
	if now.Add(after).After(p.latest) {
		l.places = slices.Delete(l.places, i, i+1)
		l.demand.refuse(p.wait)
		return Decision{After: after}, true
	}
	l.places[i].turn = now.Add(after)
	return Decision{Place: p.number, After: after}, true
}

// admits reports whether a new request gets a token at once: one that no waiting request is about to claim, or, if it
// cannot wait, one for each that those which can wait get.
func (l *Line) admits(now time.Time, s Supply, wait time.Duration) bool {
	return s.Tokens >= 1 && (s.Tokens-float64(due(l.places, now)) >= 1 || l.demand.isBehind(wait))
}

// due returns the number of places whose turn has come.
func due(places []place, now time.Time) int {
	n := 0
	for _, p := range places {
		if !p.turn.After(now) {
			n++
		}
	}
	return n
}

// rate returns the tokens per second that requests which wait get.
func (l *Line) rate(s Supply) float64 { return s.Rate * l.demand.waitingPart() }

// forecast returns the time until a new request of a priority gets a token at the end of the line. Requests of higher
// priority that come meanwhile go ahead of it. One that cannot wait gets the next token if nobody else does.
func (l *Line) forecast(s Supply, priority int, wait time.Duration) time.Duration {
	const leastPart = 0.05 // Of the rate, for a priority that others leave nothing to.
	ahead, _ := slices.BinarySearchFunc(l.places, priority, func(p place, priority int) int {
		if p.priority <= priority {
			return -1
		}
		return 1
	})
	rate := l.rate(s)
	if wait == 0 && len(l.places) == 0 {
		rate = s.Rate
	}
	return l.until(s, float64(ahead), max(rate-l.demand.rateAbove(priority), leastPart*rate))
}

// until returns the time until there is a token for a request with others ahead of it.
func (l *Line) until(s Supply, ahead, rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	missing := max(ahead+1-s.Tokens, 0)
	if missing/rate >= maxAfter.Seconds() {
		return maxAfter
	}
	// Rounds up: a claim at a level just below one would be in vain.
	return max(time.Duration(missing/rate*float64(time.Second))+time.Microsecond, time.Millisecond)
}
