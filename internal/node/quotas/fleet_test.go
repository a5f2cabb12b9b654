package quotas

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/contact"
	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/limit/waitline"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

// fakeFleet is a fleet of Enforcers without a network. It runs in a bubble of synctest.
type fakeFleet struct {
	mu       sync.Mutex
	nodes    []*fakeNode
	homes    []netip.AddrPort // That all nodes know.
	snapshot *snapshot.Snapshot
	asks     int
	begins   []time.Time // When requests were admitted.
	oldHome  bool        // Homes are of the release before places.
}

// fakeNode is one node, and its place in the faults.
type fakeNode struct {
	fleet    *fakeFleet
	address  netip.AddrPort
	enforcer *Enforcer
	dead     bool
	reply    []byte       // To all questions; nil for its Enforcer's.
	frozen   time.Time    // Until when it does not answer.
	cutFrom  map[int]bool // Nodes that do not get what it sends.
	heard    []time.Time  // When it heard of each node.
}

const messageDelay = 3 * time.Millisecond

// newFakeFleet starts a fleet that gossips until the test ends.
func newFakeFleet(t *testing.T, count int, rate float64, burst int) *fakeFleet {
	f := &fakeFleet{}
	f.setLimit(rate, burst)
	for i := range count {
		n := &fakeNode{fleet: f, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), cutFrom: make(map[int]bool), heard: make([]time.Time, count)}
		f.nodes, f.homes = append(f.nodes, n), append(f.homes, n.address)
		for j := range n.heard {
			n.heard[j] = time.Now()
		}
		n.start()
	}
	go f.gossip(t.Context())
	return f
}

func (f *fakeFleet) setLimit(rate float64, burst int) {
	s := snapshot.Compile(set.Set{
		Customers: []set.Customer{{Name: customer, Limit: "l"}}, Limits: []set.Limit{{Name: "l", Rate: rate, Burst: burst}},
	}, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = s
}

// start starts a process of the node, without the state of the one before.
func (n *fakeNode) start() {
	f := n.fleet
	n.enforcer = &Enforcer{
		Self: n.address, Mesh: n, Log: zerolog.New(io.Discard), Nodes: func() int { return len(f.nodes) },
		Stamp: func(time.Time) freshness.Stamp { return freshness.Stamp{} }, OnConfigStamp: func(netip.AddrPort, time.Time, freshness.Stamp) {},
		Homes: func() []netip.AddrPort { f.mu.Lock(); defer f.mu.Unlock(); return f.homes },
		Snapshot: func() *snapshot.Snapshot {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.snapshot
		},
		View: n.view,
	}
}

// home returns the home of the customer, and the index of its node.
func (f *fakeFleet) home() (*fakeNode, int) {
	a, _ := rendezvous.Key(customer).Pick(f.homes)
	i := slices.IndexFunc(f.nodes, func(n *fakeNode) bool { return n.address == a })
	return f.nodes[i], i
}

// gossip lets the nodes hear of one another, every interval, until ctx ends.
func (f *fakeFleet) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		for i, to := range f.nodes {
			for j, from := range f.nodes {
				if !from.dead && !to.dead && !from.cutFrom[i] && !from.frozen.After(time.Now()) {
					to.heard[j] = time.Now()
				}
			}
		}
		f.mu.Unlock()
		timer.Sleep(ctx, 400*time.Millisecond)
	}
}

func (n *fakeNode) view(now time.Time) contact.View {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	v := contact.View{Interval: 400 * time.Millisecond, Silence: time.Hour}
	for i, other := range n.fleet.nodes {
		if other != n {
			v.Near = append(v.Near, now.Sub(n.heard[i]))
			v.Silence = min(v.Silence, now.Sub(n.heard[i]))
		}
	}
	return v
}

// Ask implements Mesh.
func (n *fakeNode) Ask(ctx context.Context, to netip.AddrPort, kind question.Kind, payload []byte) ([]byte, error) {
	f := n.fleet
	reply := make(chan []byte, 1)
	self := slices.Index(f.addresses(), n.address)
	i := slices.Index(f.addresses(), to)
	f.mu.Lock()
	f.asks++
	other := f.nodes[i]
	lost := other.dead || n.cutFrom[i]
	f.mu.Unlock()
	if !lost {
		go func() {
			time.Sleep(messageDelay)
			f.mu.Lock()
			thaw, e, old := time.Until(other.frozen), other.enforcer, f.oldHome
			f.mu.Unlock()
			time.Sleep(thaw)
			b, err := other.answer(ctx, e, kind, payload, old)
			time.Sleep(messageDelay)
			f.mu.Lock()
			defer f.mu.Unlock()
			if err == nil && !other.cutFrom[self] && !other.dead {
				reply <- b
			}
		}()
	}
	select {
	case b := <-reply:
		return b, nil
	case <-ctx.Done():
		return nil, errors.New("no reply")
	}
}

func (n *fakeNode) answer(ctx context.Context, e *Enforcer, kind question.Kind, payload []byte, old bool) ([]byte, error) {
	if n.reply != nil {
		return n.reply, nil
	}
	if old {
		m := new(peerpb.TokenRequest)
		_ = proto.Unmarshal(payload, m)
		payload, _ = proto.Marshal(&peerpb.TokenRequest{Customer: m.GetCustomer(), Count: m.GetCount(), Asker: m.GetAsker()})
	}
	if kind == question.SubstituteTokens {
		return e.AnswerSubstituteTokens(context.WithoutCancel(ctx), payload)
	}
	return e.AnswerTokens(time.Now(), payload)
}

func (f *fakeFleet) addresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, n := range f.nodes {
		list = append(list, n.address)
	}
	return list
}

// send sends a request at a node. It returns its error and how long it waited.
func (f *fakeFleet) send(ctx context.Context, n *fakeNode, wait time.Duration) (time.Duration, error) {
	began := time.Now()
	f.mu.Lock()
	e := n.enforcer
	f.mu.Unlock()
	err := e.AdmitWithin(ctx, customer, waitline.Ask{Wait: wait})
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && n.enforcer == e && !n.dead {
		f.begins = append(f.begins, time.Now())
	}
	return time.Since(began), err
}

// flood sends requests at random nodes, a number a second, and calls end with the outcome of each.
func (f *fakeFleet) flood(t *testing.T, length time.Duration, perSecond int, wait func(*rand.Rand) time.Duration, end func(n int, waited time.Duration, err error)) {
	random := rand.New(rand.NewPCG(1, 2))
	var sending sync.WaitGroup
	gap := time.Second / time.Duration(perSecond)
	for range int(length / gap) {
		n, d := random.IntN(len(f.nodes)), wait(random)
		sending.Go(func() {
			waited, err := f.send(t.Context(), f.nodes[n], d)
			f.mu.Lock()
			defer f.mu.Unlock()
			if end != nil {
				end(n, waited, err)
			}
		})
		time.Sleep(gap)
	}
	sending.Wait()
}

// most returns the most requests that began in any window of a length whose begin is allowed.
func (f *fakeFleet) most(length time.Duration, from func(time.Time) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortFunc(f.begins, time.Time.Compare)
	most := 0
	for i, begin := range f.begins {
		if !from(begin) {
			continue
		}
		j, _ := slices.BinarySearchFunc(f.begins, begin.Add(length), time.Time.Compare)
		most = max(most, j-i)
	}
	return most
}
