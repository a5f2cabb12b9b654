// Package gossip spreads the state of nodes and the loads of their backend servers by
// gossip, so that any node that receives a request knows which nodes exist and which
// have free capacity without asking each of them. The nodes of a data centre exchange
// state with its super-peer, and super-peers with one another, so that the number of
// messages grows linearly with the number of nodes, not quadratically.
package gossip

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
	// MinInterval is the minimum time between two exchanges of a node with its super-peer.
	MinInterval = 400 * time.Millisecond

	// intervalPerNode is the minimum time between two exchanges per node of the fleet.
	// The interval grows with the fleet because the bytes that a super-peer sends grow
	// with the square of the number of nodes in its data centre.
	intervalPerNode = 4 * time.Millisecond

	// remoteIntervals is the number of intervals between two exchanges of super-peers.
	// They are less frequent because their bytes cross data centres.
	remoteIntervals = 2

	// silentIntervals is the number of intervals without an exchange after which a
	// super-peer reports a node of its data centre as silent.
	silentIntervals = 4

	// reflectedNodes is the number of nodes of the sender's own data centre that are
	// included in the reply to a super-peer of another data centre. Nodes of a data
	// centre that have lost one another find each other again through them.
	reflectedNodes = 2

	// maxLoadAge is the maximum age of a load that is still passed on.
	maxLoadAge = 2 * time.Second

	// exchangeTimeout bounds one exchange with another node.
	exchangeTimeout = 150 * time.Millisecond
)

// Loads is the table of the loads of backend servers that a node knows.
type Loads interface {
	// Loads returns the loads that are no older than limit, of one data centre or of
	// all if dataCentre is empty.
	Loads(now time.Time, dataCentre string, limit time.Duration) []ranking.NodeLoad
	// MergeLoads merges loads, whose ages are relative to at.
	MergeLoads(at time.Time, list []ranking.NodeLoad)
}

// Nodes is the table of the fleet's nodes that a node knows.
type Nodes interface {
	// ActiveByDataCentre returns the active nodes, including this one, by data centre. Those
	// of a data centre are in the order in which they are chosen as super-peer.
	ActiveByDataCentre() map[string][]netip.AddrPort
	// Nodes returns the nodes of one data centre, or of all if dataCentre is empty.
	Nodes(dataCentre string) []nodetable.Presence
	// MergeNodes merges the states of nodes that another node relayed.
	MergeNodes(now time.Time, list []nodetable.Presence)
	// ApplyList applies a complete list of the nodes of a data centre, so that nodes
	// missing from such lists are removed.
	ApplyList(now time.Time, from nodetable.Source, dataCentre string, list []netip.AddrPort)
	// HasCompleteView reports whether this node knows all nodes of the fleet.
	HasCompleteView(now time.Time) bool
	// ReportSilent reports that a node of the data centre has stopped exchanging state with
	// this one, its super-peer.
	ReportSilent(ctx context.Context, now time.Time, a netip.AddrPort)
	// ReportAlive applies the state that a node of the data centre reported itself.
	ReportAlive(p nodetable.Presence)
}

// Gossiper exchanges the states and loads of nodes with other nodes. The exported
// fields must be set before Start.
type Gossiper struct {
	Self       netip.AddrPort
	DataCentre string
	Mesh       *link.Mesh
	Nodes      Nodes
	Loads      Loads
	Stamp      func(now time.Time) freshness.Stamp // Freshness of this node's configuration.
	// OnConfigStamp is called with the freshness stamp in a reply. The stamp's age is
	// relative to asked, the time of the request.
	OnConfigStamp func(from netip.AddrPort, asked time.Time, s freshness.Stamp)
	Log           zerolog.Logger

	superPeers superpeer.Selector
	leads      atomic.Bool

	mu        sync.Mutex // Guards the fields below.
	nextRound time.Time  // Time at which the next round is due.
	interval  time.Duration
	rounds    int      // Rounds so far.
	detector  detector // Of the nodes of the data centre; used while this node is the super-peer.
}

// IsSuperPeer reports whether this node considered itself the super-peer of its data centre
// in the last round.
func (b *Gossiper) IsSuperPeer() bool {
	return b.leads.Load()
}

// Start runs a gossip round at each interval until timers stops. Exchanges end with ctx.
func (b *Gossiper) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(MinInterval, func(t timer.Tick) { b.round(ctx, t.Now) })
}

// round runs one gossip round if it is due: with the super-peer, or if this node is the
// super-peer, with those of the other data centres.
func (b *Gossiper) round(ctx context.Context, now time.Time) {
	nodes := b.Nodes.ActiveByDataCentre()
	if !b.due(now, nodes) {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	superPeer := b.superPeers.Choose(now, nodes[b.DataCentre], b.Self, b.Self)
	b.leads.Store(superPeer == b.Self)
	if superPeer != b.Self {
		wg.Go(func() { b.exchange(ctx, superPeer, b.ownState(now)) })
		return
	}
	b.reportSilent(ctx, now, nodes[b.DataCentre])
	if b.rounds%remoteIntervals != 0 {
		return
	}
	for _, dc := range slices.Sorted(maps.Keys(nodes)) {
		if dc == b.DataCentre {
			continue
		}
		if to := b.superPeers.Choose(now, nodes[dc], b.Self, b.Self); to != b.Self {
			wg.Go(func() { b.exchange(ctx, to, b.nodeStates(now, b.DataCentre)) })
		}
	}
}

// due reports whether a round is due, and if so schedules the next one.
func (b *Gossiper) due(now time.Time, nodes map[string][]netip.AddrPort) bool {
	total := 0
	for _, list := range nodes {
		total += len(list)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.nextRound) {
		return false
	}
	b.interval = max(MinInterval, time.Duration(total)*intervalPerNode)
	// Half a tick of tolerance, since ticks are a little early or late.
	b.nextRound = now.Add(b.interval - MinInterval/2)
	b.rounds++
	return true
}

// reportSilent reports the nodes of the data centre that have stopped exchanging state
// with this one, their super-peer.
func (b *Gossiper) reportSilent(ctx context.Context, now time.Time, nodes []netip.AddrPort) {
	b.mu.Lock()
	silent := b.detector.silent(now, nodes, silentIntervals*b.interval)
	b.mu.Unlock()
	for _, a := range silent {
		if a != b.Self {
			b.Nodes.ReportSilent(ctx, now, a)
		}
	}
}

// observe records that a node of the data centre exchanged state with this one.
func (b *Gossiper) observe(now time.Time, n nodeState) {
	b.mu.Lock()
	b.detector.observe(now, n.Address)
	b.mu.Unlock()
	b.Nodes.ReportAlive(n.Presence)
}

// exchange sends node states to another node and applies its reply. A node that does
// not answer in time is marked as unresponsive, so that another super-peer is chosen.
func (b *Gossiper) exchange(ctx context.Context, to netip.AddrPort, list []nodeState) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := time.Now()
	payload, err := b.encode(asked, list, nil)
	if err != nil {
		b.Log.Error().Err(err).Msg("cannot encode a gossip message")
		return
	}
	reply, err := b.Mesh.Ask(ctx, to, question.Loads, payload)
	if err != nil {
		b.superPeers.MarkUnresponsive(time.Now(), to)
		b.Log.Debug().Err(err).Stringer("To", to).Msg("node did not answer a gossip message")
		return
	}
	if err := b.applyReply(to, asked, reply); err != nil {
		b.Log.Warn().Err(err).Stringer("From", to).Msg("cannot decode the gossip reply of a node")
	}
}

// Answer applies the gossip message of another node and returns the reply. A node of the
// same data centre gets all that this one knows. A super-peer of another data centre gets
// the nodes of this data centre, and the first reflectedNodes of its own without their
// loads.
func (b *Gossiper) Answer(now time.Time, payload []byte) ([]byte, error) {
	var m peerpb.Loads
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	list := decode(&m)
	b.merge(now, now, &m, list)
	from := m.GetDataCentre()
	if from == b.DataCentre {
		for _, n := range list {
			b.observe(now, n)
		}
		return b.encode(now, b.nodeStates(now, ""), b.completeDataCentres(now, b.Nodes.ActiveByDataCentre()))
	}
	answer := b.nodeStates(now, b.DataCentre)
	first := b.Nodes.ActiveByDataCentre()[from]
	for _, n := range b.nodeStates(now, from) {
		if slices.Contains(first[:min(len(first), reflectedNodes)], n.Address) {
			n.load = nil
			answer = append(answer, n)
		}
	}
	return b.encode(now, answer, b.completeDataCentres(now, map[string][]netip.AddrPort{b.DataCentre: nil}))
}

// completeDataCentres returns the names of the data centres in nodes if this node knows
// all nodes of the fleet, and nil otherwise. Only for these may the receiver remove nodes
// that the message lacks.
func (b *Gossiper) completeDataCentres(now time.Time, nodes map[string][]netip.AddrPort) []string {
	if !b.Nodes.HasCompleteView(now) {
		return nil
	}
	return slices.Sorted(maps.Keys(nodes))
}

// applyReply applies the reply of a node. Ages are relative to the time of the request,
// since the reply may have been delayed on its way.
func (b *Gossiper) applyReply(from netip.AddrPort, asked time.Time, reply []byte) error {
	var m peerpb.Loads
	if err := proto.Unmarshal(reply, &m); err != nil {
		return err
	}
	b.merge(asked, time.Now(), &m, decode(&m))
	if f := m.GetFreshness(); f != nil {
		b.OnConfigStamp(from, asked, courier.FromFreshness(f))
	}
	return nil
}

// merge merges the node states of a message, whose loads have their ages relative to at.
func (b *Gossiper) merge(at, now time.Time, m *peerpb.Loads, list []nodeState) {
	members := make([]nodetable.Presence, len(list))
	var loads []ranking.NodeLoad
	for i, n := range list {
		members[i] = n.Presence
		if n.load != nil {
			loads = append(loads, *n.load)
		}
	}
	b.Nodes.MergeNodes(now, members)
	b.Loads.MergeLoads(at, loads)
	for _, dc := range m.GetComplete() {
		var listed []netip.AddrPort
		for _, n := range list {
			if n.DataCentre == dc {
				listed = append(listed, n.Address)
			}
		}
		b.Nodes.ApplyList(now, nodetable.PeerList, dc, listed)
	}
}
