package transport_test

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/peer/transport"
)

// TestLoadFromProto guards against a part of a load that entries do not hear of.
func TestLoadFromProto(t *testing.T) {
	tests := []scheduler.Load{
		{},
		{Running: 2, Waiting: 3, Slots: 4, FailureProbability: 0.5, Serving: true, MeanSlotTime: time.Second, Idle: 2 * time.Second, TrialDue: true},
		{LimitInterval: 250 * time.Millisecond, LimitDelay: time.Second},
		{LimitInterval: 250 * time.Millisecond, LimitDelay: -time.Second},
	}
	for _, want := range tests {
		if got := transport.LoadFromProto(transport.LoadToProto(want)); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}
