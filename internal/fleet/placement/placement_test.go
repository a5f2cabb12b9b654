package placement

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/fleet/member"
)

// newFleet returns n members spread over six data centres.
func newFleet(n int) []member.Member {
	out := make([]member.Member, n)
	for i := range out {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		out[i] = member.Member{Address: address, Incarnation: 1, DataCentre: fmt.Sprintf("dc%d", i%6)}
	}
	return out
}

// TestRank checks that rankings depend only on the set of members, that a restart
// moves no key, and that Nearest and PerDataCentre agree with Rank.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newFleet(rapid.IntRange(1, 60).Draw(t, "members"))
		key := rapid.String().Draw(t, "key")
		want := Rank(key, members)

		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		if got := Rank(key, shuffled); !slices.Equal(got, want) {
			t.Fatalf("order depends on the order of members: got %v, want %v", got, want)
		}
		// A restart moves no key, and a member that leaves moves only its own keys.
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		shuffled[lost].Incarnation++
		if got := Rank(key, shuffled); got[0].Address != want[0].Address {
			t.Fatalf("restart moved the key: got %v, want %v", got[0], want[0])
		}
		left := slices.Delete(slices.Clone(shuffled), lost, lost+1)
		if got := Rank(key, left); len(got) > 0 && want[0].Address != shuffled[lost].Address && got[0].Address != want[0].Address {
			t.Fatalf("leaving member moved another's key: got %v, want %v", got[0], want[0])
		}

		near := Nearest(key, "dc2", members)
		isNear := func(m member.Member) bool { return m.DataCentre == "dc2" }
		wantNear := slices.Concat(slices.DeleteFunc(slices.Clone(want), func(m member.Member) bool { return !isNear(m) }),
			slices.DeleteFunc(slices.Clone(want), isNear))
		if !slices.Equal(near, wantNear) {
			t.Fatalf("Nearest: got %v, want %v", near, wantNear)
		}
		var wantEach []member.Member
		for i := range min(6, len(members)) {
			dc := fmt.Sprintf("dc%d", i)
			wantEach = append(wantEach, Nearest(key, dc, members)[0])
		}
		if got := PerDataCentre(key, shuffled[:0:0]); len(got) != 0 {
			t.Fatalf("PerDataCentre of an empty roster: got %v, want none", got)
		}
		if got := PerDataCentre(key, members); !slices.Equal(got, wantEach) {
			t.Fatalf("PerDataCentre: got %v, want %v", got, wantEach)
		}
	})
}

// TestRank_spread checks that each member gets its share of many keys within a
// fifth.
func TestRank_spread(t *testing.T) {
	members := newFleet(49)
	const keys = 49 * 1000
	count := make(map[member.Member]int)
	for i := range keys {
		count[Rank(strings.Repeat("k", i%7)+fmt.Sprint(i), members)[0]]++
	}
	for _, m := range members {
		if got := count[m]; got < 800 || got > 1200 {
			t.Errorf("%v: got %d keys, want about 1000", m, got)
		}
	}
}

func BenchmarkRank(b *testing.B) {
	members := newFleet(490)
	for b.Loop() {
		Rank("customer-17", members)
	}
}

func BenchmarkHomes(b *testing.B) {
	members := newFleet(490)
	for b.Loop() {
		PerDataCentre("customer-17", members)
	}
}
