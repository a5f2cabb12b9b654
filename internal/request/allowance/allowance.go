// Package allowance bounds how often a node sends requests of one service to a
// second backend server, so that all nodes together keep to the budget of the
// service.
package allowance

import "time"

// Terms are the bounds that all nodes together keep for a service.
type Terms struct {
	Ratio   float64       // Repeats for each request.
	Reserve float64       // Repeats in a window beyond the ratio.
	Window  time.Duration // Length of the window that both count in.
	Nodes   int           // Nodes that share the reserve.

	// Pooled is the part of the reserve, from 0 to 1, that is not divided among the
	// nodes but kept for those that need more than their own.
	Pooled float64

	// Rounding is added to this node's part before it is rounded down, from 0 to 1.
	// Spread evenly over the nodes, it lets all of them together use the whole.
	Rounding float64
}

// Pool returns the terms on which the pooled part is granted by a node that has kept it
// for some time.
func (t Terms) Pool(age time.Duration) Terms {
	pool := Terms{Reserve: t.Pooled * t.Reserve, Window: t.Window}
	if age < t.Window {
		pool.Reserve *= newPool
	}
	return pool
}

const (
	// kept is the part of the bounds that is used; the rest covers nodes that
	// disagree on how many they are, and windows that end between two nodes'.
	kept = 0.85

	// slices is the number of parts of a window that are counted apart.
	slices = 50

	// newPool is the part of a pool that a new keeper grants in its first window: the
	// one before it may have granted the rest just now.
	newPool = 0.3
)

// Allowance is that of one node for one service. Its zero value has seen no
// request. It is not safe for use by several goroutines at once.
//
// Each node keeps its own requests and its part of the reserve to the bounds in
// every window that ends with a repeat. The sum over all nodes then keeps to them
// as well.
type Allowance struct {
	counts  [slices]count
	current int64 // Number of the slice that counts now.
}

// count is what a slice of time saw.
type count struct {
	requests int
	repeats  float64
}

// Request notes a request that is sent for the first time. Repeat is how likely it is
// a call of a request that is itself a repeat, which counts against the budget and
// cannot be refused for it.
func (a *Allowance) Request(now time.Time, t Terms, repeat float64) {
	c := a.advance(now, t)
	c.requests++
	c.repeats += repeat
}

// Repeat reports whether a request may be sent to another backend server, and
// counts it if so.
func (a *Allowance) Repeat(now time.Time, t Terms) bool {
	c := a.advance(now, t)
	var sum count
	for _, s := range a.counts {
		sum.requests += s.requests
		sum.repeats += s.repeats
	}
	most := kept * (t.Ratio*float64(sum.requests) + (1-t.Pooled)*t.Reserve/float64(max(t.Nodes, 1)))
	if t.Pooled == 0 {
		// A node has room for at least one, or it could never repeat a request while
		// the reserve is small.
		most = max(most, 1)
	}
	if sum.repeats+1 > most+t.Rounding {
		return false
	}
	c.repeats++
	return true
}

// advance empties the slices that have left the window and returns the present
// one.
func (a *Allowance) advance(now time.Time, t Terms) *count {
	length := max(t.Window/slices, time.Millisecond)
	number := now.UnixNano() / int64(length)
	for n := max(a.current+1, number-slices+1); n <= number; n++ {
		a.counts[n%slices] = count{}
	}
	a.current = max(a.current, number)
	return &a.counts[a.current%slices]
}
