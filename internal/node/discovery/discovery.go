// Package discovery finds the other nodes of the fleet. A node writes a record of
// itself to the depot, reads those of the others, and introduces itself to the
// first nodes of its data centre, its super-peers. From then on nodes tell their super-peers
// what changes, and all learn of one another through bulletins, so that no node
// talks to all others.
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
	"filbertturn.example/filbertturn/internal/node/depot"
	"filbertturn.example/filbertturn/internal/peer/link"
)

// superPeerCount is the number of nodes of each data centre that others introduce
// themselves to: the one that is consulted, and the next one if that is lost.
const superPeerCount = 2

// Discovery keeps the list of nodes.
type Discovery struct {
	Self  nodetable.Record
	Depot depot.Depot
	Mesh  *link.Mesh
	Load  func(now time.Time) scheduler.Load
	Log   zerolog.Logger

	// Leads tells whether the others of the data centre consult this node, as far as
	// it knows.
	Leads func() bool

	// Known is called with a node that is new or started again, Heard with what a
	// node said itself, and Lost when one is gone.
	Known func(r nodetable.Record)
	Heard func(now time.Time, p nodetable.Presence, l scheduler.Load)
	Lost  func(a netip.AddrPort)

	sequence atomic.Uint64
	leaving  atomic.Bool
	joined   atomic.Bool

	mu       sync.Mutex // Guards the fields below.
	table    nodetable.Table
	lease    int64
	reviewed time.Time // Time of the last read of all records.
	doubted  time.Time // Time of the last read for the sake of a node that is silent.
	returns  map[netip.AddrPort]*returning
}

// Joined reports whether the records of the other nodes were read.
func (d *Discovery) Joined() bool {
	return d.joined.Load()
}

// Nodes returns the number of nodes with this one.
func (d *Discovery) Nodes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.all().Len()
}

// Homes returns the addresses of the nodes that keep limits of customers.
func (d *Discovery) Homes() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.all().Homes()
}

// Neighbours returns the addresses of the nodes of the data centre with this one.
// All of them have the same order.
func (d *Discovery) Neighbours() []netip.AddrPort {
	return d.DataCentres()[d.Self.DataCentre]
}

// DataCentres returns the addresses of the nodes with this one by data centre, in
// an order that is the same everywhere. Nodes that leave are not among them, but for
// this one.
func (d *Discovery) DataCentres() map[string][]netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.all().ActiveByDataCentre()
}

// Members returns what is known of the nodes of a data centre with this one, or of
// all if it is empty.
func (d *Discovery) Members(dataCentre string) []nodetable.Presence {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.all().Nodes(dataCentre)
	for i := range list {
		if list[i].Address == d.Self.Address {
			list[i] = d.self()
		}
	}
	return list
}

// all returns the node table with this node. It is called with the lock.
func (d *Discovery) all() *nodetable.Table {
	if _, ok := d.table.Find(d.Self.Address); !ok {
		d.table.ApplyDirect(nodetable.Presence{Record: d.Self})
	}
	return &d.table
}

// self returns this node as it tells others.
func (d *Discovery) self() nodetable.Presence {
	return nodetable.Presence{Record: d.Self, Sequence: d.sequence.Load(), Leaving: d.leaving.Load()}
}

// Learn takes in what a bulletin told of nodes.
func (d *Discovery) Learn(now time.Time, list []nodetable.Presence) {
	d.learn(list, func(p nodetable.Presence) bool { return d.table.ApplyIndirect(now, p) })
}

// learn takes in nodes one by one. Take reports whether an incarnation is new.
func (d *Discovery) learn(list []nodetable.Presence, take func(nodetable.Presence) bool) {
	var fresh []nodetable.Record
	d.mu.Lock()
	for _, p := range list {
		if p.Address != d.Self.Address && take(p) {
			fresh = append(fresh, p.Record)
		}
	}
	d.mu.Unlock()
	for _, r := range fresh {
		d.Known(r)
	}
}

// Complete takes in the complete list of the nodes of a data centre, or of all if it
// is empty, and forgets those that such lists have lacked for a while.
func (d *Discovery) Complete(now time.Time, from nodetable.Source, dataCentre string, list []netip.AddrPort) {
	listed := map[netip.AddrPort]bool{d.Self.Address: true}
	for _, a := range list {
		listed[a] = true
	}
	d.mu.Lock()
	gone := d.all().ApplyList(now, from, dataCentre, listed)
	for _, a := range gone {
		delete(d.returns, a)
	}
	d.mu.Unlock()
	for _, a := range gone {
		d.Log.Info().Stringer("Address", a).Msg("node is gone")
		d.Lost(a)
	}
}

// Reviewed tells whether the store's records were read a short while ago, so that
// what this node knows is complete.
func (d *Discovery) Reviewed(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.reviewed.IsZero() && now.Sub(d.reviewed) < reviewLife
}

func addresses(list []nodetable.Presence) []netip.AddrPort {
	all := make([]netip.AddrPort, len(list))
	for i, p := range list {
		all[i] = p.Address
	}
	return all
}

// superPeers returns the nodes that are told what changes at this one: the super-peers of its
// data centre, or if it is one of them, the whole data centre and the super-peers of the
// others.
func (d *Discovery) superPeers() []netip.AddrPort {
	lists := d.DataCentres()
	own := lists[d.Self.DataCentre]
	var list []netip.AddrPort
	leads := false
	for _, a := range own[:min(superPeerCount, len(own))] {
		leads = leads || a == d.Self.Address
	}
	for dc, nodes := range lists {
		switch {
		case dc == d.Self.DataCentre && leads:
			list = append(list, nodes...)
		case dc == d.Self.DataCentre || leads:
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

// Leave tells the super-peers that this node takes no more requests, and removes its
// record.
func (d *Discovery) Leave(ctx context.Context) {
	d.leaving.Store(true)
	d.Announce(ctx)
	d.withdraw(ctx)
}
