// Package overload decides which part of the requests a backend server is better
// not sent because a service that it calls has no room. A request whose calls are
// refused has cost its own slot and the calls that went before, for nothing.
package overload

import (
	"math"
	"time"
)

const (
	// weight is that of the newest call in the part of calls that are refused.
	weight = 0.08

	// halfLife is the time in which that part halves while no call ends, so that
	// requests are let in again.
	halfLife = 2 * time.Second

	// tolerated is the part of calls that may be refused before any request is: a
	// short burst passes.
	tolerated = 0.1

	// gain is the part of requests to refuse for each further part of calls. A
	// request makes several calls and needs all of them.
	gain = 2.0

	// most bounds it. Some requests must go on to show how calls do.
	most = 0.75
)

// Gauge is that of one backend server. Its zero value refuses nothing. It is not
// safe for use by several goroutines at once.
type Gauge struct {
	refused float64 // Part of the calls that were refused.
	at      time.Time
	debt    float64 // Requests to refuse.
}

// CallEnded notes the end of a call that the backend server made, and whether it
// was refused for want of room.
func (g *Gauge) CallEnded(now time.Time, refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	g.refused, g.at = g.value(now)+weight*(sample-g.value(now)), now
}

func (g *Gauge) value(now time.Time) float64 {
	return g.refused * math.Exp2(-max(now.Sub(g.at), 0).Seconds()/halfLife.Seconds())
}

// Refuse tells whether to refuse the next request, which would be let in
// otherwise.
func (g *Gauge) Refuse(now time.Time) bool {
	part := min(gain*(g.value(now)-tolerated), most)
	if part <= 0 {
		g.debt = 0
		return false
	}
	g.debt += part
	if g.debt < 1 {
		return false
	}
	g.debt--
	return true
}
