package dispatcher

import (
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// TestRefusals_Error guards against a refusal with free slots whose reason the logs do not
// tell: the limit of the backend server.
func TestRefusals_Error(t *testing.T) {
	var r refusals
	r.add(netip.MustParseAddrPort("10.0.0.1:1"), order.Trusted, transport.OfferResult{
		Err:  failure.New(kind.NoCapacity, "", nil),
		Load: &scheduler.Load{Serving: true, Waiting: 4, Slots: 3, LimitInterval: 250 * time.Millisecond, LimitDelay: time.Second},
	})
	if got, want := r.Error(), "10.0.0.1:1 level 0: NoCapacity, serving true, 0+4 of 3 slots, failing 0.00, next start by its limit in 1s"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
