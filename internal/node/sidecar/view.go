package sidecar

import (
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/contact"
	"filbertturn.example/filbertturn/internal/node/gossip"
)

// view returns what this node has heard of the others lately. Until it has heard of a node, it
// takes the start of its own process for the last time. A node that leaves ends without notice.
func (c *Sidecar) view(now time.Time) contact.View {
	sinceStart := now.Sub(c.startedAt)
	ages := make(map[netip.AddrPort]time.Duration)
	for _, l := range c.dispatcher.Loads(now, "", sinceStart) {
		ages[l.Address] = l.Age
	}
	nodes := c.discovery.Nodes("")
	v := contact.View{Interval: gossip.Interval(len(nodes)), Silence: sinceStart}
	for _, p := range nodes {
		if p.Leaving || p.Address == c.settings.PeerAddress {
			continue
		}
		age, ok := ages[p.Address]
		if !ok {
			age = sinceStart
		}
		v.Silence = min(v.Silence, age)
		if p.DataCentre == c.settings.DataCentre {
			v.Near = append(v.Near, age)
		} else {
			v.Far = append(v.Far, age)
		}
	}
	return v
}
