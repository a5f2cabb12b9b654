package quota_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/limit/quota"
)

func node(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

// TestSharedBucket_Take checks with nodes that ask at random, and wait for tokens or not, that
// every window has at most as many admitted requests as the shares of the asking nodes allow.
func TestSharedBucket_Take(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		nodes := rapid.IntRange(1, 30).Draw(t, "nodes")
		askers := rapid.IntRange(1, nodes).Draw(t, "askers")
		maxDelay := time.Duration(rapid.IntRange(0, 500).Draw(t, "maxDelay")) * time.Millisecond
		now := time.Unix(0, 0)
		var p quota.SharedBucket
		var admitted []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			wait, ok := p.Take(now, node(rapid.IntRange(0, askers-1).Draw(t, "asker")), rate, nodes, maxDelay)
			if ok != (wait <= maxDelay) {
				t.Fatalf("got a wait of %s and %v, want the request admitted if it waits %s at most", wait, ok, maxDelay)
			}
			if ok {
				admitted = append(admitted, now.Add(wait))
			}
		}
		slices.SortFunc(admitted, time.Time.Compare)
		share := rate / float64(nodes)
		for i, from := range admitted {
			for j, to := range admitted[i:] {
				want := float64(askers)*(1+share*to.Sub(from).Seconds()) + 1e-6
				if got := float64(j + 1); got > want {
					t.Fatalf("got %g requests in %s, want at most %g", got, to.Sub(from), want)
				}
			}
		}
	})
}

// TestSharedBucket_Take_wait checks that a request is admitted after the wait that a refused
// request was given.
func TestSharedBucket_Take_wait(t *testing.T) {
	var p quota.SharedBucket
	now := time.Unix(0, 0)
	var wait time.Duration
	for wait == 0 {
		wait, _ = p.Take(now, node(0), 10, 5, 0)
	}
	if got, _ := p.Take(now.Add(wait), node(0), 10, 5, 0); got != 0 {
		t.Errorf("after the time to come back: got a wait of %s, want 0", got)
	}
}

// TestSharedBucket_Take_evenLoad checks the loss of a home under a load of two thirds of the
// limit that is spread over all nodes: the combined bucket refuses at most one request in
// twenty, where the nodes' shares by themselves refuse many more.
func TestSharedBucket_Take_evenLoad(t *testing.T) {
	const nodes, rate, seconds = 30, 27.0, 20.0
	random := rand.New(rand.NewPCG(1, 0))
	var p quota.SharedBucket
	var alone [nodes]quota.Bucket
	now := time.Unix(0, 0)
	asked, refused, refusedAlone := 0, 0, 0
	for end := now.Add(seconds * time.Second); now.Before(end); asked++ {
		now = now.Add(time.Duration(random.ExpFloat64() / (rate * 2 / 3) * float64(time.Second)))
		n := random.IntN(nodes)
		if _, ok := p.Take(now, node(n), rate, nodes, 0); !ok {
			refused++
		}
		if _, ok := alone[n].TakeShare(now, rate, nodes, 0); !ok {
			refusedAlone++
		}
	}
	t.Logf("%d asked, %d refused, %d by each node alone", asked, refused, refusedAlone)
	if refused*20 > asked {
		t.Errorf("got %d of %d refused within the limit, want one in twenty at most", refused, asked)
	}
	if refusedAlone < 2*refused {
		t.Errorf("got %d refused by each node alone, want many more than %d", refusedAlone, refused)
	}
}
