// Package scout chooses the node of a data centre that the others consult.
package scout

import (
	"net/netip"
	"sync"
	"time"
)

// silentPause is the time for which a node that did not answer is passed over.
const silentPause = 3 * time.Second

// Scout remembers which nodes did not answer. Its zero value knows of none. It is
// safe for use by several goroutines at once.
type Scout struct {
	mu     sync.Mutex
	silent map[netip.AddrPort]time.Time // Until when nodes are passed over.
}

// Choose returns the first node of a list that is self or is not passed over, or
// else the fallback. Nodes that have the same list and reach the same nodes
// choose alike.
func (s *Scout) Choose(now time.Time, list []netip.AddrPort, self, fallback netip.AddrPort) netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range list {
		if a == self || !now.Before(s.silent[a]) {
			return a
		}
	}
	return fallback
}

// Silent notes that a node did not answer.
func (s *Scout) Silent(now time.Time, a netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == nil {
		s.silent = make(map[netip.AddrPort]time.Time)
	}
	s.silent[a] = now.Add(silentPause)
}
