package quotas

import (
	"context"
	"math"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/check/odd"
	"filbertturn.example/filbertturn/internal/limit/waitline"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// rawPeer replies to all questions with the same bytes.
type rawPeer struct{ reply []byte }

func (p *rawPeer) Answer(context.Context, uint32, []byte) ([]byte, error) { return p.reply, nil }

func (p *rawPeer) Serve(context.Context, *peerpb.RequestHead, *link.Stream) {}

// startPeer starts a peer of a test and returns its address.
func startPeer(t *testing.T, p *rawPeer) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	other := link.New(nil, nil, p)
	go other.Serve(l)
	t.Cleanup(func() { _ = l.Close(); other.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestEnforcer_askToken_odd guards against grants that let callers wait for ever, or admit them without a
// token.
func TestEnforcer_askToken_odd(t *testing.T) {
	grant := func(g *peerpb.TokenGrant) []byte {
		b, _ := proto.Marshal(g)
		return b
	}
	tests := []struct {
		desc   string
		reply  []byte
		wantOK bool
	}{
		{"not a message", []byte("\xff\xff"), false},
		{"empty", nil, true},
		{"negative pause", grant(&peerpb.TokenGrant{RetryAfterNanos: math.MinInt64}), true},
		{"pause past all durations", grant(&peerpb.TokenGrant{RetryAfterNanos: math.MaxInt64}), true},
		{"proof of the future", grant(&peerpb.TokenGrant{Freshness: &peerpb.Freshness{Version: math.MaxUint64, AgeNanos: math.MinInt64}}), true},
	}
	for _, tt := range tests {
		q := startNodes(t, 1, 5)[0]
		to := startPeer(t, &rawPeer{tt.reply})
		got, ok := q.askToken(t.Context(), to, question.Tokens, customer, waitline.Ask{})
		if ok != tt.wantOK || ok && (got.admitted || got.wait <= 0 || got.wait > time.Hour) {
			t.Errorf("%s: got %+v and %v, want a bounded pause: %v", tt.desc, got, ok, tt.wantOK)
		}
	}
}

// TestEnforcer_AnswerTokens_odd guards against asks that no node sends, which would hold places for ever.
func TestEnforcer_AnswerTokens_odd(t *testing.T) {
	q := startNodes(t, 1, 5)[0]
	for _, m := range []*peerpb.TokenRequest{
		{WaitNanos: math.MinInt64, Priority: math.MinInt32},
		{WaitNanos: math.MaxInt64, Priority: math.MaxInt32},
		{WaitNanos: math.MaxInt64, Place: math.MaxUint64},
		{WaitNanos: -1, Place: 1},
	} {
		m.Customer = customer
		payload, _ := proto.Marshal(m)
		for range 5000 {
			reply, err := q.AnswerTokens(time.Now(), payload)
			g := new(peerpb.TokenGrant)
			if err != nil || proto.Unmarshal(reply, g) != nil {
				t.Fatalf("%v: got no answer: %v", m, err)
			}
			if g.GetPlace() != 0 && time.Duration(g.GetRetryAfterNanos()) > waitline.MaxWait {
				t.Fatalf("%v: got a place for %s", m, time.Duration(g.GetRetryAfterNanos()))
			}
		}
	}
}

// TestEnforcer_AdmitWithin_oddHome guards against a home whose answers let a request claim without end, or wait longer than it
// may.
func TestEnforcer_AdmitWithin_oddHome(t *testing.T) {
	for _, nanos := range []int64{math.MinInt64, 0, 1, math.MaxInt64} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(t, 3, 100, 10)
			reply, _ := proto.Marshal(&peerpb.TokenGrant{Place: 7, RetryAfterNanos: nanos})
			home, i := f.home()
			f.mu.Lock()
			home.reply = reply
			f.mu.Unlock()
			waited, err := f.send(t.Context(), f.nodes[(i+1)%3], time.Second)
			if got := failure.From(err); got.Kind != kind.LimitReached || waited > time.Second || f.asks > maxClaims+1 {
				t.Errorf("%d ns: got %v after %s and %d asks", nanos, err, waited, f.asks)
			}
		})
	}
}

// TestEnforcer_AnswerSubstituteTokens_odd guards against askers that no node can be, each of which would
// have a share of its own.
func TestEnforcer_AnswerSubstituteTokens_odd(t *testing.T) {
	q := startNodes(t, 3, 5)[1]
	tests := []struct {
		desc string
		m    *peerpb.TokenRequest
	}{
		{"no asker", &peerpb.TokenRequest{Customer: customer}},
		{"an asker of a megabyte", &peerpb.TokenRequest{Customer: customer, Asker: []byte(odd.Megabyte())}},
		{"port 0", &peerpb.TokenRequest{Customer: customer, Asker: []byte{10, 0, 0, 1, 0, 0}}},
		{"a customer of a megabyte", &peerpb.TokenRequest{Customer: odd.Megabyte(), Asker: []byte{10, 0, 0, 1, 0, 80}}},
	}
	for _, tt := range tests {
		payload, err := proto.Marshal(tt.m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := q.AnswerSubstituteTokens(t.Context(), payload); err == nil {
			t.Errorf("%s: got no error", tt.desc)
		}
	}
}

func FuzzEnforcer_AnswerTokens(f *testing.F) {
	good, _ := proto.Marshal(&peerpb.TokenRequest{Customer: customer, Asker: []byte{10, 0, 0, 1, 0, 80}})
	f.Add(good)
	f.Fuzz(func(t *testing.T, payload []byte) {
		q := startNodes(t, 1, 5)[0]
		_, _ = q.AnswerTokens(time.Now(), payload)
		_, _ = q.AnswerSubstituteTokens(t.Context(), payload)
	})
}

func FuzzEnforcer_askToken(f *testing.F) {
	good, _ := proto.Marshal(&peerpb.TokenGrant{Count: 1})
	f.Add(good)
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, reply []byte) {
		q := startNodes(t, 1, 5)[0]
		if got, ok := q.askToken(t.Context(), startPeer(t, &rawPeer{reply}), question.Tokens, customer, waitline.Ask{}); ok && (got.wait < 0 || got.wait > time.Hour) {
			t.Errorf("%q: got the pause %s", reply, got.wait)
		}
	})
}
