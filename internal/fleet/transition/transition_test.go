package transition

import (
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
)

var members = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) member.Member {
	host := byte(rapid.IntRange(1, 6).Draw(t, "host"))
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000)
	return member.Member{Address: address, Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation")}
}), 0, 5)

// TestNext derives long sequences of heads and checks the invariants of each.
func TestNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var base head.Head
		var unaccepted [][]member.Member // Rosters since the last accepted head.
		for range rapid.IntRange(1, 12).Draw(t, "heads") {
			c := Change{
				Revision: rapid.Uint64Range(0, 5).Draw(t, "revision"),
				Join:     members.Draw(t, "join"), Leave: members.Draw(t, "leave"), Ended: members.Draw(t, "ended"),
			}
			accepted := rapid.Bool().Draw(t, "accepted")
			if accepted {
				unaccepted = nil
			}
			unaccepted = append(unaccepted, base.Roster)
			next := Next(base, accepted, c)
			checkNext(t, base, next, c)
			for _, roster := range unaccepted {
				if kept := slices.ContainsFunc(next.Pending, func(p []member.Member) bool { return slices.Equal(p, roster) }); !kept && len(roster) > 0 {
					t.Fatalf("pending lacks roster %v: %+v", roster, next)
				}
			}
			checkAccepted(t, next)
			base = next
		}
	})
}

// checkNext checks the fields of next against base and the change.
func checkNext(t *rapid.T, base, next head.Head, c Change) {
	if got, want := next.Sequence, base.Sequence+1; got != want {
		t.Fatalf("sequence: got %d, want %d", got, want)
	}
	if got, want := next.Revision, max(base.Revision, c.Revision); got != want {
		t.Fatalf("revision: got %d, want %d", got, want)
	}
	if got, want := next.Epoch > base.Epoch, !slices.Equal(next.Roster, base.Roster); got != want {
		t.Fatalf("epoch increased: got %t, want %t", got, want)
	}
	for i, m := range next.Roster {
		if i > 0 && next.Roster[i-1].Address.Compare(m.Address) >= 0 {
			t.Fatalf("roster is not sorted or has an address twice: %v", next.Roster)
		}
		if slices.Contains(c.Leave, m) || slices.Contains(c.Ended, m) {
			t.Fatalf("%v is still in the roster", m)
		}
	}
	for _, m := range slices.Concat(base.Ended, c.Ended) {
		counted := slices.ContainsFunc(next.Pending, func(p []member.Member) bool { return slices.Contains(p, m) })
		if got := slices.Contains(next.Ended, m); got != counted {
			t.Fatalf("ended has %v: got %t, want %t", m, got, counted)
		}
	}
}

// checkAccepted compares Progress with an independent count.
func checkAccepted(t *rapid.T, h head.Head) {
	running := members.Draw(t, "running")
	want := true
	for _, roster := range h.Pending {
		still := slices.DeleteFunc(slices.Clone(roster), func(m member.Member) bool {
			newer := slices.ContainsFunc(h.Roster, func(o member.Member) bool { return o.Address == m.Address && o.Incarnation > m.Incarnation })
			return newer || slices.Contains(h.Ended, m) || slices.Contains(running, m)
		})
		want = want && 2*len(still) <= len(roster)
	}
	p := NewProgress(h)
	got := p.Accepted(func(m member.Member) bool { return slices.Contains(running, m) })
	if again := p.Accepted(func(member.Member) bool { return false }); got != want || again != want {
		t.Fatalf("accepted: got %t and again %t, want %t for %+v with %v", got, again, want, h, running)
	}
}
