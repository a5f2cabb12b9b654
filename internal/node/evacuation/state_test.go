package evacuation

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

var start = time.Unix(1000, 0)

// TestState_observe guards against a reply that comes late and takes back an evacuation, or
// brings one back.
func TestState_observe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s state
		var latest time.Time
		var want bool
		for range 20 {
			at := start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "at")) * time.Millisecond)
			evacuated := rapid.Bool().Draw(t, "evacuated")
			before := s.evacuated
			changed := s.observe(at, evacuated)
			first := latest.IsZero()
			if at.After(latest) {
				latest, want = at, evacuated
			}
			if s.evacuated != want || changed != (first || before != want) {
				t.Fatalf("got evacuated %v, changed %v, want %v", s.evacuated, changed, want)
			}
		}
	})
}

// TestState_next_bound guards against a node that learns of an order too late, whoever of
// store and super-peer answers, and against a herd of queries while the store is away.
func TestState_next_bound(t *testing.T) {
	const bound = 3500 * time.Millisecond
	tests := []struct {
		desc              string
		superPeer         bool
		storeUp, peerUp   bool
		maxStore, maxPeer int // Queries in a minute.
	}{
		{"super-peer", true, true, false, 90, 0},
		{"node", false, true, true, 1, 90},
		{"super-peer is gone", false, true, false, 32, 90},
		{"store is away", true, false, true, 18, 0},
		{"store and super-peer are away", false, false, false, 18, 90},
	}
	for _, tt := range tests {
		s := state{}
		s.observe(start, false)
		s.peerQueries = 1
		store, peer := 0, 0
		oldest := time.Duration(0)
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
			switch q, _ := s.next(now, tt.superPeer); q {
			case queryStore:
				store++
				var err error
				if !tt.storeUp {
					err = errors.New("away")
				} else {
					s.observe(now, false)
				}
				s.storeReplied(now, err)
			case queryPeer:
				peer++
				s.peerReplied(now)
				if tt.peerUp {
					// A super-peer's knowledge is as old as its own interval allows.
					s.observe(now.Add(-queryInterval-maxJitter), false)
				}
			case queryNobody:
			}
			oldest = max(oldest, s.age(now))
		}
		if (tt.storeUp || !tt.superPeer && tt.peerUp) && oldest > bound {
			t.Errorf("%s: got knowledge %s old, want at most %s", tt.desc, oldest, bound)
		}
		if store > tt.maxStore || peer > tt.maxPeer {
			t.Errorf("%s: got %d queries of the store and %d of others in a minute, want at most %d and %d", tt.desc, store, peer, tt.maxStore, tt.maxPeer)
		}
	}
}

// TestState_next_start guards against a node that restarts while the store is away and asks
// nobody else.
func TestState_next_start(t *testing.T) {
	var s state
	if got, _ := s.next(start, true); got != queryStore {
		t.Errorf("at the start: got %v, want the store asked", got)
	}
	s.storeReplied(start, errors.New("away"))
	if got, _ := s.next(start, true); got != queryPeer {
		t.Errorf("after the store failed: got %v, want a neighbour asked", got)
	}
}
