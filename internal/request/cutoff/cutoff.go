// Package cutoff decides until when requests may begin at a node that stops.
package cutoff

import (
	"time"

	"filbertturn.example/filbertturn/internal/request/order"
)

// minRunFraction is the fraction of its latency objective that a request needs for its run at least.
const minRunFraction = 0.5

// Cutoff is the stop of a node. The zero value is that of a node that goes on.
type Cutoff struct {
	Noticed time.Time // When callers know that the node stops.
	End     time.Time // When the process is killed.
}

// IsZero reports whether the node goes on.
func (c Cutoff) IsZero() bool {
	return c.End.IsZero()
}

// LatestStart returns the time until which a request that was received at a time may begin, so that
// it ends before the process is killed. Runs of its route lately took usual; zero if that is unknown.
// A call comes from the backend server beside the node, which sends its calls to no other node.
func (c Cutoff) LatestStart(o *order.Order, received time.Time, usual time.Duration, call bool) time.Time {
	run := time.Duration(minRunFraction * float64(o.Objective))
	if !o.Deadline.After(c.End) {
		return c.End.Add(-run)
	}
	if !call && received.After(c.Noticed) {
		return received
	}
	return c.End.Add(-max(run, usual))
}
