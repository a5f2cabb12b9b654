// Package bulletin spreads what nodes know of one another and of the loads of their
// backend servers, so that an entry knows who there is and who has room without
// asking each. The nodes of a data centre exchange bulletins with its super-peer, and
// super-peers with one another, so that messages grow with the number of nodes and not
// with its square.
package bulletin

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/fleet/superpeer"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

const (
	// Interval is the least time between two exchanges of a node with its super-peer.
	Interval = 400 * time.Millisecond

	// intervalPerNode is the least such time for each node of the fleet: what a
	// super-peer sends grows with the square of the nodes of its data centre.
	intervalPerNode = 4 * time.Millisecond

	// farIntervals is the number of intervals between two exchanges of super-peers,
	// whose bytes cross between data centres.
	farIntervals = 2

	// silentIntervals is the number of intervals after which a node that exchanges
	// nothing with its super-peer is silent.
	silentIntervals = 4

	// toldFirst is the number of nodes of its own data centre that a node elsewhere is
	// told of.
	toldFirst = 2

	// ageLimit is the age up to which loads are passed on.
	ageLimit = 2 * time.Second

	// answerTime is the time in which another node must answer.
	answerTime = 150 * time.Millisecond
)

// Loads is what a node knows of loads.
type Loads interface {
	// Loads returns the loads of a data centre, or of all if it is empty, that are
	// not older than a limit.
	Loads(now time.Time, dataCentre string, limit time.Duration) []ranking.NodeLoad
	// MergeLoads takes in loads with their ages at a moment.
	MergeLoads(at time.Time, list []ranking.NodeLoad)
}

// Members is what a node knows of the nodes of the fleet.
type Members interface {
	// DataCentres returns the nodes with this one by data centre, in the order in
	// which they are consulted.
	DataCentres() map[string][]netip.AddrPort
	// Members returns the nodes of a data centre, or of all if it is empty.
	Members(dataCentre string) []nodetable.Presence
	// Learn takes in what other nodes told.
	Learn(now time.Time, list []nodetable.Presence)
	// Complete takes in the complete list of a data centre.
	Complete(now time.Time, from nodetable.Source, dataCentre string, list []netip.AddrPort)
	// Reviewed tells whether this node knows all nodes of the fleet.
	Reviewed(now time.Time) bool
	// Silent takes note of a node of the data centre that exchanges nothing with this
	// one any more, and Present takes in what one tells of itself.
	Silent(ctx context.Context, now time.Time, a netip.AddrPort)
	Present(p nodetable.Presence)
}

// Bulletin exchanges bulletins with other nodes.
type Bulletin struct {
	Self       netip.AddrPort
	DataCentre string
	Mesh       *link.Mesh
	Members    Members
	Loads      Loads
	Stamp      func(now time.Time) freshness.Stamp
	Heard      func(from netip.AddrPort, asked time.Time, s freshness.Stamp)
	Log        zerolog.Logger

	superPeers superpeer.Selector
	leads      atomic.Bool

	mu         sync.Mutex // Guards the fields below.
	next       time.Time  // Time of the next exchange.
	interval   time.Duration
	count      int        // Exchanges so far.
	attendance attendance // Of the data centre, while this node leads.
}

// Leads tells whether this node is the super-peer of its data centre, as far as it knows.
func (b *Bulletin) Leads() bool {
	return b.leads.Load()
}

// Start exchanges loads until ctx ends.
func (b *Bulletin) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(Interval, func(t timer.Tick) { b.round(ctx, t.Now) })
}

// round makes the exchanges that are due.
func (b *Bulletin) round(ctx context.Context, now time.Time) {
	nodes := b.Members.DataCentres()
	if !b.due(now, nodes) {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	first := b.superPeers.Choose(now, nodes[b.DataCentre], b.Self, b.Self)
	b.leads.Store(first == b.Self)
	if first != b.Self {
		wg.Go(func() { b.exchange(ctx, first, b.own(now)) })
		return
	}
	b.attend(ctx, now, nodes[b.DataCentre])
	if b.count%farIntervals != 0 {
		return
	}
	for _, dc := range slices.Sorted(maps.Keys(nodes)) {
		if dc == b.DataCentre {
			continue
		}
		if to := b.superPeers.Choose(now, nodes[dc], b.Self, b.Self); to != b.Self {
			wg.Go(func() { b.exchange(ctx, to, b.notices(now, b.DataCentre)) })
		}
	}
}

func (b *Bulletin) due(now time.Time, nodes map[string][]netip.AddrPort) bool {
	total := 0
	for _, list := range nodes {
		total += len(list)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.next) {
		return false
	}
	b.interval = max(Interval, time.Duration(total)*intervalPerNode)
	// Ticks are a little early or late.
	b.next = now.Add(b.interval - Interval/2)
	b.count++
	return true
}

// attend takes note of the nodes of the data centre that exchange nothing with this
// one, their super-peer, any more.
func (b *Bulletin) attend(ctx context.Context, now time.Time, nodes []netip.AddrPort) {
	b.mu.Lock()
	silent := b.attendance.silent(now, nodes, silentIntervals*b.interval)
	b.mu.Unlock()
	for _, a := range silent {
		if a != b.Self {
			b.Members.Silent(ctx, now, a)
		}
	}
}

// heard notes that a node exchanges bulletins with this one.
func (b *Bulletin) heard(now time.Time, n notice) {
	b.mu.Lock()
	b.attendance.heard(now, n.Address)
	b.mu.Unlock()
	b.Members.Present(n.Presence)
}

// exchange tells a node some notices and takes in those that it tells.
func (b *Bulletin) exchange(ctx context.Context, to netip.AddrPort, list []notice) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	asked := time.Now()
	payload, err := b.encode(asked, list, nil)
	if err != nil {
		b.Log.Error().Err(err).Msg("bulletin cannot be encoded")
		return
	}
	reply, err := b.Mesh.Ask(ctx, to, question.Loads, payload)
	if err != nil {
		b.superPeers.MarkUnresponsive(time.Now(), to)
		b.Log.Debug().Err(err).Stringer("To", to).Msg("node does not exchange bulletins")
		return
	}
	if err := b.take(to, asked, reply); err != nil {
		b.Log.Warn().Err(err).Stringer("From", to).Msg("bulletin of a node cannot be read")
	}
}

// Answer takes in what another node tells. It returns all that this one knows to a
// node of its data centre. Others get the nodes of this data centre, and the first
// ones of their own, which the nodes of a data centre that lost one another find each
// other by.
func (b *Bulletin) Answer(now time.Time, payload []byte) ([]byte, error) {
	var m peerpb.Loads
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	list := decode(&m)
	b.learn(now, now, &m, list)
	from := m.GetDataCentre()
	if from == b.DataCentre {
		for _, n := range list {
			b.heard(now, n)
		}
		return b.encode(now, b.notices(now, ""), b.complete(now, b.Members.DataCentres()))
	}
	answer := b.notices(now, b.DataCentre)
	first := b.Members.DataCentres()[from]
	for _, n := range b.notices(now, from) {
		if slices.Contains(first[:min(len(first), toldFirst)], n.Address) {
			n.load = nil
			answer = append(answer, n)
		}
	}
	return b.encode(now, answer, b.complete(now, map[string][]netip.AddrPort{b.DataCentre: nil}))
}

// complete returns the data centres all of whose nodes this one knows, of some.
func (b *Bulletin) complete(now time.Time, nodes map[string][]netip.AddrPort) []string {
	if !b.Members.Reviewed(now) {
		return nil
	}
	return slices.Sorted(maps.Keys(nodes))
}

// take takes in a reply. Ages count from when the question was sent, since the
// reply may have been under way for long.
func (b *Bulletin) take(from netip.AddrPort, asked time.Time, reply []byte) error {
	var m peerpb.Loads
	if err := proto.Unmarshal(reply, &m); err != nil {
		return err
	}
	b.learn(asked, time.Now(), &m, decode(&m))
	if f := m.GetFreshness(); f != nil {
		b.Heard(from, asked, courier.FromFreshness(f))
	}
	return nil
}

// learn takes in the notices of a message that holds for a moment.
func (b *Bulletin) learn(at, now time.Time, m *peerpb.Loads, list []notice) {
	members := make([]nodetable.Presence, len(list))
	var loads []ranking.NodeLoad
	for i, n := range list {
		members[i] = n.Presence
		if n.load != nil {
			loads = append(loads, *n.load)
		}
	}
	b.Members.Learn(now, members)
	b.Loads.MergeLoads(at, loads)
	for _, dc := range m.GetComplete() {
		var listed []netip.AddrPort
		for _, n := range list {
			if n.DataCentre == dc {
				listed = append(listed, n.Address)
			}
		}
		b.Members.Complete(now, nodetable.PeerList, dc, listed)
	}
}
