package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/codec"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/quorum"
	"filbertturn.example/filbertturn/internal/fleet/transition"
)

const fleetSize = 490

// newStates returns the states of fleetSize members that run the same head.
func newStates() []*quorum.State {
	var roster []member.Member
	for i := range fleetSize {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		roster = append(roster, member.Member{Address: address, Incarnation: 1, DataCentre: fmt.Sprint(i % 6)})
	}
	h := transition.Next(head.Head{}, true, transition.Change{Join: roster})
	states := make([]*quorum.State, fleetSize)
	for i, m := range roster {
		states[i] = quorum.New(m, 0)
		_ = states[i].SetHead(start, h)
	}
	return states
}

// gossipRound lets each state pull the digest of a random state, with a round trip of
// 20 ms, and returns the encoded size of one digest in bytes.
func gossipRound(states []*quorum.State, rng *rand.Rand, now time.Time) int {
	size := 0
	for _, s := range states {
		d := states[rng.IntN(len(states))].Digest(now.Add(-10 * time.Millisecond))
		s.ObservePeer(now.Add(-20*time.Millisecond), now, d)
		if size == 0 {
			b, _ := codec.EncodeDigest(d)
			size = len(b)
		}
	}
	return size
}

// BenchmarkState_spread simulates an outage of the store. For several rates of gossip it
// reports the percentage of nodes that stay current over ten seconds, and the bytes that
// a node sends and receives each second.
func BenchmarkState_spread(b *testing.B) {
	for _, rate := range []int{2, 4, 6, 8, 10, 15} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				rng := rand.New(rand.NewPCG(1, 1))
				states := newStates()
				current, checks, size := 0, 0, 0
				for i := range 13 * rate {
					now := start.Add(time.Duration(i+1) * time.Second / time.Duration(rate))
					size = gossipRound(states, rng, now)
					for _, s := range states {
						if now.Sub(start) >= 3*time.Second {
							checks++
							current += int(s.Current(now.Add(time.Second/time.Duration(rate))).By / quorum.ByAttestations)
						}
					}
				}
				b.ReportMetric(100*float64(current)/float64(checks), "%current")
				b.ReportMetric(float64(2*rate*size), "bytes/s")
			}
		})
	}
}

func BenchmarkState(b *testing.B) {
	states := newStates()
	rng := rand.New(rand.NewPCG(1, 1))
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		gossipRound(states, rng, now)
	}
	d := states[1].Digest(now)
	b.Run("Digest", func(b *testing.B) {
		for b.Loop() {
			states[1].Digest(now)
		}
	})
	b.Run("ObservePeer", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(time.Millisecond)
			states[0].ObservePeer(now, now, d)
			states[0].Current(now)
		}
	})
	b.Run("ObservePeer/unaccepted", func(b *testing.B) {
		s := states[0]
		_ = s.SetHead(now, transition.Next(s.Head(), true, transition.Change{Revision: 1}))
		for b.Loop() {
			now = now.Add(time.Millisecond)
			s.ObservePeer(now, now, d)
			s.Current(now)
		}
	})
}
