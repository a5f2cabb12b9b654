package retrylimit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

// TestAllowance_Repeat_burst checks that after a time without retries a node may make
// all retries that its requests of the window allow at once, as is needed when a service
// begins to hang.
func TestAllowance_Repeat_burst(t *testing.T) {
	terms := retrylimit.Limits{Ratio: 0.2, Reserve: 60, Window: 10 * time.Second, Nodes: 30}
	var a retrylimit.Limiter
	now := time.Unix(1000, 0)
	for range 30 {
		now = now.Add(300 * time.Millisecond)
		a.RecordFirstAttempt(now, terms, 0)
	}
	got := 0
	for a.AllowRetry(now, terms) {
		got++
	}
	if got < 5 || got > 8 {
		t.Errorf("got %d retries at once after 30 requests, want 5 to 8", got)
	}
	if a.AllowRetry(now.Add(5*time.Second), terms) {
		t.Error("got another retry within the window, want none")
	}
	if !a.AllowRetry(now.Add(11*time.Second), terms) {
		t.Error("got no retry after the window, want one")
	}
}

// TestAllowance_Repeat simulates nodes that retry whenever they may. Some of their
// requests are calls made by retries. It checks that no window holds more retries,
// including those calls, than the limits of the service allow.
func TestAllowance_Repeat(t *testing.T) {
	const callsOfRetries = 16 // One request in 16 is a call made by a retry.
	rapid.Check(t, func(t *rapid.T) {
		terms := retrylimit.Limits{Ratio: 0.2, Reserve: 60, Window: 10 * time.Second, Nodes: rapid.IntRange(1, 40).Draw(t, "nodes")}
		nodes := make([]retrylimit.Limiter, terms.Nodes)
		start := time.Unix(1000, 0)
		var requests, retries []time.Time
		now := start
		for r := range 2000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond)
			i := rapid.IntRange(0, terms.Nodes-1).Draw(t, "node")
			n := &nodes[i]
			terms.Rounding = (float64(i) + 0.5) / float64(terms.Nodes)
			if r%callsOfRetries == 0 {
				n.RecordFirstAttempt(now, terms, 1)
				retries = append(retries, now)
			} else {
				n.RecordFirstAttempt(now, terms, 0)
			}
			requests = append(requests, now)
			if n.AllowRetry(now, terms) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			got := countWithin(retries, end.Add(-terms.Window), end)
			want := terms.Ratio*float64(countWithin(requests, end.Add(-terms.Window), end)) + terms.Reserve
			if float64(got) > want {
				t.Fatalf("got %d retries in the window that ends after %s, want at most %g", got, end.Sub(start), want)
			}
		}
	})
}

// TestTerms_Pool simulates failures that only the callers of some nodes see, so that
// these nodes use the pool, while the keeper of the pool is replaced now and then. It
// checks that no window holds more retries than the limits allow.
func TestTerms_Pool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := retrylimit.Limits{Ratio: 0.2, Reserve: 60, Window: 10 * time.Second, Nodes: rapid.IntRange(2, 40).Draw(t, "nodes"), Pooled: 0.5}
		affected := rapid.IntRange(1, terms.Nodes).Draw(t, "struck")
		nodes := make([]retrylimit.Limiter, terms.Nodes)
		var pool retrylimit.Limiter
		start := time.Unix(1000, 0)
		keptSince := start.Add(-terms.Window)
		var requests, retries []time.Time
		now := start
		for r := range 2000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond)
			if now.Sub(keptSince) > 2*terms.Window && r%100 == 0 {
				pool, keptSince = retrylimit.Limiter{}, now
			}
			i := rapid.IntRange(0, terms.Nodes-1).Draw(t, "node")
			terms.Rounding = (float64(i) + 0.5) / float64(terms.Nodes)
			nodes[i].RecordFirstAttempt(now, terms, 0)
			requests = append(requests, now)
			if i < affected && (nodes[i].AllowRetry(now, terms) || pool.AllowRetry(now, terms.ForPool(now.Sub(keptSince)))) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			got := countWithin(retries, end.Add(-terms.Window), end)
			want := terms.Ratio*float64(countWithin(requests, end.Add(-terms.Window), end)) + terms.Reserve
			if float64(got) > want {
				t.Fatalf("got %d retries in the window that ends after %s, want at most %g", got, end.Sub(start), want)
			}
		}
	})
}

// TestTerms_Pool_newKeeper checks that the sum of all retries keeps to the reserve if the
// keeper of the pool is replaced after it has granted the whole pool, in a window in which
// all nodes use their own shares.
func TestTerms_Pool_newKeeper(t *testing.T) {
	const nodes = 30
	terms := retrylimit.Limits{Reserve: 60, Window: 10 * time.Second, Nodes: nodes, Pooled: 0.5}
	now := time.Unix(1000, 0)
	got := 0
	use := func(terms retrylimit.Limits) {
		for a := new(retrylimit.Limiter); a.AllowRetry(now, terms); {
			got++
		}
	}
	for i := range nodes {
		terms.Rounding = float64(i) / nodes
		use(terms)
	}
	use(terms.ForPool(time.Minute))
	use(terms.ForPool(0))
	if want := 60; got > want {
		t.Errorf("got %d retries in a window, want at most %d", got, want)
	}
}

// TestTerms_Pool_failuresAtFewNodes guards against retries that are denied while the
// fleet's budget is not used up. A quarter of the requests fails at three of thirty nodes;
// with a reserve that is fully divided among the nodes, their own shares are too small.
func TestTerms_Pool_failuresAtFewNodes(t *testing.T) {
	const nodes, affected = 30, 3
	countDenied := func(pooled float64) (denied int) {
		terms := retrylimit.Limits{Ratio: 0.2, Reserve: 60, Window: 10 * time.Second, Nodes: nodes, Pooled: pooled, Rounding: 0.5}
		var list [affected]retrylimit.Limiter
		var pool retrylimit.Limiter
		now := time.Unix(1000, 0)
		for r := range 300 {
			now = now.Add(100 * time.Millisecond)
			for i := range list {
				a := &list[i]
				a.RecordFirstAttempt(now, terms, 0)
				if r%4 == 0 && !a.AllowRetry(now, terms) && !pool.AllowRetry(now, terms.ForPool(time.Minute)) {
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

// TestAllowance_Repeat_largeFleet checks that the nodes of a large fleet, each of which may
// make two or three retries in a window, can use most of the budget together.
func TestAllowance_Repeat_largeFleet(t *testing.T) {
	const nodes, requests = 234, 8
	terms := retrylimit.Limits{Ratio: 0.2, Reserve: 430, Window: 10 * time.Second, Nodes: nodes}
	now := time.Unix(1000, 0)
	got := 0
	for i := range nodes {
		var a retrylimit.Limiter
		terms.Rounding = float64(i) / nodes
		for range requests {
			a.RecordFirstAttempt(now, terms, 0)
		}
		for a.AllowRetry(now, terms) {
			got++
		}
	}
	budget := terms.Ratio*nodes*requests + terms.Reserve
	if least := 0.8 * budget; float64(got) < least || float64(got) > budget {
		t.Errorf("got %d retries, want %g to %g", got, least, budget)
	}
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
