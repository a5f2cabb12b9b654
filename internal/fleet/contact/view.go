// Package contact tells with how much of the fleet a node is in contact. A node that is cut off, alone or with others,
// cannot know what the rest of the fleet does without it. It answers the load of a fleet that falls into parts.
package contact

import "time"

// A report of a node travels to the super-peer of its data centre, from there to the one of another data centre, and on to
// the nodes there. Super-peers of different data centres exchange reports every second interval.
const (
	nearIntervals = 3 // Two exchanges, and a lost one.
	farIntervals  = 5 // Four, and a lost one.

	// silentIntervals is the number of intervals without a message of any other node after which a node is taken for
	// isolated: it exchanges reports at least once in an interval.
	silentIntervals = 1.5
)

// View is what a node has heard of the others. The zero value is that of a fleet of one node.
type View struct {
	Interval time.Duration   // Between two exchanges of a node with its super-peer.
	Silence  time.Duration   // Time since the last message of any other node.
	Near     []time.Duration // Ages of the latest reports of the other nodes of the data centre.
	Far      []time.Duration // The same of the nodes of other data centres.
}

// Share returns the part of the fleet's nodes that this node is in contact with, itself included: more than 0, and 1 for
// the whole fleet.
func (v View) Share() float64 {
	nodes := 1 + len(v.Near) + len(v.Far)
	reached := 1
	if v.Silence <= time.Duration(silentIntervals*float64(v.Interval)) {
		reached += recent(v.Near, nearIntervals*v.Interval) + recent(v.Far, farIntervals*v.Interval)
	}
	return float64(reached) / float64(nodes)
}

// recent returns the number of ages up to a limit.
func recent(ages []time.Duration, limit time.Duration) int {
	n := 0
	for _, age := range ages {
		if age <= limit {
			n++
		}
	}
	return n
}
