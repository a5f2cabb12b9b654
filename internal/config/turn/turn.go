// Package turn bounds the number of peers that a node serves its configuration to at the same time.
// Those that are served go on to serve the others, which is sooner for all than a link that is shared by
// all of them.
package turn

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// lifetime is the time after its last request for which a peer keeps its turn. A peer asks for the
	// next pieces as soon as it has those before.
	lifetime = 200 * time.Millisecond

	// maxServed is the number of peers that others are referred to.
	maxServed = 8

	defaultLimit = 8
)

// Turns bounds the peers that have a turn. The zero value has a limit of eight. It is safe for concurrent use.
type Turns struct {
	Limit int // Number of peers that are served at the same time; zero means eight.

	mu     sync.Mutex
	active map[netip.AddrPort]time.Time // Last request of each peer that has a turn.
	served []netip.AddrPort             // Peers whose turn has ended, the latest ones last.
}

// Take reports whether a peer that asks at now is served. A peer that has a turn keeps it. Otherwise it returns
// peers that were served a short while ago.
func (t *Turns) Take(now time.Time, asker netip.AddrPort) (others []netip.AddrPort, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endIdle(now)
	limit := t.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	if _, hasTurn := t.active[asker]; !hasTurn && len(t.active) >= limit {
		return slices.Clone(t.served), false
	}
	if t.active == nil {
		t.active = make(map[netip.AddrPort]time.Time)
	}
	t.active[asker] = now
	return nil, true
}

// endIdle ends the turns of peers that ask no more. t.mu must be held.
func (t *Turns) endIdle(now time.Time) {
	for a, last := range t.active {
		if now.Sub(last) >= lifetime {
			t.end(a)
		}
	}
}

// End ends the turn of a peer that has all that it needs.
func (t *Turns) End(asker netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.active[asker]; ok {
		t.end(asker)
	}
}

// end ends the turn of a peer that has one. t.mu must be held.
func (t *Turns) end(a netip.AddrPort) {
	delete(t.active, a)
	t.served = slices.DeleteFunc(t.served, func(b netip.AddrPort) bool { return a == b })
	t.served = append(t.served, a)
	t.served = t.served[max(len(t.served)-maxServed, 0):]
}
