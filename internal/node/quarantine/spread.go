package quarantine

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

// reach says to which nodes events are spread.
type reach int

const (
	nowhere    reach = iota
	dataCentre       // To the nodes of this data centre.
	wholeFleet       // To one super-peer of each data centre, which passes them on.
)

// maxSuperPeerTries is the number of nodes of a data centre that are asked to pass events on until
// one answers. Gossip reaches the data centre later if none does.
const maxSuperPeerTries = 3

// startPollInterval is the time between two checks whether a starting node knows its neighbours.
const startPollInterval = 20 * time.Millisecond

// tellHomes tells the homes of the requests about a crash, so that no further trial begins. Each
// gets the whole crash: what else ran is part of the evidence.
func (g *Guard) tellHomes(ctx context.Context, events []blame.Event) {
	homes := make(map[netip.AddrPort]bool)
	for _, e := range events {
		if home, ok := rendezvous.Key(e.Fingerprint[:]).Pick(g.Homes()); ok && home != g.Self {
			homes[home] = true
		}
	}
	var wg sync.WaitGroup
	for home := range homes {
		wg.Go(func() { g.tell(ctx, home, events, false) })
	}
	wg.Wait()
}

// spread sends events to other nodes in the background. Events that come meanwhile are sent together
// afterwards, so that messages stay few when many backend servers crash.
func (g *Guard) spread(events []blame.Event, to reach) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending, g.reach = append(g.pending, events...), max(g.reach, to)
	if !g.spreading {
		g.spreading = true
		go g.spreadPending()
	}
}

func (g *Guard) spreadPending() {
	for {
		g.mu.Lock()
		events, to := g.pending, g.reach
		g.pending, g.reach = nil, nowhere
		g.spreading = len(events) > 0
		g.mu.Unlock()
		if len(events) == 0 {
			return
		}
		g.send(events, to)
	}
}

// send sends events to the nodes within reach and waits for their replies.
func (g *Guard) send(events []blame.Event, to reach) {
	ctx := context.Background()
	var wg sync.WaitGroup
	defer wg.Wait()
	for name, nodes := range g.Nodes() {
		switch {
		case name == g.DataCentre && (to == dataCentre || g.isSuperPeer(nodes)):
			for _, node := range nodes {
				if node != g.Self {
					wg.Go(func() { g.tell(ctx, node, events, false) })
				}
			}
		case to == wholeFleet:
			wg.Go(func() { g.tellSuperPeer(ctx, nodes, events) })
		}
	}
}

// isSuperPeer reports whether this node is the super-peer among the nodes of its data centre.
func (g *Guard) isSuperPeer(nodes []netip.AddrPort) bool {
	return g.superPeers.Choose(time.Now(), nodes, g.Self, g.Self) == g.Self
}

// tellSuperPeer sends events to a super-peer, which passes them on. If it does not answer, the next one is asked.
func (g *Guard) tellSuperPeer(ctx context.Context, nodes []netip.AddrPort, events []blame.Event) {
	for range maxSuperPeerTries {
		to := g.superPeers.Choose(time.Now(), nodes, g.Self, g.Self)
		if to == g.Self || g.tell(ctx, to, events, true) {
			return
		}
		g.superPeers.MarkUnresponsive(time.Now(), to)
	}
}

// tell sends events to a node and reports whether it answered.
func (g *Guard) tell(ctx context.Context, to netip.AddrPort, events []blame.Event, relay bool) bool {
	payload, err := proto.Marshal(&peerpb.Blame{Events: encode(time.Now(), events), Relay: relay})
	if err != nil {
		g.Log.Error().Err(err).Msg("cannot encode crashes")
		return false
	}
	if _, err := g.ask(ctx, to, question.Blame, payload); err != nil {
		g.Log.Info().Err(err).Stringer("To", to).Msg("node did not take note of crashes; it learns of them by gossip")
		return false
	}
	return true
}

// AnswerBlame takes note of events that another node sent, and passes them on if asked to, also
// those that this node knows already, as a home. A message without events asks for those of this node.
func (g *Guard) AnswerBlame(payload []byte) ([]byte, error) {
	var m peerpb.Blame
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	if len(m.GetEvents()) == 0 {
		return proto.Marshal(g.Reply(&m))
	}
	g.merge(&m)
	if m.GetRelay() {
		// What cannot be used has been reported.
		events, _ := decode(time.Now(), m.GetEvents())
		g.spread(events, dataCentre)
	}
	return nil, nil
}

// merge adds the events of a message and returns those that were new.
func (g *Guard) merge(m *peerpb.Blame) []blame.Event {
	now := time.Now()
	events, err := decode(now, m.GetEvents())
	if err != nil {
		g.LeftOut.Report(now, "crash", "a node", 0, err)
	}
	if len(events) == 0 {
		return nil
	}
	g.mu.Lock()
	changed := g.ledger.Merge(now, events)
	g.mu.Unlock()
	g.observe(changed)
	return changed
}

// Digest implements gossip.Blame.
func (g *Guard) Digest() uint64 {
	if !g.occupied.Load() {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	digest := g.ledger.Digest(time.Now())
	g.occupied.Store(!g.ledger.Empty())
	return digest
}

// Start makes a node that has just started learn what others know, once it knows its
// neighbours, before gossip tells it.
func (g *Guard) Start(ctx context.Context, joined func() bool) {
	for !joined() && ctx.Err() == nil {
		timer.Sleep(ctx, startPollInterval)
	}
	payload, err := proto.Marshal(&peerpb.Blame{Digest: g.Digest()})
	if err != nil {
		g.Log.Error().Err(err).Msg("cannot encode the request for crashes")
		return
	}
	for _, to := range g.Nodes()[g.DataCentre] {
		if to == g.Self {
			continue
		}
		reply, err := g.ask(ctx, to, question.Blame, payload)
		var m peerpb.Blame
		if err == nil {
			err = proto.Unmarshal(reply, &m)
		}
		if err == nil {
			g.merge(&m)
			return
		}
		g.Log.Info().Err(err).Stringer("From", to).Msg("cannot learn of crashes at the start; asking the next node")
	}
}

// Reply implements gossip.Blame.
func (g *Guard) Reply(m *peerpb.Blame) *peerpb.Blame {
	digest := g.Digest()
	reply := &peerpb.Blame{Digest: digest}
	if digest == m.GetDigest() {
		return reply
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	reply.Events = encode(now, g.ledger.Events(now))
	return reply
}

// Reconcile implements gossip.Blame.
func (g *Guard) Reconcile(from netip.AddrPort, m *peerpb.Blame) {
	if changed := g.merge(m); len(changed) > 0 && g.isSuperPeer(g.Nodes()[g.DataCentre]) {
		g.spread(changed, dataCentre)
	}
	if g.Digest() == m.GetDigest() {
		return
	}
	now := time.Now()
	g.mu.Lock()
	events := g.ledger.Events(now)
	g.mu.Unlock()
	if len(events) > 0 {
		go g.tell(context.Background(), from, events, false)
	}
}
