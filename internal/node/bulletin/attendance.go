package bulletin

import (
	"net/netip"
	"time"
)

// attendance is when a super-peer heard the nodes of its data centre last. Its zero value
// expects nobody.
type attendance struct {
	last map[netip.AddrPort]time.Time
}

// heard notes that a node exchanged bulletins.
func (t *attendance) heard(now time.Time, a netip.AddrPort) {
	if _, ok := t.last[a]; ok {
		t.last[a] = now
	}
}

// silent expects some nodes from now on, and returns those that have not been heard
// for longer than a limit since they were expected.
func (t *attendance) silent(now time.Time, nodes []netip.AddrPort, limit time.Duration) []netip.AddrPort {
	last := make(map[netip.AddrPort]time.Time, len(nodes))
	var list []netip.AddrPort
	for _, a := range nodes {
		at, ok := t.last[a]
		if !ok {
			at = now
		}
		last[a] = at
		if now.Sub(at) > limit {
			list = append(list, a)
		}
	}
	t.last = last
	return list
}
