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

// sequence is an owner that answers its requests with the given ends in turn:
// a status, or a kind of failure.
type sequence struct {
	fake
	ends []any
}

func (s *sequence) Serve(context.Context, *call.Call, io.Reader) (*exchange.Response, error) {
	end := s.ends[0]
	s.ends = s.ends[1:]
	if k, failed := end.(kind.Kind); failed {
		return nil, failure.New(k, "", nil)
	}
	return &exchange.Response{
		Status: end.(int), Header: make(http.Header), ContentLength: -1,
		Body: io.NopCloser(strings.NewReader("")), Trailer: func() http.Header { return nil },
	}, nil
}

// TestForwarder_Forward_outcome checks what a caller is told after several
// attempts: never that the request did not run when an earlier one may have.
func TestForwarder_Forward_outcome(t *testing.T) {
	tests := []struct {
		desc string
		ends []any
		want any
	}{
		{desc: "lost, then refused", ends: []any{kind.LostPeer, kind.NoCapacity, kind.NoCapacity}, want: kind.LostPeer},
		{desc: "refused, then lost", ends: []any{kind.NoCapacity, kind.LostPeer, kind.NoCapacity}, want: kind.LostPeer},
		{desc: "refused", ends: []any{kind.NoCapacity, kind.UnreachablePeer, kind.NoCapacity}, want: kind.NoCapacity},
		{desc: "error status, then refused", ends: []any{500, kind.NoCapacity, kind.NoCapacity}, want: 500},
		{desc: "error status, then lost", ends: []any{502, kind.LostPeer, kind.NoCapacity}, want: 502},
		{desc: "lost, then answered", ends: []any{kind.LostPeer, 200}, want: 200},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := &sequence{ends: tt.ends}
			f := newForwarder(&s.fake)
			f.Owner = s
			answer, err := f.Forward(t.Context(), &call.Call{Method: "GET", Idempotent: true}, nil)
			var got any
			if err != nil {
				got = failure.From(err).Kind
			} else {
				got = answer.Status
			}
			if got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
