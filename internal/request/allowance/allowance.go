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
}

const (
	// kept is the part of the bounds that is used; the rest covers nodes that
	// disagree on how many they are.
	kept = 0.85

	// atOnce is the part of a node's reserve that it may use in an instant; the
	// rest refills over a window.
	atOnce = 0.6
)

// Allowance is that of one node for one service. Its zero value is full. It is
// not safe for use by several goroutines at once.
type Allowance struct {
	tokens float64
	at     time.Time
}

// Request notes a request that is sent for the first time.
func (a *Allowance) Request(now time.Time, t Terms) {
	a.refill(now, t)
	a.tokens = min(a.tokens+kept*t.Ratio, a.most(t))
}

// Repeat reports whether a request may be sent to another backend server, and
// counts it if so.
func (a *Allowance) Repeat(now time.Time, t Terms) bool {
	a.refill(now, t)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// most returns the greatest number of tokens. A node has room for at least one,
// or it could never repeat a request.
func (a *Allowance) most(t Terms) float64 {
	return max(kept*atOnce*t.Reserve/float64(max(t.Nodes, 1)), 1)
}

func (a *Allowance) refill(now time.Time, t Terms) {
	if a.at.IsZero() {
		a.at, a.tokens = now, a.most(t)
		return
	}
	elapsed := now.Sub(a.at)
	if elapsed <= 0 || t.Window <= 0 {
		return
	}
	a.at = now
	perWindow := kept * (1 - atOnce) * t.Reserve / float64(max(t.Nodes, 1))
	a.tokens = min(a.tokens+perWindow*elapsed.Seconds()/t.Window.Seconds(), a.most(t))
}
