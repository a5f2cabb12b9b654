package quotas

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const customer = "counter"

// node is a node of the test: its mesh answers token requests with its Enforcer.
type node struct{ *Enforcer }

func (n *node) Answer(ctx context.Context, kind uint32, payload []byte) ([]byte, error) {
	if kind == question.SubstituteTokens {
		return n.AnswerSubstituteTokens(ctx, payload)
	}
	return n.AnswerTokens(time.Now(), payload)
}

func (n *node) Serve(context.Context, *peerpb.RequestHead, *link.Stream) {}

// startNodes starts nodes with one customer whose rate is near zero, so that only
// the burst counts. The first node returned is the customer's home, the second its
// substitute, and so on.
func startNodes(t *testing.T, count, burst int) []*Enforcer {
	t.Helper()
	return startNodesAt(t, count, burst, 0.001)
}

// startNodesAt is startNodes with a rate of the customer.
func startNodesAt(t *testing.T, count, burst int, rate float64) []*Enforcer {
	t.Helper()
	s := snapshot.Compile(set.Set{
		Customers: []set.Customer{{Name: customer, Limit: "l"}}, Limits: []set.Limit{{Name: "l", Rate: rate, Burst: burst}},
	}, 1)
	var list []*Enforcer
	var addresses []netip.AddrPort
	for range count {
		n := &node{&Enforcer{
			Snapshot: func() *snapshot.Snapshot { return s }, Stamp: func(time.Time) freshness.Stamp { return freshness.Stamp{} },
			Log: zerolog.New(io.Discard), OnConfigStamp: func(netip.AddrPort, time.Time, freshness.Stamp) {},
		}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		mesh := link.New(nil, nil, n)
		n.Self, n.Mesh = netip.MustParseAddrPort(l.Addr().String()), mesh
		go mesh.Serve(l)
		t.Cleanup(func() { _ = l.Close(); mesh.Close() })
		list, addresses = append(list, n.Enforcer), append(addresses, n.Self)
	}
	for _, q := range list {
		q.Nodes = func() int { return count }
		q.Homes = func() []netip.AddrPort { return addresses }
	}
	var order []*Enforcer
	for len(order) < count {
		next, _ := rendezvous.Key(customer).PickFunc(addresses, func(a netip.AddrPort) bool {
			return !slices.ContainsFunc(order, func(q *Enforcer) bool { return q.Self == a })
		})
		order = append(order, list[slices.Index(addresses, next)])
	}
	return order
}

// cutOff makes q treat another node as unresponsive for a minute.
func (q *Enforcer) cutOff(to *Enforcer) {
	q.markUnresponsive(to.Self, time.Now().Add(time.Minute), nil)
}

// admitUntilRefused returns the number of requests that q admits before it refuses
// one.
func admitUntilRefused(t *testing.T, q *Enforcer) int {
	t.Helper()
	for n := range 100 {
		if q.Admit(t.Context(), customer) != nil {
			return n
		}
	}
	t.Fatal("got 100 requests admitted")
	return 0
}

// TestEnforcer_Admit_throughSubstitute checks a node that cannot reach the home while others can:
// its requests are admitted from the home's bucket through the substitute.
func TestEnforcer_Admit_throughSubstitute(t *testing.T) {
	nodes := startNodes(t, 5, 20)
	nodes[3].cutOff(nodes[0])
	const want = 6 // Three tenths of the burst, which the bucket of a new home holds.
	if got := admitUntilRefused(t, nodes[3]); got != want {
		t.Errorf("got %d requests through the substitute, want %d", got, want)
	}
	if got := admitUntilRefused(t, nodes[2]); got != 0 {
		t.Errorf("got %d more requests of the home itself, want none", got)
	}
}

// TestEnforcer_Admit_homeUnreachable checks a home that no node reaches: the nodes admit from
// their combined shares at the substitute.
func TestEnforcer_Admit_homeUnreachable(t *testing.T) {
	nodes := startNodes(t, 5, 20)
	for _, q := range nodes[1:] {
		q.cutOff(nodes[0])
	}
	// Each of the four nodes admits one request; then nothing is left.
	total := 0
	for _, q := range nodes[1:] {
		if q.Admit(t.Context(), customer) != nil {
			t.Errorf("%s: got a refusal of its own share", q.Self)
		}
		total++
	}
	total += admitUntilRefused(t, nodes[4])
	if want := 4; total != want {
		t.Errorf("got %d requests of four shares, want %d", total, want)
	}
}

// TestEnforcer_Admit_isolated checks a node that is cut off: it admits its own share, and
// does not wait for the timeout of one node after the other.
func TestEnforcer_Admit_isolated(t *testing.T) {
	nodes := startNodes(t, 8, 20)
	for _, q := range nodes[:maxUnresponsive] {
		nodes[7].cutOff(q)
	}
	if got := admitUntilRefused(t, nodes[7]); got != 1 {
		t.Errorf("got %d requests, want the share of one", got)
	}
}

// TestEnforcer_Admit_together guards against requests that are refused because they arrive together
// while the home does not answer, although their customer is far from its limit.
func TestEnforcer_Admit_together(t *testing.T) {
	const rate, nodes, requests = 300, 3, 8
	for _, desc := range []string{"at the substitute", "through the substitute"} {
		t.Run(desc, func(t *testing.T) {
			list := startNodesAt(t, nodes, 1000, rate)
			for _, q := range list[1:] {
				q.cutOff(list[0])
			}
			q := list[1]
			if desc == "through the substitute" {
				q = list[2]
			}
			var asking sync.WaitGroup
			for range requests {
				asking.Go(func() {
					if err := q.Admit(t.Context(), customer); err != nil {
						t.Errorf("got %+v, want the request admitted", err)
					}
				})
			}
			asking.Wait()
		})
	}
}

// TestEnforcer_Admit_ownShare checks a node that reaches no other and gets requests at the same time:
// they wait for its share of 100 a second, unless that takes longer than they have.
func TestEnforcer_Admit_ownShare(t *testing.T) {
	const nodes, wait = 5, 10 * time.Millisecond
	tests := []struct {
		desc     string
		requests int
		timeout  time.Duration
		want     int // Number of admitted requests.
	}{
		{"one", 1, time.Second, 1},
		{"as many as wait long enough", 10, time.Second, 10},
		{"a flood", 1000, time.Second, 10},
		{"a flood of requests with short deadlines", 1000, 25 * time.Millisecond, 3},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := snapshot.Compile(set.Set{
					Customers: []set.Customer{{Name: customer, Limit: "l"}}, Limits: []set.Limit{{Name: "l", Rate: nodes * float64(time.Second/wait), Burst: 1000}},
				}, 1)
				var addresses []netip.AddrPort
				for i := range nodes {
					addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80))
				}
				home, _ := rendezvous.Key(customer).Pick(addresses)
				q := &Enforcer{
					Nodes: func() int { return nodes }, Homes: func() []netip.AddrPort { return addresses },
					Snapshot: func() *snapshot.Snapshot { return s }, Log: zerolog.New(io.Discard),
				}
				for _, a := range addresses {
					if q.Self == (netip.AddrPort{}) && a != home {
						q.Self = a
						continue
					}
					q.markUnresponsive(a, time.Now(), nil)
				}
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
				defer cancel()
				var mu sync.Mutex
				var took []time.Duration
				var asking sync.WaitGroup
				for range tt.requests {
					asking.Go(func() {
						err := q.Admit(ctx, customer)
						mu.Lock()
						defer mu.Unlock()
						switch {
						case err == nil:
							took = append(took, time.Since(began))
						case failure.From(err).Kind != kind.LimitReached || time.Since(began) > 0:
							t.Errorf("got %v after %s, want %s at once", err, time.Since(began), kind.LimitReached)
						}
					})
				}
				asking.Wait()
				if len(took) != tt.want {
					t.Fatalf("got %d requests admitted, want %d", len(took), tt.want)
				}
				for i, got := range took {
					if want := time.Duration(i) * wait; got < want || got > want+time.Microsecond {
						t.Errorf("request %d: admitted after %s, want %s", i, got, want)
					}
				}
			})
		})
	}
}
