package quorum_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/quorum"
	"filbertturn.example/filbertturn/internal/fleet/transition"
)

// fiveMembers returns the first two heads of a roster of five members, and the state of
// the first member, which runs the second head from start on.
func fiveMembers() (first, second head.Head, s *quorum.State) {
	var roster []member.Member
	for i := range 5 {
		roster = append(roster, identity(i, 1))
	}
	first = transition.Next(head.Head{}, true, transition.Change{Join: roster})
	second = transition.Next(first, true, transition.Change{Revision: 1})
	s = quorum.New(roster[0], 0)
	_ = s.SetHead(start, second)
	return first, second, s
}

// peerDigest returns the digest of member id, which runs the given head and knows
// nothing of other members.
func peerDigest(id int, h head.Head) quorum.Digest {
	d := quorum.Digest{From: identity(id, 1), Sequence: h.Sequence, Epoch: h.Epoch, Newest: h.Sequence}
	for range h.Roster {
		d.Attestations = append(d.Attestations, quorum.Attestation{Age: quorum.NoAge})
	}
	return d
}

// TestState_Current_rule checks which observations make a node current, and until when.
func TestState_Current_rule(t *testing.T) {
	const ms = time.Millisecond
	first, second, _ := fiveMembers()
	third := transition.Next(second, true, transition.Change{Revision: 2})
	hear := func(ids ...int) func(*quorum.State) {
		return func(s *quorum.State) {
			for _, id := range ids {
				s.ObservePeer(start.Add(ms), start.Add(ms), peerDigest(id, second))
			}
		}
	}
	relay := func(s *quorum.State) {
		d := peerDigest(1, second)
		d.Attestations[2].Age = 100
		s.ObservePeer(start.Add(ms), start.Add(ms), d)
	}
	read := func(h head.Head) func(*quorum.State) {
		return func(s *quorum.State) { s.ObserveStore(start.Add(ms), h) }
	}
	late := func(s *quorum.State) { s.ObserveStore(start.Add(-ms), first) }
	invalidate := func(s *quorum.State) { s.Invalidate(start.Add(ms)) }
	run := func(s *quorum.State) {
		_ = s.SetHead(start.Add(ms), third)
	}
	newer := func(s *quorum.State) { s.ObservePeer(start.Add(ms), start.Add(ms), peerDigest(2, third)) }
	tests := []struct {
		desc   string
		events []func(*quorum.State)
		by     quorum.Basis
		reason string
		valid  time.Duration // From start.
	}{
		{"nothing heard", nil, quorum.ByNone, quorum.ReasonNoProof, 0},
		{"store", []func(*quorum.State){read(second)}, quorum.ByStore, "", 2001 * ms},
		{"store had an older head before this one ran", []func(*quorum.State){late}, quorum.ByStore, "", 1999 * ms},
		{"store has a newer head", []func(*quorum.State){read(third)}, quorum.ByNone, quorum.ReasonNewerHead, 0},
		{"two of five with this node", []func(*quorum.State){hear(1)}, quorum.ByNone, quorum.ReasonNoProof, 0},
		{"one peer twice", []func(*quorum.State){hear(1, 1)}, quorum.ByNone, quorum.ReasonNoProof, 0},
		{"three of five with this node", []func(*quorum.State){hear(1, 2)}, quorum.ByAttestations, "", 2001 * ms},
		// One second by a slow clock is 1.02/0.98 of a second by a fast one.
		{"relayed attestation", []func(*quorum.State){relay}, quorum.ByAttestations, "", 2001*ms - 1_040_816_327*time.Nanosecond},
		{"one of three runs a newer head", []func(*quorum.State){hear(1, 2), newer}, quorum.ByNone, quorum.ReasonNewerHead, 0},
		{"suspended after the answers", []func(*quorum.State){hear(1, 2), read(second), invalidate}, quorum.ByNone, quorum.ReasonNoProof, 0},
		{"answers under way while suspended", []func(*quorum.State){invalidate, func(s *quorum.State) { s.Invalidate(start) }, hear(1, 2), relay, read(second)}, quorum.ByNone, quorum.ReasonNoProof, 0},
		{"attestations of the head before", []func(*quorum.State){hear(1, 2), run}, quorum.ByAttestations, "", 2001 * ms},
		{"resigned", []func(*quorum.State){read(second), func(s *quorum.State) { s.Resign(start) }}, quorum.ByNone, quorum.ReasonResigned, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			_, _, s := fiveMembers()
			for _, event := range tt.events {
				event(s)
			}
			got := s.Current(start.Add(2 * ms))
			if got.Current != (tt.by != quorum.ByNone) || got.By != tt.by || got.Reason != tt.reason {
				t.Fatalf("got %+v, want %v with reason %q", got, tt.by, tt.reason)
			}
			want := start.Add(tt.valid)
			if early := want.Sub(got.Until); got.Current && (early < 0 || early > time.Microsecond) {
				t.Fatalf("until: got %v, want %v", got.Until, want)
			}
			if got.Current && (!s.Current(got.Until).Current || s.Current(got.Until.Add(1)).Current) {
				t.Errorf("status does not expire at %v", got.Until)
			}
		})
	}
}

// TestState_InForce checks that a head is accepted by three of five members, and in
// force one delay after the acceptance was learned, not after the request was sent.
func TestState_InForce(t *testing.T) {
	_, second, s := fiveMembers()
	heard := start.Add(time.Minute)
	s.ObservePeer(start, start, peerDigest(1, second))
	if got := s.Accepted(); got != 0 {
		t.Fatalf("accepted by two of five: got head %d, want none", got)
	}
	restarted := peerDigest(2, head.Head{})
	restarted.From.Incarnation = 2 // Proves that the member has ended; the response took a minute to arrive.
	s.ObservePeer(start, heard, restarted)
	if got, want := s.Accepted(), second.Sequence; got != want {
		t.Fatalf("accepted by three of five: got head %d, want %d", got, want)
	}
	// Two seconds by the slowest clock, measured by the fastest, plus the longest undetected suspension.
	const delay = 2*time.Second*102/98 + 100*time.Millisecond
	if got := s.InForce(heard.Add(delay)); got != 0 {
		t.Errorf("got head %d in force before the delay has passed, want none", got)
	}
	if got, want := s.InForce(heard.Add(delay+time.Microsecond)), second.Sequence; got != want {
		t.Errorf("got head %d in force, want %d", got, want)
	}
}

// TestState_SetHead checks that an older head and a different head of the same sequence are
// refused.
func TestState_SetHead(t *testing.T) {
	first, second, s := fiveMembers()
	other := second
	other.Manifest = "other"
	for _, h := range []head.Head{first, other} {
		var got *quorum.SequenceError
		if err := s.SetHead(start, h); !errors.As(err, &got) || got.Running != 2 || got.Offered != h.Sequence {
			t.Errorf("got %v, want a refusal of head %d", err, h.Sequence)
		}
	}
	if err := s.SetHead(start, second); err != nil || s.Head().Manifest != second.Manifest {
		t.Errorf("got %v for the running head again, want no effect", err)
	}
}

// TestState_ObserveStore_older checks that a response of a store which went back to an
// older state proves nothing, while a late response of an intact store is valid.
func TestState_ObserveStore_older(t *testing.T) {
	first, _, s := fiveMembers()
	s.ObserveStore(start.Add(time.Second), first)
	if v := s.Current(start.Add(time.Second)); v.Current || !s.StoreBehind() {
		t.Errorf("got %+v and behind %t, want the store recognised as behind", v, s.StoreBehind())
	}
	s.ObserveStore(start.Add(-time.Second), first)
	if v := s.Current(start.Add(time.Second)); v.By != quorum.ByStore || s.StoreBehind() {
		t.Errorf("got %+v and behind %t, want a late response to be valid", v, s.StoreBehind())
	}
}

// TestState_Digest checks what a node reports of peers, newcomers and resignations.
func TestState_Digest(t *testing.T) {
	_, second, s := fiveMembers()
	now := start.Add(15 * time.Millisecond)
	s.ObservePeer(start, now, peerDigest(1, second))
	s.ObservePeer(start, now, peerDigest(7, second))
	leaving := peerDigest(2, second)
	leaving.Resigned = []member.Member{leaving.From}
	s.ObservePeer(start, now, leaving)
	got := s.Digest(now)
	if want := (quorum.Attestation{Age: 2, Reached: true}); got.Attestations[1] != want {
		t.Errorf("got %+v of a peer, want %+v", got.Attestations[1], want)
	}
	if got.Attestations[2].Age != quorum.NoAge || !slices.Equal(got.Resigned, []member.Member{leaving.From}) {
		t.Errorf("got %+v, want a resignation instead of an attestation", got)
	}
	if want := []quorum.Newcomer{{Member: identity(7, 1), Age: 2}}; !slices.Equal(got.Joining, want) {
		t.Errorf("got newcomers %v, want %v", got.Joining, want)
	}
	later := start.Add(3*time.Second + 1)
	if got := s.Silent(start.Add(3*time.Second), 3*time.Second); len(got) != 0 {
		t.Errorf("got silent members %v within the timeout after the start, want none", got)
	}
	if got, want := s.Silent(later, 3*time.Second), second.Roster[1:]; !slices.Equal(got, want) {
		t.Errorf("got silent members %v, want %v", got, want)
	}
	if got := s.Joining(later); len(got) != 0 {
		t.Errorf("got joining members %v that are silent, want none", got)
	}
}
