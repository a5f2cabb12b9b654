package freshness_test

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/freshness"
)

// message is a reply between nodes that is under way.
type message struct {
	from, to int
	asked    time.Time
	arrives  time.Time
	stamp    freshness.Stamp
}

// TestProof_bound plays nodes that exchange replies, late by up to two seconds,
// and a store that some of them cannot reach at times. No node that reaches the
// store runs a version for longer than the bound after a newer one was written.
func TestProof_bound(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		bound = freshness.Limit + 300*time.Millisecond // One pause and a step.
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]freshness.Proof, rapid.IntRange(1, 6).Draw(t, "nodes"))
		cutUntil := make([]time.Time, len(nodes))
		touched := make([]time.Time, len(nodes)) // Since when each reaches the store.
		start := time.Unix(1000, 0)
		var written []time.Time // Times of the versions from 1.
		if rapid.Bool().Draw(t, "written before") {
			written = append(written, start)
		}
		var wire []message
		for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(step) {
			if rapid.IntRange(0, 99).Draw(t, "write") == 0 {
				written = append(written, now)
			}
			if rapid.IntRange(0, 149).Draw(t, "cut") == 0 {
				n := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
				cutUntil[n] = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "length")) * time.Millisecond)
			}
			for n := range nodes {
				cut := now.Before(cutUntil[n])
				if cut {
					touched[n] = cutUntil[n]
				}
				if _, ask := nodes[n].Tick(now, n == 0).(freshness.Ask); ask {
					if cut {
						nodes[n].Asked(errors.New("store is away"))
					} else {
						nodes[n].Asked(nil)
						nodes[n].Confirm(uint64(len(written)), now)
					}
				}
			}
			wire = exchange(t, nodes, wire, now)
			for n := range nodes {
				v := nodes[n].Version()
				if int(v) >= len(written) || now.Sub(touched[n]) < 2*time.Second {
					continue
				}
				if late := now.Sub(written[v]); late > bound {
					t.Fatalf("node %d runs version %d, %s after version %d was written, want at most %s", n, v, late, v+1, bound)
				}
			}
		}
	})
}

func exchange(t *rapid.T, nodes []freshness.Proof, wire []message, now time.Time) []message {
	if len(nodes) > 1 && rapid.IntRange(0, 3).Draw(t, "talk") == 0 {
		from := rapid.IntRange(0, len(nodes)-1).Draw(t, "from")
		to := (from + rapid.IntRange(1, len(nodes)-1).Draw(t, "to")) % len(nodes)
		asked := now.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "way")) * time.Millisecond)
		arrives := now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "late")) * time.Millisecond)
		wire = append(wire, message{from, to, asked, arrives, nodes[from].Stamp(now)})
	}
	left := wire[:0]
	for _, m := range wire {
		if m.arrives.After(now) {
			left = append(left, m)
			continue
		}
		if f, ok := nodes[m.to].Hear(m.asked, m.stamp).(freshness.Fetch); ok {
			nodes[m.to].Confirm(f.Version, m.asked.Add(-m.stamp.Age))
		}
	}
	return left
}

func TestProof_Hear(t *testing.T) {
	now := time.Unix(1000, 0)
	var p freshness.Proof
	p.Confirm(4, now.Add(-800*time.Millisecond))
	tests := []struct {
		desc  string
		stamp freshness.Stamp
		want  time.Duration // Age of the proof afterwards.
	}{
		{"older proof", freshness.Stamp{Version: 4, Age: 900 * time.Millisecond}, 800 * time.Millisecond},
		{"older version", freshness.Stamp{Version: 3, Age: 0}, 800 * time.Millisecond},
		{"no proof", freshness.Stamp{Version: 4, Age: 1<<63 - 1}, 800 * time.Millisecond},
		{"newer proof", freshness.Stamp{Version: 4, Age: 100 * time.Millisecond}, 300 * time.Millisecond},
	}
	for _, tt := range tests {
		p.Hear(now.Add(-200*time.Millisecond), tt.stamp)
		if got := p.Stamp(now).Age; got != tt.want {
			t.Errorf("%s: got an age of %s, want %s", tt.desc, got, tt.want)
		}
	}
	if _, ok := p.Hear(now, freshness.Stamp{Version: 5}).(freshness.Fetch); !ok {
		t.Errorf("newer version: got no fetch")
	}
}

// TestProof_Begin answers a fleet whose nodes all start: they consult their super-peer,
// and only one that gets no proof of it asks the store.
func TestProof_Begin(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		desc      string
		superPeer bool
		after     time.Duration
		want      freshness.Effect
	}{
		{"super-peer", true, 0, freshness.Ask{}},
		{"other node", false, 0, freshness.Consult{}},
		{"other node without a reply", false, freshness.Limit / 2, freshness.Ask{}},
	}
	for _, tt := range tests {
		var p freshness.Proof
		p.Begin(now)
		if got := p.Tick(now.Add(tt.after), tt.superPeer); got != tt.want {
			t.Errorf("%s: got %T, want %T", tt.desc, got, tt.want)
		}
	}
}
