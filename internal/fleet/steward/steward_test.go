package steward

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/succession"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns members of incarnation 1 with the given host numbers.
func at(hosts ...byte) []member.Member {
	var out []member.Member
	for _, h := range hosts {
		out = append(out, again(h, 1))
	}
	return out
}

func again(host byte, incarnation uint64) member.Member {
	return member.Member{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000), Incarnation: incarnation}
}

func TestSteward_Decide(t *testing.T) {
	base := head.Head{Sequence: 7, Epoch: 3, Revision: 2, Manifest: "m", Roster: at(1, 2, 3, 4, 5), Pending: [][]member.Member{at(1, 2, 3, 4)}}
	crowded := base
	crowded.Pending = slices.Repeat(base.Pending, MaxPending+1)
	tests := []struct {
		desc   string
		in     Input
		roster []member.Member // Nil means that nothing is proposed.
		ended  []member.Member
	}{
		{desc: "nothing to change", in: Input{Head: base, Accepted: true}},
		{desc: "no steward", in: Input{Head: base, Joining: at(6), Rank: -1}},
		{desc: "first head", in: Input{Joining: at(1, 2)}, roster: at(1, 2)},
		{desc: "nobody to make the first head", in: Input{}},
		{desc: "newcomer", in: Input{Head: base, Joining: at(6)}, roster: at(1, 2, 3, 4, 5, 6)},
		{
			desc: "restarted members", in: Input{Head: base, Joining: []member.Member{again(1, 2), again(2, 2), again(3, 2)}, Silent: at(1, 2, 3)},
			roster: []member.Member{again(1, 2), again(2, 2), again(3, 2), again(4, 1), again(5, 1)}, ended: at(1, 2, 3),
		},
		{desc: "newcomer that is older than the member", in: Input{Head: base, Joining: []member.Member{again(1, 0)}}},
		{desc: "resigned newcomer", in: Input{Head: base, Joining: at(6), Resigned: at(6)}},
		{desc: "resigned member", in: Input{Head: base, Resigned: at(2)}, roster: at(1, 3, 4, 5), ended: at(2)},
		{desc: "silent members have not ended", in: Input{Head: base, Silent: at(2, 3)}, roster: at(1, 4, 5)},
		{desc: "majority silent", in: Input{Head: base, Silent: at(2, 3, 4)}},
		{desc: "majority silent, one resigned", in: Input{Head: base, Silent: at(2, 3), Resigned: at(4)}, roster: at(1, 2, 3, 5), ended: at(4)},
		{desc: "operator asserts an end", in: Input{Head: base, Silent: at(2, 3, 4), Ended: at(2, 3, 4)}, roster: at(1, 5), ended: at(2, 3, 4)},
		{desc: "store went back", in: Input{Head: base, Behind: true}, roster: base.Roster},
		{desc: "too many pending rosters for a newcomer", in: Input{Head: crowded, Joining: at(6)}},
		{desc: "too many pending rosters, one resigned", in: Input{Head: crowded, Joining: at(6), Resigned: at(2)}, roster: at(1, 3, 4, 5), ended: at(2)},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var s Steward
			if got, isWait := s.Decide(start, tt.in).(Wait); !isWait || got.Until.IsZero() != (tt.roster == nil) {
				t.Fatalf("got %v at once, want to wait", got)
			}
			s.Decide(start.Add(BatchDelay-1), tt.in)
			got, proposed := s.Decide(start.Add(BatchDelay), tt.in).(Propose)
			if !proposed {
				if tt.roster != nil {
					t.Fatalf("got no proposal, want roster %v", tt.roster)
				}
				return
			}
			want := succession.Next(tt.in.Head, tt.in.Accepted, succession.Change{})
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

// TestSteward_Decide_rank checks that stewards act one after another, and that a
// steward starts anew when another one was first.
func TestSteward_Decide_rank(t *testing.T) {
	in := Input{Head: head.Head{Sequence: 1, Roster: at(1)}, Joining: at(2), Rank: 2}
	var s Steward
	want := start.Add(BatchDelay + 2*RankDelay)
	if got := s.Decide(start, in); got != (Wait{Until: want}) {
		t.Errorf("got %v, want to wait until %v", got, want)
	}
	in.Head.Sequence = 2
	if got := s.Decide(want, in); got != (Wait{Until: want.Add(BatchDelay + 2*RankDelay)}) {
		t.Errorf("got %v after another head, want to wait anew", got)
	}
}

// TestSteward_Decide_endedOnly checks that an end which matters only to a pending
// roster is written while the head is not accepted, once.
func TestSteward_Decide_endedOnly(t *testing.T) {
	in := Input{Head: head.Head{Sequence: 5, Roster: at(1), Pending: [][]member.Member{at(1, 2, 3)}}, Ended: at(2)}
	var s Steward
	s.Decide(start, in)
	got, ok := s.Decide(start.Add(BatchDelay), in).(Propose)
	if !ok || !slices.Equal(got.Head.Ended, at(2)) || got.Head.Epoch != 0 {
		t.Fatalf("got %v, want member 2 ended in the same epoch", got)
	}
	in.Head = got.Head
	if again, isWait := s.Decide(start.Add(time.Minute), in).(Wait); !isWait || !again.Until.IsZero() {
		t.Errorf("got %v, want nothing more", again)
	}
}

// BenchmarkSteward_Decide replaces all of 490 members at once.
func BenchmarkSteward_Decide(b *testing.B) {
	var in Input
	for i := range 490 {
		m := again(byte(i), 1)
		m.Address = netip.AddrPortFrom(m.Address.Addr(), uint16(i))
		in.Head.Roster = append(in.Head.Roster, m)
		m.Incarnation = 2
		in.Joining = append(in.Joining, m)
	}
	slices.SortFunc(in.Head.Roster, member.Member.Compare)
	for b.Loop() {
		var s Steward
		s.Decide(start, in)
	}
}
