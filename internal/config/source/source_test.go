package source_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/source"
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// TestSources compares the choice with all announcements that were made: it has the newest version that is known, is near if
// one with that version is, and is not left out.
func TestSources(t *testing.T) {
	const nodes, lifetime = 8, 5 * time.Second
	type announced struct {
		version uint64
		at      time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		var s source.Sources
		peers, left := map[int]announced{}, map[int]time.Time{}
		near := []netip.AddrPort{address(0), address(1), address(2)}
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			i, version := rapid.IntRange(0, nodes-1).Draw(t, "node"), uint64(rapid.IntRange(0, 6).Draw(t, "version"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s.Announce(now, address(i), version)
				peers[i] = announced{version, now}
			case 1:
				s.Refer(now, address(i), version)
				// An entry that is too old may have been forgotten.
				if p := peers[i]; version > p.version || now.Sub(p.at) > lifetime {
					continue
				}
			case 2:
				until := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "left out")) * time.Millisecond)
				s.LeaveOut(now, address(i), until)
				if until.After(left[i]) {
					left[i] = until
				}
			}
			than := uint64(rapid.IntRange(0, 6).Draw(t, "than"))
			got, isNear, ok := s.Choose(now, than, near, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
			newest, nearHasIt := than, false
			for i, p := range peers {
				if now.Sub(p.at) <= lifetime && !now.Before(left[i]) && p.version > newest {
					newest, nearHasIt = p.version, false
				}
				if p.version == newest && p.version > than && now.Sub(p.at) <= lifetime && !now.Before(left[i]) {
					nearHasIt = nearHasIt || slices.Contains(near, address(i))
				}
			}
			if newest > than && !ok {
				t.Fatalf("got no peer, want one with the version %d", newest)
			}
			if !ok {
				continue
			}
			j := slices.IndexFunc([]int{0, 1, 2, 3, 4, 5, 6, 7}, func(i int) bool { return address(i) == got })
			if now.Before(left[j]) || s.IsLeftOut(now, got) {
				t.Fatalf("got node %d, which is left out until %s", j, left[j])
			}
			if v := s.Announced(got); v != 0 && v < newest {
				t.Fatalf("got node %d with the version %d, want %d", j, v, newest)
			}
			if isNear != slices.Contains(near, got) {
				t.Fatalf("got near %v for node %d", isNear, j)
			}
			if nearHasIt && !isNear && s.Announced(got) == newest {
				t.Fatalf("got node %d, want a near one", j)
			}
		}
	})
}

// TestSources_Refer checks that hearsay does not replace what a peer said itself, and counts as nothing that it said.
func TestSources_Refer(t *testing.T) {
	now := time.Unix(1000, 0)
	var s source.Sources
	s.Announce(now, address(1), 5)
	s.Refer(now, address(1), 4)
	s.Refer(now, address(2), 7)
	if got := []uint64{s.Announced(address(1)), s.Announced(address(2))}; !slices.Equal(got, []uint64{5, 0}) {
		t.Errorf("got %d announced, want 5 and 0", got)
	}
	if got, _, ok := s.Choose(now, 5, nil, func(int) int { return 0 }); !ok || got != address(2) {
		t.Errorf("got %s, %v, want the peer that another one named", got, ok)
	}
}

// TestSources_Announce_bound checks that many peers do not make a node forget those with the newest version.
func TestSources_Announce_bound(t *testing.T) {
	now := time.Unix(1000, 0)
	var s source.Sources
	for i := range 5 {
		s.Announce(now, address(i), 9)
	}
	for i := range 1000 {
		s.Announce(now.Add(time.Second), address(i+5), 8)
	}
	seen := map[netip.AddrPort]bool{}
	for i := range 10 {
		if a, _, ok := s.Choose(now.Add(time.Second), 8, nil, func(n int) int { return i % n }); ok {
			seen[a] = true
		}
	}
	if len(seen) != 5 {
		t.Errorf("got %d peers of the version 9, want 5", len(seen))
	}
}

func ExampleSources() {
	var s source.Sources
	now := time.Unix(1000, 0)
	near, far := netip.MustParseAddrPort("10.1.0.1:7000"), netip.MustParseAddrPort("10.2.0.1:7000")
	s.Announce(now, near, 4)
	s.Announce(now, far, 4)
	a, isNear, _ := s.Choose(now, 3, []netip.AddrPort{near}, func(int) int { return 0 })
	fmt.Println(a, isNear)
	// Output: 10.1.0.1:7000 true
}
