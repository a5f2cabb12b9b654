package freshness_test

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/freshness"
)

// message is a reply between nodes that has not arrived yet.
type message struct {
	from, to  int
	sentAt    time.Time
	arrivesAt time.Time
	stamp     freshness.Stamp
}

// TestTracker_maxAge simulates nodes that exchange replies delayed by up to two
// seconds, and a store that some of them cannot reach at times. It fails if a node
// that reaches the store runs a version for longer than the bound after a newer
// one was written.
func TestTracker_maxAge(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		bound = freshness.MaxAge + 300*time.Millisecond // One query interval and a step.
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]freshness.Tracker, rapid.IntRange(1, 6).Draw(t, "nodes"))
		unreachableUntil := make([]time.Time, len(nodes))
		reachableSince := make([]time.Time, len(nodes)) // Time since which each node reaches the store.
		start := time.Unix(1000, 0)
		var written []time.Time // Times at which versions 1 and up were written.
		if rapid.Bool().Draw(t, "written before") {
			written = append(written, start)
		}
		var inFlight []message
		for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(step) {
			if rapid.IntRange(0, 99).Draw(t, "write") == 0 {
				written = append(written, now)
			}
			if rapid.IntRange(0, 149).Draw(t, "cut") == 0 {
				n := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
				unreachableUntil[n] = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "length")) * time.Millisecond)
			}
			for n := range nodes {
				unreachable := now.Before(unreachableUntil[n])
				if unreachable {
					reachableSince[n] = unreachableUntil[n]
				}
				if _, ask := nodes[n].Tick(now, n == 0).(freshness.QueryStore); ask {
					if unreachable {
						nodes[n].RecordQuery(errors.New("store is unreachable"))
					} else {
						nodes[n].RecordQuery(nil)
						nodes[n].Confirm(uint64(len(written)), now)
					}
				}
			}
			inFlight = exchangeStamps(t, nodes, inFlight, now)
			for n := range nodes {
				v := nodes[n].Version()
				if int(v) >= len(written) || now.Sub(reachableSince[n]) < 2*time.Second {
					continue
				}
				if late := now.Sub(written[v]); late > bound {
					t.Fatalf("node %d runs version %d, %s after version %d was written, want at most %s", n, v, late, v+1, bound)
				}
			}
		}
	})
}

// exchangeStamps sends a reply between two drawn nodes at times, delivers the replies
// that have arrived by now, and returns the others.
func exchangeStamps(t *rapid.T, nodes []freshness.Tracker, inFlight []message, now time.Time) []message {
	if len(nodes) > 1 && rapid.IntRange(0, 3).Draw(t, "talk") == 0 {
		from := rapid.IntRange(0, len(nodes)-1).Draw(t, "from")
		to := (from + rapid.IntRange(1, len(nodes)-1).Draw(t, "to")) % len(nodes)
		sentAt := now.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "way")) * time.Millisecond)
		arrivesAt := now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "late")) * time.Millisecond)
		inFlight = append(inFlight, message{from, to, sentAt, arrivesAt, nodes[from].Stamp(now)})
	}
	left := inFlight[:0]
	for _, m := range inFlight {
		if m.arrivesAt.After(now) {
			left = append(left, m)
			continue
		}
		if f, ok := nodes[m.to].OnStamp(m.sentAt, m.stamp).(freshness.FetchFromPeer); ok {
			nodes[m.to].Confirm(f.Version, m.sentAt.Add(-m.stamp.Age))
		}
	}
	return left
}

// TestTracker_OnStamp checks that a stamp counts from when the request was sent, and
// that only a newer confirmation of the same version is adopted.
func TestTracker_OnStamp(t *testing.T) {
	now := time.Unix(1000, 0)
	var p freshness.Tracker
	p.Confirm(4, now.Add(-800*time.Millisecond))
	tests := []struct {
		desc  string
		stamp freshness.Stamp
		want  time.Duration // Age of the confirmation afterwards.
	}{
		{"older confirmation", freshness.Stamp{Version: 4, Age: 900 * time.Millisecond}, 800 * time.Millisecond},
		{"older version", freshness.Stamp{Version: 3, Age: 0}, 800 * time.Millisecond},
		{"not confirmed", freshness.Stamp{Version: 4, Age: 1<<63 - 1}, 800 * time.Millisecond},
		{"newer confirmation", freshness.Stamp{Version: 4, Age: 100 * time.Millisecond}, 300 * time.Millisecond},
	}
	for _, tt := range tests {
		p.OnStamp(now.Add(-200*time.Millisecond), tt.stamp)
		if got := p.Stamp(now).Age; got != tt.want {
			t.Errorf("%s: got an age of %s, want %s", tt.desc, got, tt.want)
		}
	}
	if _, ok := p.OnStamp(now, freshness.Stamp{Version: 5}).(freshness.FetchFromPeer); !ok {
		t.Errorf("newer version: got no fetch")
	}
}

// TestTracker_Start guards against a start of the whole fleet in which every node
// queries the store: nodes query their super-peer first, and only a node that it
// does not confirm queries the store.
func TestTracker_Start(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		desc      string
		superPeer bool
		after     time.Duration
		want      freshness.Effect
	}{
		{"super-peer", true, 0, freshness.QueryStore{}},
		{"other node", false, 0, freshness.QuerySuperPeer{}},
		{"other node without a reply", false, freshness.MaxAge / 2, freshness.QueryStore{}},
	}
	for _, tt := range tests {
		var p freshness.Tracker
		p.Start(now)
		if got := p.Tick(now.Add(tt.after), tt.superPeer); got != tt.want {
			t.Errorf("%s: got %T, want %T", tt.desc, got, tt.want)
		}
	}
}
