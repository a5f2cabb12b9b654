package retrybudget_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/callorigin"
	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/node/retrybudget"
	"filbertturn.example/filbertturn/internal/peer/cooldown"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

const service = "s"

// node handles the requests for retry grants of other nodes.
type node struct{ *retrybudget.Budget }

func (n *node) Answer(_ context.Context, _ uint32, payload []byte) ([]byte, error) {
	return n.Budget.Answer(time.Now(), payload)
}

func (n *node) Serve(context.Context, *peerpb.RequestHead, *link.Stream) {}

// startNodes starts count nodes that share a reserve of 60 retries, half of it pooled. The
// first one returned is the service's home.
func startNodes(t *testing.T, count int) ([]*retrybudget.Budget, []net.Listener) {
	t.Helper()
	var list []*retrybudget.Budget
	var listeners []net.Listener
	var addresses []netip.AddrPort
	for range count {
		n := &node{&retrybudget.Budget{
			Log:   zerolog.New(io.Discard),
			Homes: func() []netip.AddrPort { return addresses },
			Limits: func() retrylimit.Limits {
				return retrylimit.Limits{Ratio: 0.2, Reserve: 60, Window: time.Minute, Nodes: count, Pooled: 0.5}
			},
		}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n.Self, n.Mesh = netip.MustParseAddrPort(l.Addr().String()), link.New(nil, nil, n)
		go n.Mesh.Serve(l)
		t.Cleanup(func() { _ = l.Close(); n.Mesh.Close() })
		list, listeners, addresses = append(list, n.Budget), append(listeners, l), append(addresses, n.Self)
	}
	homeAddress, _ := rendezvous.Key(service).Pick(addresses)
	for i, r := range list {
		if r.Self == homeAddress {
			list[0], list[i], listeners[0], listeners[i] = list[i], list[0], listeners[i], listeners[0]
		}
	}
	return list, listeners
}

// countAllowed returns the number of retries that a node is allowed. It stops at the second
// denial in a row: one may come from a home that was too busy to answer in time, which is
// asked again after a pause.
func countAllowed(t *testing.T, r *retrybudget.Budget) int {
	t.Helper()
	n := 0
	for denied := 0; denied < 2; {
		if _, ok := r.Allow(t.Context(), retrylimit.Retry{Service: service}); ok {
			n, denied = n+1, 0
			continue
		}
		denied++
		time.Sleep(cooldown.Duration)
	}
	return n
}

// TestBudget_Allow checks the budget when failures affect the callers of one node only: it
// gets the whole pool of a new home, seven retries, beyond its share of two, and the other
// nodes keep their shares.
func TestBudget_Allow(t *testing.T) {
	nodes, _ := startNodes(t, 12)
	if got := countAllowed(t, nodes[1]); got != 9 {
		t.Errorf("got %d retries at a node that asks the home, want 9", got)
	}
	if got := countAllowed(t, nodes[2]); got != 2 {
		t.Errorf("got %d retries with the pool exhausted, want the node's share of 2", got)
	}
	if got := countAllowed(t, nodes[0]); got != 2 {
		t.Errorf("got %d retries at the home with the pool exhausted, want its share of 2", got)
	}
}

// TestBudget_Allow_homeUnreachable checks that a node whose home does not answer still has
// its share, and does not ask the home again for every retry.
func TestBudget_Allow_homeUnreachable(t *testing.T) {
	nodes, listeners := startNodes(t, 12)
	_ = listeners[0].Close()
	started := time.Now()
	got := 0
	for range 20 {
		if _, ok := nodes[1].Allow(t.Context(), retrylimit.Retry{Service: service}); ok {
			got++
		}
	}
	if want := 2; got != want {
		t.Errorf("got %d retries, want the node's share of %d", got, want)
	}
	if took := time.Since(started); took > 500*time.Millisecond {
		t.Errorf("got 20 decisions after %s, want the unreachable home asked at most once a second", took)
	}
}

// TestBudget_Allow_calls checks that a retry gets what its calls need at another service as well, and that the
// home of its own service gets its grant back if the other one denies its part.
func TestBudget_Allow_calls(t *testing.T) {
	nodes, _ := startNodes(t, 12)
	retry := retrylimit.Retry{Service: service, Costs: callcost.Costs{{Service: "t", Level: 1, Calls: 2}}}
	got, denied := 0, ""
	for ok := true; ok; got++ {
		denied, ok = nodes[1].Allow(t.Context(), retry)
	}
	if got-1 != 4 || denied != "t" {
		t.Errorf("got %d retries, denied by %q, want 4: one from the share of t, three from its pool", got-1, denied)
	}
	for range 5 {
		if _, ok := nodes[1].Allow(t.Context(), retry); ok {
			t.Error("got another retry, want none")
		}
	}
	time.Sleep(200 * time.Millisecond) // Grants are given back in the background.
	if got := countAllowed(t, nodes[1]); got != 5 {
		t.Errorf("got %d retries without calls, want the 5 of 9 that are left", got)
	}
}

// TestBudget_RecordFirstAttempt_unpaid guards against other nodes that use the whole budget while calls that nobody has
// paid for exceed the share of one.
func TestBudget_RecordFirstAttempt_unpaid(t *testing.T) {
	nodes, _ := startNodes(t, 12)
	for range 12 {
		nodes[1].RecordFirstAttempt(service, callorigin.Origin{RetryProbability: 1, Unpaid: 1})
	}
	time.Sleep(time.Second) // The home is told in the background.
	if got := countAllowed(t, nodes[2]); got > 2 {
		t.Errorf("got %d retries at another node, want its share of 2 at most", got)
	}
}
