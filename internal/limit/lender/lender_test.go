package lender

import (
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/limit/loan"
	"filbertturn.example/filbertturn/internal/limit/share"
)

var (
	start       = time.Unix(1_800_000_000, 0)
	small       = share.Share{Rate: 1, Burst: 4}
	large       = share.Share{Rate: 1, Burst: 9}
	formerLoans = loan.PadForDrift(loan.DefaultLifetime)
)

func always(string) bool { return true }

func never(string) bool { return false }

// withFullBucket returns a Lender that holds a full bucket of a customer, and the
// time of its last ask.
func withFullBucket(s share.Share) (*Lender, time.Time) {
	h := &Lender{}
	h.ApplyHead(HeadChange{Sequence: 1, Epoch: 1})
	h.SetInForce(1, start)
	now := start.Add(time.Minute)
	h.Serve(now, s, ask(1, 0))
	return h, now
}

func ask(sequence uint64, tokens int) loan.Ask {
	return loan.Ask{
		Customer: "lodge", Sequence: sequence, Want: tokens, Need: tokens,
		Borrower: loan.Borrower{Address: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1},
	}
}

func TestLender_Serve(t *testing.T) {
	tests := []struct {
		desc    string
		share   share.Share
		next    *HeadChange // Head applied after the bucket was full, if any.
		inForce bool
		later   time.Duration // Time from the new head to the ask.
		want    int           // Tokens that are granted.
		refusal loan.Refusal
	}{
		{desc: "full bucket", share: small, want: 4},
		{desc: "no share", refusal: loan.NotHome},
		{desc: "kept before it is in force", share: small, next: &HeadChange{Sequence: 2, Epoch: 2, FromEpoch: 1, KeptShare: always}, want: 4},
		{desc: "new before it is in force", share: small, next: &HeadChange{Sequence: 2, Epoch: 2, FromEpoch: 1}, refusal: loan.NotActive},
		{desc: "new while old loans live", share: small, next: &HeadChange{Sequence: 2, Epoch: 2, FromEpoch: 1}, inForce: true, later: formerLoans - 1, refusal: loan.NotActive},
		{desc: "new after old loans", share: small, next: &HeadChange{Sequence: 2, Epoch: 2, FromEpoch: 1}, inForce: true, later: formerLoans, refusal: loan.Empty},
		{desc: "new for three seconds", share: small, next: &HeadChange{Sequence: 2, Epoch: 2, FromEpoch: 1}, inForce: true, later: formerLoans + 3*time.Second, want: 2},
		{desc: "an unknown roster between", share: small, next: &HeadChange{Sequence: 3, Epoch: 3, FromEpoch: 2, KeptShare: always}, inForce: true, later: formerLoans, refusal: loan.Empty},
		{desc: "another was home between", share: small, next: &HeadChange{Sequence: 2, Epoch: 2, FromEpoch: 1, KeptShare: never}, inForce: true, later: formerLoans, refusal: loan.Empty},
		{desc: "an older head", share: small, next: &HeadChange{Sequence: 1, Epoch: 1}, want: 4},
		{desc: "raised before it is in force", share: large, next: &HeadChange{Sequence: 2, Epoch: 1, FromEpoch: 1, KeptShare: always, ResizedShare: always}, later: time.Minute, want: 4},
		{desc: "changed in a head that was not run", share: small, next: &HeadChange{Sequence: 3, Epoch: 1, FromEpoch: 1, KeptShare: always, ResizedShare: always}, later: time.Minute, refusal: loan.NotActive},
		{desc: "raised", share: large, next: &HeadChange{Sequence: 2, Epoch: 1, FromEpoch: 1, KeptShare: always, ResizedShare: always}, inForce: true, later: formerLoans, want: 4},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			h, now := withFullBucket(small)
			if tc.next != nil {
				h.ApplyHead(*tc.next)
			}
			if tc.inForce {
				h.SetInForce(tc.next.Sequence, now)
			}
			h.Serve(now, tc.share, ask(2, 0))
			got := h.Serve(now.Add(tc.later), tc.share, ask(3, 20))
			if got.Tokens != tc.want || got.Refusal != tc.refusal {
				t.Errorf("got %+v, want %d tokens and refusal %v", got, tc.want, tc.refusal)
			}
		})
	}
}

// TestLender_Serve_shareUnknown guards against lending by a wrong share: the share
// changes twice without an ask in between, so the home doesn't know the share that
// is in force.
func TestLender_Serve_shareUnknown(t *testing.T) {
	h, now := withFullBucket(large)
	h.ApplyHead(HeadChange{Sequence: 2, Epoch: 1, FromEpoch: 1, KeptShare: always, ResizedShare: always})
	h.SetInForce(2, now)
	h.ApplyHead(HeadChange{Sequence: 3, Epoch: 1, FromEpoch: 1, KeptShare: always, ResizedShare: always})
	now = now.Add(formerLoans)
	if got := h.Serve(now, small, ask(2, 20)); got.Refusal != loan.NotActive {
		t.Errorf("got %+v, want it refused, since the share between is not known", got)
	}
	h.SetInForce(3, now)
	if got := h.Serve(now.Add(formerLoans), small, ask(3, 20)); got.Tokens != small.Burst {
		t.Errorf("got %+v, want the burst once the new share has begun", got)
	}
}

func TestLender_Serve_repeated(t *testing.T) {
	h, now := withFullBucket(large)
	first := h.Serve(now, large, ask(5, 3))
	if got := h.Serve(now, large, ask(5, 3)); got != first || got.Tokens != 3 {
		t.Errorf("got %+v for a repeated ask, want %+v", got, first)
	}
	if got := h.Serve(now, large, ask(4, 3)); got.Refusal != loan.Stale {
		t.Errorf("got %+v for an older ask, want it refused as stale", got)
	}
	if got := h.Serve(now, large, ask(6, 20)); got.Tokens != 6 {
		t.Errorf("got %+v, want the 6 tokens that are left", got)
	}
}

// TestLender_Serve_lowered guards against tokens above a lowered burst: they were
// lent before the limit was lowered and are returned after it.
func TestLender_Serve_lowered(t *testing.T) {
	h, now := withFullBucket(large)
	h.Serve(now, large, ask(2, 9))
	h.ApplyHead(HeadChange{Sequence: 2, Epoch: 1, FromEpoch: 1, KeptShare: always, ResizedShare: always})
	a := ask(3, 20)
	a.Settlements = []loan.Settlement{{Sequence: 2, Closed: true}}
	if got := h.Serve(now, small, a); got.Tokens != small.Burst {
		t.Errorf("got %+v, want no more than the burst of %d", got, small.Burst)
	}
}

func TestLender_Evict(t *testing.T) {
	h, now := withFullBucket(small)
	h.Serve(now, small, ask(2, 4))
	h.Evict(now.Add(4 * time.Second))
	if got := h.CustomerCount(); got != 1 {
		t.Errorf("got %d customers while the bucket fills, want 1", got)
	}
	now = now.Add(time.Minute)
	h.Evict(now)
	if got := h.CustomerCount(); got != 0 {
		t.Errorf("got %d customers after it was full for long, want 0", got)
	}
	if got := h.Serve(now, small, ask(3, 4)); got.Tokens != 4 {
		t.Errorf("got %+v for the next request, want a full bucket", got)
	}
}
