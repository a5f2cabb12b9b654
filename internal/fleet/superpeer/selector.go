// Package superpeer chooses the super-peer of a data centre: the node through which its
// other nodes exchange state with the rest of the fleet.
package superpeer

import (
	"net/netip"
	"sync"
	"time"
)

// unresponsivePause is the time for which a node that did not answer is skipped.
const unresponsivePause = 3 * time.Second

// Selector selects super-peers and skips nodes that recently did not answer. The zero
// value is ready for use. It is safe for concurrent use.
type Selector struct {
	mu        sync.Mutex
	skipUntil map[netip.AddrPort]time.Time // Time until which a node is skipped.
}

// Choose returns the first node of the list that is self or is not skipped, or the
// fallback if there is none. Nodes that have the same list and can reach the same
// nodes make the same choice.
func (s *Selector) Choose(now time.Time, list []netip.AddrPort, self, fallback netip.AddrPort) netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range list {
		if a == self || !now.Before(s.skipUntil[a]) {
			return a
		}
	}
	return fallback
}

// MarkUnresponsive records that a node did not answer at now.
func (s *Selector) MarkUnresponsive(now time.Time, a netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.skipUntil == nil {
		s.skipUntil = make(map[netip.AddrPort]time.Time)
	}
	s.skipUntil[a] = now.Add(unresponsivePause)
}
