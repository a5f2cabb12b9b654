package bulletin_test

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

	"filbertturn.example/filbertturn/internal/backend/booking"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/node/bulletin"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// node is one node with its bulletin.
type node struct {
	address  netip.AddrPort
	bulletin *bulletin.Bulletin

	mu      sync.Mutex
	ranking ranking.Ranking
	running int // Of the backend server beside it.
}

func (n *node) Loads(now time.Time, dataCentre string, limit time.Duration) []ranking.Known {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ranking.Hear(now, n.address, booking.Load{Running: n.running, Slots: 3, Serving: true})
	return n.ranking.Loads(now, dataCentre, limit)
}

func (n *node) Learn(at time.Time, list []ranking.Known) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range list {
		if k.Address != n.address {
			n.ranking.Learn(at.Add(-k.Age), k.Address, k.Load)
		}
	}
}

func (n *node) Answer(_ context.Context, kind uint32, payload []byte) ([]byte, error) {
	if kind != question.Loads {
		return nil, fmt.Errorf("got a question of kind %d", kind)
	}
	return n.bulletin.Answer(time.Now(), payload)
}

func (n *node) Serve(context.Context, *peerpb.RequestHead, *link.Stream) {}

// newFleet returns two nodes in each of two data centres. Each runs as many
// requests as its number.
func newFleet(t *testing.T) []*node {
	t.Helper()
	var nodes []*node
	lists := make(map[string][]netip.AddrPort)
	for i := range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := &node{address: netip.MustParseAddrPort(l.Addr().String()), running: i}
		mesh := link.New(nil, nil, n)
		go mesh.Listen(l)
		t.Cleanup(func() { _ = l.Close(); mesh.Close() })
		dc := []string{"a", "b"}[i/2]
		lists[dc] = append(lists[dc], n.address)
		n.bulletin = &bulletin.Bulletin{
			Self: n.address, DataCentre: dc, Mesh: mesh, Loads: n, Log: zerolog.New(io.Discard),
			DataCentres: func() map[string][]netip.AddrPort { return lists },
			Stamp:       func(time.Time) freshness.Stamp { return freshness.Stamp{Version: 1} },
			Heard:       func(netip.AddrPort, time.Time, freshness.Stamp) {},
		}
		nodes = append(nodes, n)
	}
	for dc, list := range lists {
		slices.SortFunc(list, netip.AddrPort.Compare)
		for _, a := range list {
			for _, n := range nodes {
				n.ranking.Know(ranking.Node{Address: a, DataCentre: dc, Service: "s"})
			}
		}
	}
	return nodes
}

// TestBulletin_Start checks that each node learns the loads of all others, of its
// data centre and of another one, without asking each.
func TestBulletin_Start(t *testing.T) {
	nodes := newFleet(t)
	var timers timer.Service
	t.Cleanup(timers.Stop)
	for _, n := range nodes {
		n.bulletin.Start(t.Context(), &timers)
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
			t.Fatal("not all nodes know all loads within 5 s")
		}
	}
}

// FuzzBulletin_Answer checks that no bytes of a peer harm a node, and that it
// answers those that it can read.
func FuzzBulletin_Answer(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x0a\x01a\x12\x0c\x0a\x06\x7f\x00\x00\x01\x00\x50\x10\x05\x1a\x00"))
	f.Add([]byte("\x12\x04\x0a\x02\x7f\x00"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		n := &node{address: netip.MustParseAddrPort("127.0.0.1:1")}
		n.ranking.Know(ranking.Node{Address: n.address, DataCentre: "a", Service: "s"})
		n.bulletin = &bulletin.Bulletin{
			Self: n.address, DataCentre: "a", Loads: n, Log: zerolog.New(io.Discard),
			Stamp: func(time.Time) freshness.Stamp { return freshness.Stamp{} },
		}
		reply, err := n.bulletin.Answer(time.Now(), payload)
		if err == nil && len(reply) == 0 {
			t.Error("got an empty reply, want the load of the node")
		}
	})
}
