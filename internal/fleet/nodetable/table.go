// Package nodetable holds the table of the fleet's nodes as one node knows it: which
// nodes exist, in which order those of a data centre are contacted, and which were
// removed. A node is removed when complete lists have lacked it for a timeout. A node
// that merely does not answer is kept, since it may be partitioned from this one.
package nodetable

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Source is the origin of a complete list of nodes.
type Source int

// The sources of lists.
const (
	StoreList Source = iota // Read from the records in the store.
	PeerList                // Received from a peer, which has applied storeTimeout to the records it read.
)

const (
	// storeTimeout is the time for which the store must have lacked a node's record
	// before the node is removed. A record that expired during an outage of the store
	// is written again when its node renews its lease, which takes at most 4 s plus a
	// call of 1.5 s.
	storeTimeout = 6 * time.Second

	// peerTimeout is the same for lists of peers. A node that has just joined is in
	// them within three exchanges.
	peerTimeout = 3 * time.Second
)

// removalTimeout returns the time for which lists of the source must lack a node
// before it is removed.
func (s Source) removalTimeout() time.Duration {
	if s == PeerList {
		return peerTimeout
	}
	return storeTimeout
}

// tombstoneLifetime is the time for which indirect reports do not restore a removed
// node: other nodes may not have removed it yet.
const tombstoneLifetime = 30 * time.Second

const (
	// One in nodesPerHome nodes of a data centre is a home of customers' limits, but
	// at least minHomes are. More homes cost each node more sessions; fewer homes
	// cost each home more requests.
	nodesPerHome = 16
	minHomes     = 3
)

// Table is the table of nodes that one node knows. The zero value is an empty table.
// It is not safe for concurrent use.
type Table struct {
	nodes      map[netip.AddrPort]*entry
	tombstones map[netip.AddrPort]tombstone

	// Cached results of ActiveByDataCentre and Homes, which every request reads. Nil after
	// a change.
	active map[string][]netip.AddrPort
	homes  []netip.AddrPort
}

// entry is a node of the table.
type entry struct {
	presence     Presence
	missingSince time.Time // Time of the first of the consecutive complete lists that lacked the node; zero if the latest had it.
}

// tombstone records that an incarnation of a node was removed.
type tombstone struct {
	incarnation uint64
	removed     time.Time
}

// AddRecord applies a node's record from the store, which is ignored unless its
// incarnation is newer than the known one. It reports whether it was applied.
func (c *Table) AddRecord(r Record) bool {
	if old := c.nodes[r.Address]; old != nil && r.Incarnation <= old.presence.Incarnation {
		return false
	}
	c.put(Presence{Record: r})
	return true
}

// ApplyDirect applies the state that a node reported itself, and reports whether it
// replaced the known state. It restarts the removal timeout of the node, whatever
// the lists say.
func (c *Table) ApplyDirect(p Presence) bool {
	if old := c.nodes[p.Address]; old != nil && !p.supersedes(old.presence) {
		return false
	}
	c.put(p)
	return true
}

// ApplyIndirect applies the state of a node as another node relayed it, and reports whether
// the incarnation is new. It does not restore an incarnation that was removed less
// than tombstoneLifetime ago.
func (c *Table) ApplyIndirect(now time.Time, p Presence) bool {
	if g, ok := c.tombstones[p.Address]; ok && g.incarnation == p.Incarnation && now.Sub(g.removed) < tombstoneLifetime {
		return false
	}
	old := c.nodes[p.Address]
	switch {
	case old == nil:
	case !p.supersedes(old.presence):
		return false
	case old.presence.Incarnation == p.Incarnation:
		if old.presence.Leaving != p.Leaving {
			c.active, c.homes = nil, nil
		}
		old.presence.Sequence, old.presence.Leaving = p.Sequence, p.Leaving
		return false
	}
	c.put(p)
	return true
}

func (c *Table) put(p Presence) {
	c.active, c.homes = nil, nil
	if c.nodes == nil {
		c.nodes = make(map[netip.AddrPort]*entry)
	}
	c.nodes[p.Address] = &entry{presence: p}
	delete(c.tombstones, p.Address)
}

// ApplyList applies a complete list of the nodes of a data centre, or of the fleet if
// dataCentre is empty. It removes the nodes that lists have lacked for the removal
// timeout of the source, and returns them.
func (c *Table) ApplyList(now time.Time, from Source, dataCentre string, listed map[netip.AddrPort]bool) []netip.AddrPort {
	var gone []netip.AddrPort
	for a, m := range c.nodes {
		switch {
		case dataCentre != "" && m.presence.DataCentre != dataCentre:
		case listed[a]:
			m.missingSince = time.Time{}
		case m.missingSince.IsZero():
			m.missingSince = now
		case now.Sub(m.missingSince) >= from.removalTimeout():
			gone = append(gone, a)
			c.remove(now, m.presence)
		}
	}
	return gone
}

func (c *Table) remove(now time.Time, p Presence) {
	c.active, c.homes = nil, nil
	delete(c.nodes, p.Address)
	maps.DeleteFunc(c.tombstones, func(_ netip.AddrPort, d tombstone) bool { return now.Sub(d.removed) >= tombstoneLifetime })
	if c.tombstones == nil {
		c.tombstones = make(map[netip.AddrPort]tombstone)
	}
	c.tombstones[p.Address] = tombstone{incarnation: p.Incarnation, removed: now}
}

// Find returns the known state of a node, and false if it is not in the table.
func (c *Table) Find(a netip.AddrPort) (Presence, bool) {
	m := c.nodes[a]
	if m == nil {
		return Presence{}, false
	}
	return m.presence, true
}

// Len returns the number of nodes in the table.
func (c *Table) Len() int {
	return len(c.nodes)
}

// Nodes returns the nodes of a data centre, or of the fleet if dataCentre is empty,
// in no particular order.
func (c *Table) Nodes(dataCentre string) []Presence {
	list := make([]Presence, 0, len(c.nodes))
	for _, m := range c.nodes {
		if dataCentre == "" || m.presence.DataCentre == dataCentre {
			list = append(list, m.presence)
		}
	}
	return list
}

// ActiveByDataCentre returns the addresses of the nodes that are not leaving, by data
// centre. The order depends only on the nodes' records, so that nodes with the same
// table agree on it. The caller must not modify the result.
func (c *Table) ActiveByDataCentre() map[string][]netip.AddrPort {
	if c.active == nil {
		c.active = c.sortedAddresses(false)
	}
	return c.active
}

// sortedAddresses returns the addresses of the nodes by data centre, those of the
// highest capacity first.
func (c *Table) sortedAddresses(includeLeaving bool) map[string][]netip.AddrPort {
	records := make(map[string][]Record)
	for _, m := range c.nodes {
		if p := m.presence; includeLeaving || !p.Leaving {
			records[p.DataCentre] = append(records[p.DataCentre], p.Record)
		}
	}
	lists := make(map[string][]netip.AddrPort, len(records))
	for dc, list := range records {
		slices.SortFunc(list, compare)
		for _, r := range list {
			lists[dc] = append(lists[dc], r.Address)
		}
	}
	return lists
}

// Homes returns the nodes that are homes of customers' limits, sorted by address:
// those of the highest capacity in each data centre. A leaving node is included until
// it is removed, since two homes of one customer at the same time would admit more
// than its limit. The caller must not modify the result.
func (c *Table) Homes() []netip.AddrPort {
	if c.homes == nil {
		c.homes = c.chooseHomes()
	}
	return c.homes
}

func (c *Table) chooseHomes() []netip.AddrPort {
	var homes []netip.AddrPort
	lists := c.sortedAddresses(true)
	for _, dc := range slices.Sorted(maps.Keys(lists)) {
		list := lists[dc]
		homes = append(homes, list[:min(max(len(list)/nodesPerHome, minHomes), len(list))]...)
	}
	slices.SortFunc(homes, netip.AddrPort.Compare)
	return homes
}
