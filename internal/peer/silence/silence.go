// Package silence remembers nodes that did not answer, so that they are not asked again
// at once.
package silence

import (
	"net/netip"
	"sync"
	"time"
)

// Pause is the time for which a node that did not answer is not asked.
const Pause = time.Second

// Silence is what a node knows of others. Its zero value knows none that is silent.
type Silence struct {
	mu    sync.Mutex
	until map[netip.AddrPort]time.Time
}

// Holds reports whether a node is not to be asked.
func (s *Silence) Holds(now time.Time, a netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[a])
}

// Note takes in that a node did not answer.
func (s *Silence) Note(now time.Time, a netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[netip.AddrPort]time.Time)
	}
	for other, until := range s.until {
		if !now.Before(until) {
			delete(s.until, other)
		}
	}
	s.until[a] = now.Add(Pause)
}
