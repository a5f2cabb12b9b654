package booking

import (
	"time"

	"filbertturn.example/filbertturn/internal/request/order"
)

// unusedLimit is the longest time without a request that is told.
const unusedLimit = 10 * time.Second

// Load is what other nodes are told of a desk.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Failing float64       // Likelihood that the next request fails, 0 to 1.
	Serving bool          // It takes requests.
	Hold    time.Duration // Mean time that a request holds its slot; zero if unknown.
	Unused  time.Duration // Time since a request began.
	Trial   bool          // It is suspected and wants a request that may try it.
}

// Accepts tells whether a desk with this load lets a request begin or wait, which may
// try a suspected backend server or not.
func (l Load) Accepts(level order.Level, mayTry bool) bool {
	switch {
	case !l.Serving:
		return false
	case level == order.Trusted && l.Failing >= maxTrusted:
		return mayTry && l.Trial
	case level == order.Trusted:
		return l.Waiting == 0 && l.Running < l.Slots
	case level == order.Queued:
		return l.Failing < maxQueued
	}
	return true
}
