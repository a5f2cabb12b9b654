package turn_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/turn"
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

// TestTurns checks that no more peers than the limit have a turn, that a peer that goes on asking keeps its turn, and that one
// that is refused is referred to peers that were served.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turns := turn.Turns{Limit: rapid.IntRange(1, 4).Draw(t, "limit")}
		now := time.Unix(1000, 0)
		last := map[int]time.Time{} // Last request that was served of each peer whose turn has not ended.
		served := map[netip.AddrPort]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "pause")) * time.Millisecond)
			for i, at := range last {
				if now.Sub(at) >= 200*time.Millisecond {
					delete(last, i)
				}
			}
			i := rapid.IntRange(0, 9).Draw(t, "peer")
			if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				turns.End(address(i))
				delete(last, i)
				continue
			}
			others, ok := turns.Take(now, address(i))
			_, had := last[i]
			if want := had || len(last) < turns.Limit; ok != want {
				t.Fatalf("peer %d: got served %v beside %d others, want %v", i, ok, len(last), want)
			}
			for _, a := range others {
				if !served[a] {
					t.Fatalf("got a reference to %s, which was not served", a)
				}
			}
			if ok {
				last[i], served[address(i)] = now, true
			}
		}
	})
}

// TestTurns_Take_others checks that the peers that were served last are named.
func TestTurns_Take_others(t *testing.T) {
	now := time.Unix(1000, 0)
	turns := turn.Turns{Limit: 1}
	for i := range 20 {
		if _, ok := turns.Take(now, address(i)); !ok {
			t.Fatalf("peer %d: got no turn", i)
		}
		turns.End(address(i))
	}
	if _, ok := turns.Take(now, address(20)); !ok {
		t.Fatal("got no turn")
	}
	others, ok := turns.Take(now, address(21))
	if ok || len(others) != 8 || others[7] != address(19) {
		t.Errorf("got %v, %v, want the last eight of those served", others, ok)
	}
}
