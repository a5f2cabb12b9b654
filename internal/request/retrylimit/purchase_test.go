package retrylimit_test

import (
	"slices"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

// source grants from limiters, of shares and of pools.
type source struct {
	now           time.Time
	shares, pools map[string]*retrylimit.Limiter
}

var (
	shareLimits = retrylimit.Limits{Reserve: 10, Window: 10 * time.Second, Nodes: 1, Pooled: 0.5}
	poolLimits  = shareLimits.ForPool(time.Minute)
)

func (s *source) Share(n retrylimit.Need) (retrylimit.Grant, bool) {
	return s.shares[n.Service].AllowRetry(s.now, shareLimits, n.Cost)
}

func (s *source) Pool(n retrylimit.Need) (retrylimit.Grant, bool) {
	return s.pools[n.Service].AllowRetry(s.now, poolLimits, n.Cost)
}

func (s *source) ReturnShare(service string, g retrylimit.Grant) {
	s.shares[service].GiveBack(s.now, shareLimits, g)
}

func (s *source) ReturnPool(service string, g retrylimit.Grant) {
	s.pools[service].GiveBack(s.now, poolLimits, g)
}

// TestBuy checks that a retry gets all that it needs or leaves the budgets as they were: what one service grants is
// given back if another one denies its part.
func TestBuy(t *testing.T) {
	s := &source{
		now:    time.Unix(1000, 0),
		shares: map[string]*retrylimit.Limiter{"a": {}, "b": {}}, pools: map[string]*retrylimit.Limiter{"a": {}, "b": {}},
	}
	needs := retrylimit.Retry{Service: "a", Costs: callcost.Costs{{Service: "b", Level: 1, Calls: 1}, {Service: "b", Level: 2, Calls: 1}}}.Needs()
	if want := []retrylimit.Need{{Service: "b", Cost: 2}, {Service: "a", Cost: 1}}; !slices.Equal(needs, want) {
		t.Fatalf("got the needs %v, want %v", needs, want)
	}
	got, denied := 0, ""
	for ok := true; ok; got++ {
		denied, ok = retrylimit.Buy(s, needs)
	}
	// A share or a pool of 4.25 holds two calls twice, so that a has four of its eight left.
	if got-1 != 4 || denied != "b" {
		t.Errorf("got %d retries, denied by %q, want 4, denied by b", got-1, denied)
	}
	for range 100 {
		retrylimit.Buy(s, needs)
	}
	left := 0
	for ok := true; ok; left++ {
		_, ok = retrylimit.Buy(s, []retrylimit.Need{{Service: "a", Cost: 1}})
	}
	if left-1 != 4 {
		t.Errorf("got %d retries that make no calls after retries that were denied, want 4", left-1)
	}
}

// TestLimiter_GiveBack guards against grants that are given back late or to another limiter, as by a home that has moved.
func TestLimiter_GiveBack(t *testing.T) {
	now := time.Unix(1000, 0)
	var l, other retrylimit.Limiter
	g, _ := l.AllowRetry(now, shareLimits, 3)
	other.GiveBack(now, shareLimits, g)
	if _, ok := other.AllowRetry(now, shareLimits, 5); ok {
		t.Error("got more than the limit after another limiter's grant was given back")
	}
	later := now.Add(shareLimits.Window + time.Second)
	l.AllowRetry(later, shareLimits, 3)
	l.GiveBack(later, shareLimits, g)
	if _, ok := l.AllowRetry(later, shareLimits, 3); ok {
		t.Error("got more than the limit after a grant of an earlier window was given back")
	}
}

// TestLimiter_Excess checks that calls that nobody has paid for are charged to the pool, and that nodes give up their parts
// of a pool that is overdrawn.
func TestLimiter_Excess(t *testing.T) {
	now := time.Unix(1000, 0)
	var share, pool retrylimit.Limiter
	for range 12 {
		share.RecordFirstAttempt(now, shareLimits, 1)
	}
	over := share.Excess(now, shareLimits)
	if over != 12-4.25 {
		t.Fatalf("got an excess of %g, want 7.75", over)
	}
	pool.Charge(now, poolLimits, over)
	share.Remove(now, shareLimits, over)
	if got := share.Excess(now, shareLimits); got > 1e-9 {
		t.Errorf("got an excess of %g after it was charged to the pool, want none", got)
	}
	var other retrylimit.Limiter
	other.NoteOverdrawn(now, pool.Overdrawn(now, poolLimits))
	if _, ok := other.AllowRetry(now, shareLimits, 1); ok {
		t.Error("got a retry from a share while the pool is overdrawn by 3.5 of 4.25, want none")
	}
	if _, ok := other.AllowRetry(now.Add(3*time.Second), shareLimits, 1); !ok {
		t.Error("got no retry 3 s after the pool was overdrawn, want one")
	}
}
