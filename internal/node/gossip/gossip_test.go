package gossip_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/node/gossip"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// node is a node that gossips, with the tables of nodes and loads that it knows.
type node struct {
	address  netip.AddrPort
	gossiper *gossip.Gossiper

	mu      sync.Mutex
	ranking ranking.Ranking
	known   nodetable.Table
	running int // Requests that its backend server is running.
	silent  []netip.AddrPort
}

func (n *node) ActiveByDataCentre() map[string][]netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known.ActiveByDataCentre()
}

func (n *node) Nodes(dataCentre string) []nodetable.Presence {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known.Nodes(dataCentre)
}

func (n *node) ApplyList(time.Time, nodetable.Source, string, []netip.AddrPort) {}

func (n *node) HasCompleteView(time.Time) bool { return true }

func (n *node) ReportSilent(_ context.Context, _ time.Time, a netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = append(n.silent, a)
}

func (n *node) ReportAlive(nodetable.Presence) {}

// nodeTable implements gossip.Nodes on a node.
type nodeTable struct{ *node }

func (m nodeTable) MergeNodes(now time.Time, list []nodetable.Presence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range list {
		if m.known.ApplyIndirect(now, p) {
			m.ranking.AddNode(ranking.Node{Address: p.Address, DataCentre: p.DataCentre, Service: p.Service})
		}
	}
}

func (n *node) Loads(now time.Time, dataCentre string, limit time.Duration) []ranking.NodeLoad {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ranking.UpdateLoad(now, n.address, scheduler.Load{Running: n.running, Slots: 3, Serving: true})
	return n.ranking.Loads(now, dataCentre, limit)
}

func (n *node) MergeLoads(at time.Time, list []ranking.NodeLoad) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range list {
		if k.Address != n.address {
			n.ranking.MergeLoad(at.Add(-k.Age), k.Address, k.Load)
		}
	}
}

func (n *node) Answer(_ context.Context, kind uint32, payload []byte) ([]byte, error) {
	if kind != question.Loads {
		return nil, fmt.Errorf("got a question of kind %d", kind)
	}
	return n.gossiper.Answer(time.Now(), payload)
}

func (n *node) Serve(context.Context, *peerpb.RequestHead, *link.Stream) {}

// newFleet returns two nodes in each of two data centres. Node i reports i running
// requests, and each knows only itself and node 0.
func newFleet(t *testing.T) []*node {
	t.Helper()
	var nodes []*node
	for i := range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := &node{address: netip.MustParseAddrPort(l.Addr().String()), running: i}
		mesh := link.New(nil, nil, n)
		go mesh.Serve(l)
		t.Cleanup(func() { _ = l.Close(); mesh.Close() })
		dc := []string{"a", "b"}[i/2]
		n.gossiper = &gossip.Gossiper{
			Self: n.address, DataCentre: dc, Mesh: mesh, Loads: n, Nodes: nodeTable{n}, Log: zerolog.New(io.Discard),
			Stamp:         func(time.Time) freshness.Stamp { return freshness.Stamp{Version: 1} },
			OnConfigStamp: func(netip.AddrPort, time.Time, freshness.Stamp) {},
		}
		nodes = append(nodes, n)
	}
	for i, n := range nodes {
		for _, other := range []*node{nodes[0], n} {
			r := nodetable.Record{
				Address: other.address, DataCentre: other.gossiper.DataCentre, Service: "s", Incarnation: 1, Capacity: uint32(len(nodes) - i),
			}
			if other == nodes[0] {
				r.Capacity = uint32(len(nodes))
			}
			n.known.AddRecord(r)
			n.ranking.AddNode(ranking.Node{Address: r.Address, DataCentre: r.DataCentre, Service: r.Service})
		}
	}
	return nodes
}

// TestGossiper_Start checks that nodes that know only one other node learn of all nodes
// and loads of both data centres by gossip.
func TestGossiper_Start(t *testing.T) {
	nodes := newFleet(t)
	var timers timer.Service
	t.Cleanup(timers.Stop)
	for _, n := range nodes {
		n.gossiper.Start(t.Context(), &timers)
	}
	knows := func(n *node) bool {
		list := n.Loads(time.Now(), "", 2*time.Second)
		for _, k := range list {
			i := slices.IndexFunc(nodes, func(other *node) bool { return other.address == k.Address })
			if k.Load.Running != i {
				return false
			}
		}
		return len(list) == len(nodes)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(nodes, func(n *node) bool { return !knows(n) }) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("not all nodes knew all loads within 5 s")
		}
	}
}

// FuzzGossiper_Answer checks that no input of a peer makes Answer panic, and that it
// replies to messages that it can decode.
func FuzzGossiper_Answer(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x0a\x01a\x12\x0c\x0a\x06\x7f\x00\x00\x01\x00\x50\x10\x05\x1a\x00"))
	f.Add([]byte("\x12\x04\x0a\x02\x7f\x00"))
	f.Add([]byte("\x0a\x01b\x12\x0a\x0a\x06\x7f\x00\x00\x01\x00\x50\x28\x01\x22\x01b\x22\x01s\x2a\x01b"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		n := &node{address: netip.MustParseAddrPort("127.0.0.1:1")}
		n.ranking.AddNode(ranking.Node{Address: n.address, DataCentre: "a", Service: "s"})
		n.gossiper = &gossip.Gossiper{
			Self: n.address, DataCentre: "a", Loads: n, Nodes: nodeTable{n}, Log: zerolog.New(io.Discard),
			Stamp: func(time.Time) freshness.Stamp { return freshness.Stamp{} },
		}
		reply, err := n.gossiper.Answer(time.Now(), payload)
		if err == nil && len(reply) == 0 {
			t.Error("got an empty reply, want the load of the node")
		}
	})
}

// TestGossiper_Start_silentNode guards against a failed node going unnoticed: a super-peer
// reports a node of its data centre that has stopped exchanging state.
func TestGossiper_Start_silentNode(t *testing.T) {
	nodes := newFleet(t)
	nodes[0].known.AddRecord(nodetable.Record{Address: nodes[1].address, DataCentre: "a", Service: "s", Incarnation: 1})
	var timers timer.Service
	t.Cleanup(timers.Stop)
	nodes[0].gossiper.Start(t.Context(), &timers)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		nodes[0].mu.Lock()
		got := slices.Clone(nodes[0].silent)
		nodes[0].mu.Unlock()
		if len(got) > 0 {
			if got[0] != nodes[1].address || !nodes[0].gossiper.IsSuperPeer() {
				t.Errorf("got %s silent, want %s, and the first node as super-peer", got[0], nodes[1].address)
			}
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the silent node was not reported within 10 s")
		}
	}
}
