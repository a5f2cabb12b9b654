package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// scriptedOwner is an owner that returns the given outcomes in turn: a status code
// or a kind of failure.
type scriptedOwner struct {
	fakeOwner
	outcomes []any
}

func (s *scriptedOwner) Serve(context.Context, *call.Call, io.Reader) (*exchange.Response, error) {
	next := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	if k, failed := next.(kind.Kind); failed {
		return nil, failure.New(k, "", nil)
	}
	return &exchange.Response{
		Status: next.(int), Header: make(http.Header), ContentLength: -1,
		Body: io.NopCloser(strings.NewReader("")), Trailer: func() http.Header { return nil },
	}, nil
}

// TestForwarder_Forward_outcomeAfterRetries checks which outcome the caller gets after several
// attempts. It must not be one that claims that the request did not run if an
// earlier attempt may have run.
func TestForwarder_Forward_outcomeAfterRetries(t *testing.T) {
	tests := []struct {
		desc     string
		outcomes []any
		want     any
	}{
		{desc: "lost, then refused", outcomes: []any{kind.LostPeer, kind.NoCapacity, kind.NoCapacity}, want: kind.LostPeer},
		{desc: "refused, then lost", outcomes: []any{kind.NoCapacity, kind.LostPeer, kind.NoCapacity}, want: kind.LostPeer},
		{desc: "refused", outcomes: []any{kind.NoCapacity, kind.UnreachablePeer, kind.NoCapacity}, want: kind.NoCapacity},
		{desc: "error status, then refused", outcomes: []any{500, kind.NoCapacity, kind.NoCapacity}, want: 500},
		{desc: "error status, then lost", outcomes: []any{502, kind.LostPeer, kind.NoCapacity}, want: 502},
		{desc: "lost, then answered", outcomes: []any{kind.LostPeer, 200}, want: 200},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := &scriptedOwner{outcomes: tt.outcomes}
			f := newForwarder(&s.fakeOwner)
			f.Owner = s
			response, err := f.Forward(t.Context(), &call.Call{Method: "GET", Idempotent: true}, nil)
			var got any
			if err != nil {
				got = failure.From(err).Kind
			} else {
				got = response.Status
			}
			if got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
