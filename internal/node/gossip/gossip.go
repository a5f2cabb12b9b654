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
	"filbertturn.example/filbertturn/internal/node/leftout"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/peer/transport"
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

// Blame is what a node knows of requests that crash backend servers.
type Blame interface {
	// Digest returns a number that nodes with the same knowledge have in common; zero
	// for none.
	Digest() uint64
	// Reply returns the answer to the digest of another node, with what it may lack.
	Reply(m *peerpb.Blame) *peerpb.Blame
	// Reconcile applies such an answer, and tells the other node what that lacks.
	Reconcile(from netip.AddrPort, m *peerpb.Blame)
}

// Gossiper exchanges the states and loads of nodes with other nodes. The exported
// fields must be set before Start.
type Gossiper struct {
	Self       netip.AddrPort
	DataCentre string
	Mesh       *link.Mesh
	Nodes      Nodes
	Loads      Loads
	Blame      Blame                               // Nil if nothing is known.
	Stamp      func(now time.Time) freshness.Stamp // Freshness of this node's configuration.

	// OnConfigStamp is called with the freshness stamp in a reply. The stamp's age is
	// relative to asked, the time of the request.
	OnConfigStamp func(from netip.AddrPort, asked time.Time, s freshness.Stamp)
	Log           zerolog.Logger
	LeftOut       *leftout.Reporter // Of entries that cannot be used; nil for none.

	superPeers superpeer.Selector
	superPeer  atomic.Bool

	mu        sync.Mutex // Guards the fields below.
	nextRound time.Time  // Time at which the next round is due.
	interval  time.Duration
	rounds    int      // Rounds so far.
	detector  detector // Of the nodes of the data centre; used while this node is the super-peer.
}

// IsSuperPeer reports whether this node considered itself the super-peer of its data centre
// in the last round.
func (g *Gossiper) IsSuperPeer() bool {
	return g.superPeer.Load()
}

// Start runs a gossip round at each interval until timers stops. Exchanges end with ctx.
func (g *Gossiper) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(MinInterval, func(t timer.Tick) { g.round(ctx, t.Now) })
}

// round runs one gossip round if it is due: with the super-peer, or if this node is the
// super-peer, with those of the other data centres.
func (g *Gossiper) round(ctx context.Context, now time.Time) {
	nodes := g.Nodes.ActiveByDataCentre()
	if !g.due(now, nodes) {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	superPeer := g.superPeers.Choose(now, nodes[g.DataCentre], g.Self, g.Self)
	g.superPeer.Store(superPeer == g.Self)
	if superPeer != g.Self {
		wg.Go(func() { g.exchange(ctx, superPeer, g.ownState(now)) })
		return
	}
	g.reportSilent(ctx, now, nodes[g.DataCentre])
	if g.rounds%remoteIntervals != 0 {
		return
	}
	for _, dc := range slices.Sorted(maps.Keys(nodes)) {
		if dc == g.DataCentre {
			continue
		}
		if to := g.superPeers.Choose(now, nodes[dc], g.Self, g.Self); to != g.Self {
			wg.Go(func() { g.exchange(ctx, to, g.nodeStates(now, g.DataCentre)) })
		}
	}
}

// Interval returns the time between two exchanges of a node with its super-peer in a fleet of a
// number of nodes.
func Interval(nodes int) time.Duration {
	return max(MinInterval, time.Duration(nodes)*intervalPerNode)
}

// due reports whether a round is due, and if so schedules the next one.
func (g *Gossiper) due(now time.Time, nodes map[string][]netip.AddrPort) bool {
	total := 0
	for _, list := range nodes {
		total += len(list)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.nextRound) {
		return false
	}
	g.interval = Interval(total)
	// Half a tick of tolerance, since ticks are a little early or late.
	g.nextRound = now.Add(g.interval - MinInterval/2)
	g.rounds++
	return true
}

// reportSilent reports the nodes of the data centre that have stopped exchanging state
// with this one, their super-peer.
func (g *Gossiper) reportSilent(ctx context.Context, now time.Time, nodes []netip.AddrPort) {
	g.mu.Lock()
	silent := g.detector.silent(now, nodes, silentIntervals*g.interval)
	g.mu.Unlock()
	for _, a := range silent {
		if a != g.Self {
			g.Nodes.ReportSilent(ctx, now, a)
		}
	}
}

// observe records that a node of the data centre exchanged state with this one.
func (g *Gossiper) observe(now time.Time, n nodeState) {
	g.mu.Lock()
	g.detector.observe(now, n.Address)
	g.mu.Unlock()
	g.Nodes.ReportAlive(n.Presence)
}

// exchange sends node states to another node and applies its reply. A node that does
// not answer in time is marked as unresponsive, so that another super-peer is chosen.
func (g *Gossiper) exchange(ctx context.Context, to netip.AddrPort, list []nodeState) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := time.Now()
	payload, err := g.encode(asked, list, nil, g.ownDigest())
	if err != nil {
		g.Log.Error().Err(err).Msg("cannot encode a gossip message")
		return
	}
	reply, err := g.Mesh.Ask(ctx, to, question.Loads, payload)
	if err != nil {
		g.superPeers.MarkUnresponsive(time.Now(), to)
		g.Log.Debug().Err(err).Stringer("To", to).Msg("node did not answer a gossip message")
		return
	}
	if err := g.applyReply(to, asked, reply); err != nil {
		g.leaveOut(time.Now(), to.String(), err)
	}
}

// Answer applies the gossip message of another node and returns the reply. A node of the
// same data centre gets all that this one knows. A super-peer of another data centre gets
// the nodes of this data centre, and the first reflectedNodes of its own without their
// loads.
func (g *Gossiper) Answer(now time.Time, payload []byte) ([]byte, error) {
	var m peerpb.Loads
	if err := proto.Unmarshal(payload, &m); err != nil {
		g.leaveOut(now, "a node", err)
		return nil, err
	}
	from := m.GetDataCentre()
	list := g.merge(now, now, &m, from)
	if from == g.DataCentre {
		for _, n := range list {
			g.observe(now, n)
		}
		return g.encode(now, g.nodeStates(now, ""), g.completeDataCentres(now, g.Nodes.ActiveByDataCentre()), g.blameReply(m.GetBlame()))
	}
	answer := g.nodeStates(now, g.DataCentre)
	first := g.Nodes.ActiveByDataCentre()[from]
	for _, n := range g.nodeStates(now, from) {
		if slices.Contains(first[:min(len(first), reflectedNodes)], n.Address) {
			n.load = nil
			answer = append(answer, n)
		}
	}
	return g.encode(now, answer, g.completeDataCentres(now, map[string][]netip.AddrPort{g.DataCentre: nil}), g.blameReply(m.GetBlame()))
}

// ownDigest returns the digest of what is known of crashes, or nil if nothing is.
func (g *Gossiper) ownDigest() *peerpb.Blame {
	if g.Blame == nil {
		return nil
	}
	if digest := g.Blame.Digest(); digest != 0 {
		return &peerpb.Blame{Digest: digest}
	}
	return nil
}

// blameReply returns the answer to another node's digest, or nil if neither knows
// anything.
func (g *Gossiper) blameReply(m *peerpb.Blame) *peerpb.Blame {
	if g.Blame == nil || m == nil && g.Blame.Digest() == 0 {
		return nil
	}
	return g.Blame.Reply(m)
}

// completeDataCentres returns the names of the data centres in nodes if this node knows
// all nodes of the fleet, and nil otherwise. Only for these may the receiver remove nodes
// that the message lacks.
func (g *Gossiper) completeDataCentres(now time.Time, nodes map[string][]netip.AddrPort) []string {
	if !g.Nodes.HasCompleteView(now) {
		return nil
	}
	return slices.Sorted(maps.Keys(nodes))
}

// applyReply applies the reply of a node. Ages are relative to the time of the request,
// since the reply may have been delayed on its way.
func (g *Gossiper) applyReply(from netip.AddrPort, asked time.Time, reply []byte) error {
	var m peerpb.Loads
	if err := proto.Unmarshal(reply, &m); err != nil {
		return err
	}
	g.merge(asked, time.Now(), &m, from.String())
	if f := m.GetFreshness(); f != nil {
		g.OnConfigStamp(from, asked, transport.StampFromProto(f))
	}
	if b := m.GetBlame(); b != nil && g.Blame != nil {
		g.Blame.Reconcile(from, b)
	}
	return nil
}

// merge merges the node states of a message, whose loads have their ages relative to at, and returns
// those that can be used. A message of which entries were left out is no complete list of nodes.
func (g *Gossiper) merge(at, now time.Time, m *peerpb.Loads, from string) []nodeState {
	d := decode(m)
	for _, err := range d.errs {
		g.leaveOut(now, from, err)
	}
	presences := make([]nodetable.Presence, len(d.list))
	var loads []ranking.NodeLoad
	for i, n := range d.list {
		presences[i] = n.Presence
		if n.load != nil {
			loads = append(loads, *n.load)
		}
	}
	g.Nodes.MergeNodes(now, presences)
	g.Loads.MergeLoads(at, loads)
	if d.complete {
		g.applyLists(now, m.GetComplete(), d.list)
	}
	return d.list
}

func (g *Gossiper) leaveOut(now time.Time, from string, err error) {
	g.LeftOut.Report(now, "gossip of a node", from, 0, err)
}

// applyLists applies the complete lists of nodes in a message. No data centre has the empty name,
// which stands for the whole fleet in ApplyList.
func (g *Gossiper) applyLists(now time.Time, complete []string, list []nodeState) {
	for _, dc := range complete {
		var listed []netip.AddrPort
		for _, n := range list {
			if n.DataCentre == dc {
				listed = append(listed, n.Address)
			}
		}
		if len(listed) > 0 {
			g.Nodes.ApplyList(now, nodetable.PeerList, dc, listed)
		}
	}
}
