package gossip

import (
	"net/netip"
	"time"
)

// detector is the failure detector of a super-peer for the nodes of its data centre.
// It records when each of them last exchanged state with the super-peer. The zero
// value watches no node.
type detector struct {
	lastExchange map[netip.AddrPort]time.Time
}

// observe records an exchange with a node. It ignores nodes that are not watched.
func (d *detector) observe(now time.Time, a netip.AddrPort) {
	if _, ok := d.lastExchange[a]; ok {
		d.lastExchange[a] = now
	}
}

// silent replaces the set of watched nodes, and returns those of them whose last
// exchange is longer ago than limit. A node that was not watched before counts as
// having exchanged now.
func (d *detector) silent(now time.Time, nodes []netip.AddrPort, limit time.Duration) []netip.AddrPort {
	last := make(map[netip.AddrPort]time.Time, len(nodes))
	var list []netip.AddrPort
	for _, a := range nodes {
		at, ok := d.lastExchange[a]
		if !ok {
			at = now
		}
		last[a] = at
		if now.Sub(at) > limit {
			list = append(list, a)
		}
	}
	d.lastExchange = last
	return list
}
