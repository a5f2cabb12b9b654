// Package discovery finds the other nodes of the fleet. A node writes a record of itself
// to the key-value store, reads the records of the others, and introduces itself to the
// super-peers of its data centre. From then on nodes announce their changes to their
// super-peers, and all nodes learn of them by gossip, so that no node has to contact all
// others.
package discovery

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/node/kvstore"
	"filbertturn.example/filbertturn/internal/node/leftout"
	"filbertturn.example/filbertturn/internal/peer/link"
)

// superPeerCount is the number of nodes of each data centre that changes are announced
// to: the super-peer, and the node that takes over if it fails.
const superPeerCount = 2

// Discovery keeps the table of the fleet's nodes up to date. The exported fields must be
// set before Start.
type Discovery struct {
	Self  nodetable.Record
	Store kvstore.Store
	Mesh  *link.Mesh
	Load  func(now time.Time) scheduler.Load // Load of this node's backend server.
	Log   zerolog.Logger

	LeftOut *leftout.Reporter // Of records and introductions that cannot be used; nil for none.

	// IsSuperPeer reports whether this node is the super-peer of its data centre, as far as
	// it knows.
	IsSuperPeer func() bool

	// OnNodeAdded is called with the record of a node that is new or was restarted,
	// OnPresence with the state that a node reported itself, and OnNodeRemoved with the
	// address of a node that was removed from the table.
	OnNodeAdded   func(r nodetable.Record)
	OnPresence    func(now time.Time, p nodetable.Presence, l scheduler.Load)
	OnNodeRemoved func(a netip.AddrPort)

	sequence atomic.Uint64
	leaving  atomic.Bool
	joined   atomic.Bool

	mu          sync.Mutex // Guards the fields below.
	table       nodetable.Table
	lease       kvstore.Lease               // Lease of this node's record; zero before the first.
	lastRead    time.Time                   // Time of the last read of all records.
	lastRecheck time.Time                   // Time of the last read because a node was silent.
	suspects    map[netip.AddrPort]*suspect // Silent nodes of the data centre; used by its super-peer.
}

// Joined reports whether this node has read the records of the other nodes, or has learnt
// of some of them from peers while the store was unavailable.
func (d *Discovery) Joined() bool {
	return d.joined.Load()
}

// NodeCount returns the number of nodes in the fleet, including this one.
func (d *Discovery) NodeCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tableWithSelf().Len()
}

// Homes returns the addresses of the nodes that are homes of customers' limits.
func (d *Discovery) Homes() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tableWithSelf().Homes()
}

// Neighbours returns the addresses of the nodes of this data centre, including this node,
// in the same order on every node.
func (d *Discovery) Neighbours() []netip.AddrPort {
	return d.ActiveByDataCentre()[d.Self.DataCentre]
}

// ActiveByDataCentre returns the addresses of the active nodes by data centre, in the same
// order on every node. Nodes that are leaving are left out, except this one.
func (d *Discovery) ActiveByDataCentre() map[string][]netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tableWithSelf().ActiveByDataCentre()
}

// Nodes returns the known states of the nodes of a data centre, including this node, or
// of all nodes if dataCentre is empty.
func (d *Discovery) Nodes(dataCentre string) []nodetable.Presence {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.tableWithSelf().Nodes(dataCentre)
	for i := range list {
		if list[i].Address == d.Self.Address {
			list[i] = d.self()
		}
	}
	return list
}

// tableWithSelf returns the node table, after adding this node if it lacks it. The caller
// must hold d.mu.
func (d *Discovery) tableWithSelf() *nodetable.Table {
	if _, ok := d.table.Find(d.Self.Address); !ok {
		d.table.ApplyDirect(nodetable.Presence{Record: d.Self})
	}
	return &d.table
}

// self returns the state that this node reports of itself.
func (d *Discovery) self() nodetable.Presence {
	return nodetable.Presence{Record: d.Self, Sequence: d.sequence.Load(), Leaving: d.leaving.Load()}
}

// MergeNodes merges the states of nodes that another node relayed by gossip.
func (d *Discovery) MergeNodes(now time.Time, list []nodetable.Presence) {
	d.merge(list, func(p nodetable.Presence) bool { return d.table.ApplyIndirect(now, p) })
}

// merge applies the states of other nodes one by one. The function apply reports whether
// the incarnation is new.
func (d *Discovery) merge(list []nodetable.Presence, apply func(nodetable.Presence) bool) {
	var added []nodetable.Record
	d.mu.Lock()
	for _, p := range list {
		if p.Address != d.Self.Address && apply(p) {
			added = append(added, p.Record)
		}
	}
	d.mu.Unlock()
	for _, r := range added {
		d.OnNodeAdded(r)
	}
}

// ApplyList applies a complete list of the nodes of a data centre, or of the fleet if
// dataCentre is empty. It removes the nodes that have been missing from such lists for
// the removal timeout of the source.
func (d *Discovery) ApplyList(now time.Time, from nodetable.Source, dataCentre string, list []netip.AddrPort) {
	listed := map[netip.AddrPort]bool{d.Self.Address: true}
	for _, a := range list {
		listed[a] = true
	}
	d.mu.Lock()
	gone := d.tableWithSelf().ApplyList(now, from, dataCentre, listed)
	for _, a := range gone {
		delete(d.suspects, a)
	}
	d.mu.Unlock()
	for _, a := range gone {
		d.Log.Info().Stringer("Address", a).Msg("node removed")
		d.OnNodeRemoved(a)
	}
}

// HasCompleteView reports whether the records in the store were read recently, so that the node
// table is complete.
func (d *Discovery) HasCompleteView(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.lastRead.IsZero() && now.Sub(d.lastRead) < viewLifetime
}

// addresses returns the addresses of nodes.
func addresses(list []nodetable.Presence) []netip.AddrPort {
	all := make([]netip.AddrPort, len(list))
	for i, p := range list {
		all[i] = p.Address
	}
	return all
}

// announceTargets returns the nodes to which changes of this node are announced: the
// super-peers of its data centre, or if it is one of them, all nodes of the data centre
// and the super-peers of the others.
func (d *Discovery) announceTargets() []netip.AddrPort {
	lists := d.ActiveByDataCentre()
	own := lists[d.Self.DataCentre]
	var list []netip.AddrPort
	isSuperPeer := false
	for _, a := range own[:min(superPeerCount, len(own))] {
		isSuperPeer = isSuperPeer || a == d.Self.Address
	}
	for dc, nodes := range lists {
		switch {
		case dc == d.Self.DataCentre && isSuperPeer:
			list = append(list, nodes...)
		case dc == d.Self.DataCentre || isSuperPeer:
			list = append(list, nodes[:min(superPeerCount, len(nodes))]...)
		}
	}
	others := list[:0]
	for _, a := range list {
		if a != d.Self.Address {
			others = append(others, a)
		}
	}
	return others
}

// Leave announces that this node stops, so that others take over what it does for the fleet. It may
// still take requests.
func (d *Discovery) Leave(ctx context.Context) {
	d.leaving.Store(true)
	d.Announce(ctx)
}
