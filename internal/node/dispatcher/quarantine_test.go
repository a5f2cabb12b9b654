package dispatcher_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// fakeQuarantine has the verdicts of a test. Its fields are used by one request at a time.
type fakeQuarantine struct {
	verdict   blame.Verdict
	crashedAt []netip.AddrPort
	refusal   kind.Kind // Failure of Admit for suspects; Internal for none.
	homeKnows bool      // Only the home of the request suspects it.
	trials    int       // Trials begun.
	ended     int
}

func (q *fakeQuarantine) Verdict(fingerprint.Fingerprint) blame.Verdict { return q.verdict }

func (q *fakeQuarantine) CrashedAt(fingerprint.Fingerprint) []netip.AddrPort { return q.crashedAt }

func (q *fakeQuarantine) Admit(_ context.Context, o *order.Order, suspected bool) (func(), error) {
	o.Trial = false
	switch {
	case q.verdict == blame.Quarantined:
		return nil, failure.New(kind.Quarantined, "", nil)
	case q.verdict == blame.Clear && !suspected && !q.homeKnows:
		return func() {}, nil
	case q.refusal != kind.Internal:
		return nil, failure.New(q.refusal, "", nil)
	}
	q.trials++
	o.Trial = true
	return func() { q.ended++ }, nil
}

// TestDispatcher_Forward_quarantine checks how often a request is sent that may crash backend servers, and
// what its caller is told.
func TestDispatcher_Forward_quarantine(t *testing.T) {
	crash, good := kind.CrashedBackendServer, kind.Internal
	tests := []struct {
		desc       string
		quarantine fakeQuarantine
		first      kind.Kind // How runs at the first owner end; the second one answers.
		idempotent bool
		wantFirst  int64
		wantSecond int64
		wantTrials int
		wantEnds   int       // Trials whose home may let another run begin.
		want       kind.Kind // Internal for a response.
	}{
		{"clear", fakeQuarantine{}, good, true, 1, 0, 0, 0, kind.Internal},
		{"quarantined", fakeQuarantine{verdict: blame.Quarantined}, good, true, 0, 0, 0, 0, kind.Quarantined},
		{"suspected", fakeQuarantine{verdict: blame.Suspected}, good, true, 1, 0, 1, 1, kind.Internal},
		{"suspected, another run takes place", fakeQuarantine{verdict: blame.Suspected, refusal: kind.Suspected}, good, true, 0, 0, 0, 0, kind.Suspected},
		{"crash, idempotent", fakeQuarantine{}, crash, true, 1, 1, 1, 1, kind.Internal},
		{"crash, runs once", fakeQuarantine{}, crash, false, 1, 0, 0, 0, crash},
		{"crash, the repeat is quarantined", fakeQuarantine{refusal: kind.Quarantined}, crash, true, 1, 0, 0, 0, crash},
		{"crash, another run takes place", fakeQuarantine{refusal: kind.Suspected}, crash, true, 1, 0, 0, 0, crash},
		{"suspected, the connection is lost", fakeQuarantine{verdict: blame.Suspected}, kind.BrokenAnswer, true, 1, 0, 1, 0, kind.BrokenAnswer},
		{"suspected, the peer is lost", fakeQuarantine{verdict: blame.Suspected}, kind.LostPeer, true, 1, 0, 1, 0, kind.LostPeer},
		{"unknown here, suspected by the owner", fakeQuarantine{}, kind.Suspected, true, 1, 1, 1, 1, kind.Internal},
		{"quarantined by the owner", fakeQuarantine{}, kind.Quarantined, true, 1, 0, 0, 0, kind.Quarantined},
	}
	for _, tt := range tests {
		first, second := &fakeOwner{status: 200, kind: tt.first}, &fakeOwner{status: 200}
		d := newDispatcher(t, first, second)
		d.Quarantine = &tt.quarantine
		r := newRequest(tt.idempotent, "")
		r.Order.Fingerprint = fingerprint.Fingerprint{1}
		response, err := d.Forward(t.Context(), r)
		got := kind.Internal
		if err != nil {
			got = failure.From(err).Kind
		} else {
			_ = response.Body.Close()
		}
		if got != tt.want {
			t.Errorf("%s: got %v, want %s", tt.desc, err, tt.want)
		}
		if a, b := first.runs.Load(), second.runs.Load(); a != tt.wantFirst || b != tt.wantSecond {
			t.Errorf("%s: got %d and %d runs, want %d and %d", tt.desc, a, b, tt.wantFirst, tt.wantSecond)
		}
		if q := tt.quarantine; q.trials != tt.wantTrials || q.ended != tt.wantEnds {
			t.Errorf("%s: got %d trials, of which %d ended, want %d and %d", tt.desc, q.trials, q.ended, tt.wantTrials, tt.wantEnds)
		}
		if f := failure.From(err); got == kind.Quarantined && f.RetryAfter != 0 {
			t.Errorf("%s: got the retry delay %s, want none: the refusal is final", tt.desc, f.RetryAfter)
		}
	}
}

// TestDispatcher_Forward_trialElsewhere guards against a second run beside the backend server that crashed:
// it might have crashed on its own, and only a crash of another one tells.
func TestDispatcher_Forward_trialElsewhere(t *testing.T) {
	first, second := &fakeOwner{status: 200}, &fakeOwner{status: 200}
	d := newDispatcher(t, first, second)
	var crashed []netip.AddrPort
	for _, l := range d.Loads(time.Now(), "a", time.Minute) {
		crashed = append(crashed, l.Address)
	}
	d.Quarantine = &fakeQuarantine{verdict: blame.Suspected, crashedAt: crashed}
	r := newRequest(true, "")
	r.Order.Fingerprint = fingerprint.Fingerprint{1}
	response, err := d.Forward(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got := second.runs.Load(); got != 1 {
		t.Errorf("got %d runs elsewhere and %d beside the crash, want 1 and 0", got, first.runs.Load())
	}
}

// TestDispatcher_Forward_trialNotHedged checks that a suspected request is not hedged.
func TestDispatcher_Forward_trialNotHedged(t *testing.T) {
	for _, q := range []*fakeQuarantine{{verdict: blame.Suspected}, {homeKnows: true}} {
		first, second := &fakeOwner{hang: true}, &fakeOwner{status: 200}
		d := newDispatcher(t, first, second)
		d.Quarantine = q
		r := newRequest(true, "")
		r.Order.Fingerprint = fingerprint.Fingerprint{1}
		ctx, cancel := context.WithDeadline(t.Context(), r.Order.Due.Add(r.Order.Objective))
		_, err := d.Forward(ctx, r)
		cancel()
		if got := second.runs.Load(); got != 0 || err == nil {
			t.Errorf("suspected by its home alone: %t: got %d hedges and the error %v, want none", q.homeKnows, got, err)
		}
	}
}
