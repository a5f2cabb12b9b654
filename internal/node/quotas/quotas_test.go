package quotas

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

const customer = "counter"

// node answers the questions for tokens that reach it.
type node struct{ *Quotas }

func (n *node) Answer(ctx context.Context, kind uint32, payload []byte) ([]byte, error) {
	if kind == question.SubstituteTokens {
		return n.AnswerSubstitute(ctx, payload)
	}
	return n.Quotas.Answer(time.Now(), payload)
}

func (n *node) Serve(context.Context, *peerpb.RequestHead, *link.Stream) {}

// start runs some nodes that limit one customer to its burst and next to no rate.
// The first is the customer's home, and the second its substitute.
func start(t *testing.T, count, burst int) []*Quotas {
	t.Helper()
	s := snapshot.Compile(set.Set{
		Customers: []set.Customer{{Name: customer, Limit: "l"}}, Limits: []set.Limit{{Name: "l", Rate: 0.001, Burst: burst}},
	}, 1)
	var list []*Quotas
	var addresses []netip.AddrPort
	for range count {
		n := &node{&Quotas{
			Snapshot: func() *snapshot.Snapshot { return s }, Stamp: func(time.Time) freshness.Stamp { return freshness.Stamp{} },
			Log: zerolog.New(io.Discard), Heard: func(netip.AddrPort, time.Time, freshness.Stamp) {},
		}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n.Self, n.Mesh = netip.MustParseAddrPort(l.Addr().String()), link.New(nil, nil, n)
		go n.Mesh.Listen(l)
		t.Cleanup(func() { _ = l.Close(); n.Mesh.Close() })
		list, addresses = append(list, n.Quotas), append(addresses, n.Self)
	}
	for _, q := range list {
		q.Nodes = func() int { return count }
		q.Homes = func() []netip.AddrPort { return addresses }
	}
	var order []*Quotas
	for len(order) < count {
		next, _ := rendezvous.Key(customer).PickFunc(addresses, func(a netip.AddrPort) bool {
			return !slices.ContainsFunc(order, func(q *Quotas) bool { return q.Self == a })
		})
		order = append(order, list[slices.Index(addresses, next)])
	}
	return order
}

// cut lets a node have no answer from another one.
func (q *Quotas) cut(to *Quotas) {
	q.noteSilent(to.Self, time.Now().Add(time.Minute), nil)
}

// admitted returns the number of requests that are admitted until one is refused.
func admitted(t *testing.T, q *Quotas) int {
	t.Helper()
	for n := range 100 {
		if q.Admit(t.Context(), customer) != nil {
			return n
		}
	}
	t.Fatal("got 100 requests admitted")
	return 0
}

// TestQuotas_Admit_cut answers ways that are cut between single nodes: the home's
// bucket counts through the substitute.
func TestQuotas_Admit_cut(t *testing.T) {
	nodes := start(t, 5, 20)
	nodes[3].cut(nodes[0])
	const want = 6 // Three tenths of the burst, with which a home begins.
	if got := admitted(t, nodes[3]); got != want {
		t.Errorf("got %d requests through the substitute, want %d", got, want)
	}
	if got := admitted(t, nodes[2]); got != 0 {
		t.Errorf("got %d more requests of the home itself, want none", got)
	}
}

// TestQuotas_Admit_homeAway answers a home that is away: the nodes that notice
// share what they may admit.
func TestQuotas_Admit_homeAway(t *testing.T) {
	nodes := start(t, 5, 20)
	for _, q := range nodes[1:] {
		q.cut(nodes[0])
	}
	// Each brings one request, and the last two use what the others left.
	total := 0
	for _, q := range nodes[1:] {
		if q.Admit(t.Context(), customer) != nil {
			t.Errorf("%s: got a refusal of its own share", q.Self)
		}
		total++
	}
	total += admitted(t, nodes[4])
	if want := 4; total != want {
		t.Errorf("got %d requests of four shares, want %d", total, want)
	}
}

// TestQuotas_Admit_alone answers a node that reaches no other: it admits its share
// and does not wait for one node after the other.
func TestQuotas_Admit_alone(t *testing.T) {
	nodes := start(t, 8, 20)
	for _, q := range nodes[:maxSilent] {
		nodes[7].cut(q)
	}
	if got := admitted(t, nodes[7]); got != 1 {
		t.Errorf("got %d requests, want the share of one", got)
	}
}
