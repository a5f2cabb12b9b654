// Package cooldown keeps nodes that did not answer from being asked again for a short time.
package cooldown

import (
	"net/netip"
	"sync"
	"time"
)

// Duration is the time for which a node is not asked after it did not answer.
const Duration = time.Second

// Tracker holds the nodes that are not to be asked for now. Its zero value holds none. It is
// safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	until map[netip.AddrPort]time.Time
}

// Active reports whether a node is not to be asked yet.
func (t *Tracker) Active(now time.Time, a netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.until[a])
}

// MarkUnresponsive records that a node did not answer, and removes the nodes whose pause has ended.
func (t *Tracker) MarkUnresponsive(now time.Time, a netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.until == nil {
		t.until = make(map[netip.AddrPort]time.Time)
	}
	for other, until := range t.until {
		if !now.Before(until) {
			delete(t.until, other)
		}
	}
	t.until[a] = now.Add(Duration)
}
