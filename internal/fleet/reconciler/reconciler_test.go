package reconciler

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/transition"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// firstRuns returns members of incarnation 1 with the given host numbers.
func firstRuns(hosts ...byte) []member.Member {
	var out []member.Member
	for _, h := range hosts {
		out = append(out, run(h, 1))
	}
	return out
}

// run returns the given incarnation of the member with the given host number.
func run(host byte, incarnation uint64) member.Member {
	return member.Member{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000), Incarnation: incarnation}
}

// TestReconciler_Decide checks which roster is proposed after BatchDelay, if any.
func TestReconciler_Decide(t *testing.T) {
	base := head.Head{Sequence: 7, Epoch: 3, Revision: 2, Manifest: "m", Roster: firstRuns(1, 2, 3, 4, 5), Pending: [][]member.Member{firstRuns(1, 2, 3, 4)}}
	crowded := base
	crowded.Pending = slices.Repeat(base.Pending, MaxPending+1)
	tests := []struct {
		desc   string
		in     Input
		roster []member.Member // Nil means that nothing is proposed.
		ended  []member.Member
	}{
		{desc: "nothing to change", in: Input{Head: base, Accepted: true}},
		{desc: "no reconciler", in: Input{Head: base, Joining: firstRuns(6), Rank: -1}},
		{desc: "first head", in: Input{Joining: firstRuns(1, 2)}, roster: firstRuns(1, 2)},
		{desc: "no members for the first head", in: Input{}},
		{desc: "newcomer", in: Input{Head: base, Joining: firstRuns(6)}, roster: firstRuns(1, 2, 3, 4, 5, 6)},
		{
			desc: "restarted members", in: Input{Head: base, Joining: []member.Member{run(1, 2), run(2, 2), run(3, 2)}, Silent: firstRuns(1, 2, 3)},
			roster: []member.Member{run(1, 2), run(2, 2), run(3, 2), run(4, 1), run(5, 1)}, ended: firstRuns(1, 2, 3),
		},
		{desc: "newcomer that is older than the member", in: Input{Head: base, Joining: []member.Member{run(1, 0)}}},
		{desc: "resigned newcomer", in: Input{Head: base, Joining: firstRuns(6), Resigned: firstRuns(6)}},
		{desc: "resigned member", in: Input{Head: base, Resigned: firstRuns(2)}, roster: firstRuns(1, 3, 4, 5), ended: firstRuns(2)},
		{desc: "silent members have not ended", in: Input{Head: base, Silent: firstRuns(2, 3)}, roster: firstRuns(1, 4, 5)},
		{desc: "majority silent", in: Input{Head: base, Silent: firstRuns(2, 3, 4)}},
		{desc: "majority silent, one resigned", in: Input{Head: base, Silent: firstRuns(2, 3), Resigned: firstRuns(4)}, roster: firstRuns(1, 2, 3, 5), ended: firstRuns(4)},
		{desc: "operator asserts an end", in: Input{Head: base, Silent: firstRuns(2, 3, 4), Ended: firstRuns(2, 3, 4)}, roster: firstRuns(1, 5), ended: firstRuns(2, 3, 4)},
		{desc: "store went back", in: Input{Head: base, Behind: true}, roster: base.Roster},
		{desc: "too many pending rosters for a newcomer", in: Input{Head: crowded, Joining: firstRuns(6)}},
		{desc: "too many pending rosters, one resigned", in: Input{Head: crowded, Joining: firstRuns(6), Resigned: firstRuns(2)}, roster: firstRuns(1, 3, 4, 5), ended: firstRuns(2)},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var s Reconciler
			if got, isWait := s.Decide(start, tt.in).(Wait); !isWait || got.Until.IsZero() != (tt.roster == nil) {
				t.Fatalf("got %v on the first call, want to wait", got)
			}
			s.Decide(start.Add(BatchDelay-1), tt.in)
			got, proposed := s.Decide(start.Add(BatchDelay), tt.in).(Propose)
			if !proposed {
				if tt.roster != nil {
					t.Fatalf("got no proposal, want roster %v", tt.roster)
				}
				return
			}
			want := transition.Next(tt.in.Head, tt.in.Accepted, transition.Change{})
			if !slices.Equal(tt.roster, tt.in.Head.Roster) {
				want.Epoch++
			}
			want.Roster, want.Ended = tt.roster, tt.ended
			if !reflect.DeepEqual(got.Head, want) {
				t.Errorf("got %+v, want %+v", got.Head, want)
			}
		})
	}
}

// TestReconciler_Decide_rank checks that reconcilers act one after another by rank, and
// that one starts its delay again when another one has written a head first.
func TestReconciler_Decide_rank(t *testing.T) {
	in := Input{Head: head.Head{Sequence: 1, Roster: firstRuns(1)}, Joining: firstRuns(2), Rank: 2}
	var s Reconciler
	want := start.Add(BatchDelay + 2*RankDelay)
	if got := s.Decide(start, in); got != (Wait{Until: want}) {
		t.Errorf("got %v, want to wait until %v", got, want)
	}
	in.Head.Sequence = 2
	if got := s.Decide(want, in); got != (Wait{Until: want.Add(BatchDelay + 2*RankDelay)}) {
		t.Errorf("got %v after another head, want the delay to start again", got)
	}
}

// TestReconciler_Decide_endedOnly checks that a member of only a pending roster that has
// ended is recorded once while the head is not accepted, without a new epoch.
func TestReconciler_Decide_endedOnly(t *testing.T) {
	in := Input{Head: head.Head{Sequence: 5, Roster: firstRuns(1), Pending: [][]member.Member{firstRuns(1, 2, 3)}}, Ended: firstRuns(2)}
	var s Reconciler
	s.Decide(start, in)
	got, ok := s.Decide(start.Add(BatchDelay), in).(Propose)
	if !ok || !slices.Equal(got.Head.Ended, firstRuns(2)) || got.Head.Epoch != 0 {
		t.Fatalf("got %v, want member 2 ended in the same epoch", got)
	}
	in.Head = got.Head
	if again, isWait := s.Decide(start.Add(time.Minute), in).(Wait); !isWait || !again.Until.IsZero() {
		t.Errorf("got %v, want nothing more", again)
	}
}

// BenchmarkReconciler_Decide replaces all 490 members of a roster at once.
func BenchmarkReconciler_Decide(b *testing.B) {
	var in Input
	for i := range 490 {
		m := run(byte(i), 1)
		m.Address = netip.AddrPortFrom(m.Address.Addr(), uint16(i))
		in.Head.Roster = append(in.Head.Roster, m)
		m.Incarnation = 2
		in.Joining = append(in.Joining, m)
	}
	slices.SortFunc(in.Head.Roster, member.Member.Compare)
	for b.Loop() {
		var s Reconciler
		s.Decide(start, in)
	}
}
