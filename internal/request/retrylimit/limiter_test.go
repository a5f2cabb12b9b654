package retrylimit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

// TestLimiter_AllowRetry_burst checks that after a time without retries a node may make
// all retries that its requests of the window allow at once, as is needed when a service
// begins to hang.
func TestLimiter_AllowRetry_burst(t *testing.T) {
	limits := retrylimit.Limits{Ratio: 0.2, Reserve: 60, Window: 10 * time.Second, Nodes: 30}
	var l retrylimit.Limiter
	now := time.Unix(1000, 0)
	for range 30 {
		now = now.Add(300 * time.Millisecond)
		l.RecordFirstAttempt(now, limits, 0)
	}
	got := 0
	for allow(&l, now, limits) {
		got++
	}
	if got < 5 || got > 8 {
		t.Errorf("got %d retries at once after 30 requests, want 5 to 8", got)
	}
	if allow(&l, now.Add(5*time.Second), limits) {
		t.Error("got another retry within the window, want none")
	}
	if !allow(&l, now.Add(11*time.Second), limits) {
		t.Error("got no retry after the window, want one")
	}
}

// TestLimiter_AllowRetry simulates nodes that retry whenever they may. Some of their
// requests are calls made by retries. It checks that no window holds more retries,
// including those calls, than the limits of the service allow.
func TestLimiter_AllowRetry(t *testing.T) {
	const callsOfRetries = 16 // One request in 16 is a call made by a retry.
	rapid.Check(t, func(t *rapid.T) {
		limits := retrylimit.Limits{Ratio: 0.2, Reserve: 60, Window: 10 * time.Second, Nodes: rapid.IntRange(1, 40).Draw(t, "nodes")}
		nodes := make([]retrylimit.Limiter, limits.Nodes)
		start := time.Unix(1000, 0)
		var requests, retries []time.Time
		now := start
		for r := range 2000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond)
			i := rapid.IntRange(0, limits.Nodes-1).Draw(t, "node")
			n := &nodes[i]
			limits.Rounding = (float64(i) + 0.5) / float64(limits.Nodes)
			if r%callsOfRetries == 0 {
				n.RecordFirstAttempt(now, limits, 1)
				retries = append(retries, now)
			} else {
				n.RecordFirstAttempt(now, limits, 0)
			}
			requests = append(requests, now)
			if allow(n, now, limits) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			got := countWithin(retries, end.Add(-limits.Window), end)
			want := limits.Ratio*float64(countWithin(requests, end.Add(-limits.Window), end)) + limits.Reserve
			if float64(got) > want {
				t.Fatalf("got %d retries in the window that ends after %s, want at most %g", got, end.Sub(start), want)
			}
		}
	})
}

// TestLimits_ForPool simulates failures that only the callers of some nodes see, so that
// these nodes use the pool, while the keeper of the pool is replaced now and then. It
// checks that no window holds more retries than the limits allow.
func TestLimits_ForPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := retrylimit.Limits{Ratio: 0.2, Reserve: 60, Window: 10 * time.Second, Nodes: rapid.IntRange(2, 40).Draw(t, "nodes"), Pooled: 0.5}
		affected := rapid.IntRange(1, limits.Nodes).Draw(t, "struck")
		nodes := make([]retrylimit.Limiter, limits.Nodes)
		var pool retrylimit.Limiter
		start := time.Unix(1000, 0)
		keptSince := start.Add(-limits.Window)
		var requests, retries []time.Time
		now := start
		for r := range 2000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond)
			if now.Sub(keptSince) > 2*limits.Window && r%100 == 0 {
				pool, keptSince = retrylimit.Limiter{}, now
			}
			i := rapid.IntRange(0, limits.Nodes-1).Draw(t, "node")
			limits.Rounding = (float64(i) + 0.5) / float64(limits.Nodes)
			nodes[i].RecordFirstAttempt(now, limits, 0)
			requests = append(requests, now)
			if i < affected && (allow(&nodes[i], now, limits) || allow(&pool, now, limits.ForPool(now.Sub(keptSince)))) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			got := countWithin(retries, end.Add(-limits.Window), end)
			want := limits.Ratio*float64(countWithin(requests, end.Add(-limits.Window), end)) + limits.Reserve
			if float64(got) > want {
				t.Fatalf("got %d retries in the window that ends after %s, want at most %g", got, end.Sub(start), want)
			}
		}
	})
}

// TestLimits_ForPool_newKeeper checks that the sum of all retries keeps to the reserve if the
// keeper of the pool is replaced after it has granted the whole pool, in a window in which
// all nodes use their own shares.
func TestLimits_ForPool_newKeeper(t *testing.T) {
	const nodes = 30
	limits := retrylimit.Limits{Reserve: 60, Window: 10 * time.Second, Nodes: nodes, Pooled: 0.5}
	now := time.Unix(1000, 0)
	got := 0
	use := func(limits retrylimit.Limits) {
		for l := new(retrylimit.Limiter); allow(l, now, limits); {
			got++
		}
	}
	for i := range nodes {
		limits.Rounding = float64(i) / nodes
		use(limits)
	}
	use(limits.ForPool(time.Minute))
	use(limits.ForPool(0))
	if want := 60; got > want {
		t.Errorf("got %d retries in a window, want at most %d", got, want)
	}
}

// TestLimits_ForPool_failuresAtFewNodes guards against retries that are denied while the
// fleet's budget is not used up. A quarter of the requests fails at three of thirty nodes;
// with a reserve that is fully divided among the nodes, their own shares are too small.
func TestLimits_ForPool_failuresAtFewNodes(t *testing.T) {
	const nodes, affected = 30, 3
	countDenied := func(pooled float64) (denied int) {
		limits := retrylimit.Limits{Ratio: 0.2, Reserve: 60, Window: 10 * time.Second, Nodes: nodes, Pooled: pooled, Rounding: 0.5}
		var list [affected]retrylimit.Limiter
		var pool retrylimit.Limiter
		now := time.Unix(1000, 0)
		for r := range 300 {
			now = now.Add(100 * time.Millisecond)
			for i := range list {
				l := &list[i]
				l.RecordFirstAttempt(now, limits, 0)
				if r%4 == 0 && !allow(l, now, limits) && !allow(&pool, now, limits.ForPool(time.Minute)) {
					denied++
				}
			}
		}
		return denied
	}
	if got := countDenied(0); got < 20 {
		t.Errorf("got %d of 225 retries denied with a divided reserve, want at least 20; the load is too light", got)
	}
	if got := countDenied(0.5); got > 5 {
		t.Errorf("got %d of 225 retries denied with a pool, want at most 5", got)
	}
}

// TestLimiter_AllowRetry_largeFleet checks that the nodes of a large fleet, each of which may
// make two or three retries in a window, can use most of the budget together.
func TestLimiter_AllowRetry_largeFleet(t *testing.T) {
	const nodes, requests = 234, 8
	limits := retrylimit.Limits{Ratio: 0.2, Reserve: 430, Window: 10 * time.Second, Nodes: nodes}
	now := time.Unix(1000, 0)
	got := 0
	for i := range nodes {
		var l retrylimit.Limiter
		limits.Rounding = float64(i) / nodes
		for range requests {
			l.RecordFirstAttempt(now, limits, 0)
		}
		for allow(&l, now, limits) {
			got++
		}
	}
	budget := limits.Ratio*nodes*requests + limits.Reserve
	if least := 0.8 * budget; float64(got) < least || float64(got) > budget {
		t.Errorf("got %d retries, want %g to %g", got, least, budget)
	}
}

// allow reports whether a retry that makes no calls is allowed.
func allow(l *retrylimit.Limiter, now time.Time, limits retrylimit.Limits) bool {
	_, ok := l.AllowRetry(now, limits, 1)
	return ok
}

// countWithin returns the number of times after from and not after to.
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}
