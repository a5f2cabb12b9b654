// Package overload sheds a fraction of the requests of a backend server while a service
// that it calls is overloaded. A request whose calls are refused has wasted its own slot
// and the calls before. A call is a request that the backend server sends to another
// service.
package overload

import (
	"math"
	"time"
)

const (
	// smoothingFactor is the weight of the newest call in the moving average of
	// refused calls.
	smoothingFactor = 0.08

	// halfLife is the half-life of that average while no call ends, so that requests
	// are accepted again.
	halfLife = 2 * time.Second

	// toleratedFraction is the fraction of refused calls up to which no request is shed,
	// so that a short burst of refusals has no effect.
	toleratedFraction = 0.1

	// gain is the ratio of the fraction of requests to shed to the fraction of refused
	// calls above toleratedFraction. It is more than one because a request makes several calls
	// and needs all of them.
	gain = 2.0

	// maxShedFraction is the greatest fraction of requests to shed. The others are needed
	// to observe whether calls succeed again.
	maxShedFraction = 0.75
)

// Shedder is the load shedder of one backend server. Its zero value sheds nothing. It is
// not safe for concurrent use.
type Shedder struct {
	refusedFraction float64   // Moving average of the fraction of refused calls, at updatedAt.
	updatedAt       time.Time // Time at which the last call ended.
	pendingSheds    float64   // Requests still to shed; a request is shed once it reaches one.
}

// Observe records the end of a call by the backend server, and whether it was refused
// because the called service had no capacity.
func (s *Shedder) Observe(now time.Time, refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	s.refusedFraction, s.updatedAt = s.decayedFraction(now)+smoothingFactor*(sample-s.decayedFraction(now)), now
}

// decayedFraction returns the fraction of refused calls after its decay until now.
func (s *Shedder) decayedFraction(now time.Time) float64 {
	return s.refusedFraction * math.Exp2(-max(now.Sub(s.updatedAt), 0).Seconds()/halfLife.Seconds())
}

// ShouldShed reports whether to shed the next request. It must be called once for each
// request that would otherwise be accepted, as it counts them.
func (s *Shedder) ShouldShed(now time.Time) bool {
	fraction := min(gain*(s.decayedFraction(now)-toleratedFraction), maxShedFraction)
	if fraction <= 0 {
		s.pendingSheds = 0
		return false
	}
	s.pendingSheds += fraction
	if s.pendingSheds < 1 {
		return false
	}
	s.pendingSheds--
	return true
}
