package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/limit/quota"
)

func TestClock_Read(t *testing.T) {
	start := time.Unix(1000, 0)
	second := time.Second
	tests := []struct {
		desc  string
		after time.Duration // Since the start.
		share float64
		want  time.Duration
	}{
		{"first", 0, 1, 0},
		{"whole fleet", 4 * second, 1, 4 * second},
		{"a quarter since then", 8 * second, 0.25, 5 * second},
		{"still a quarter", 12 * second, 0.25, 6 * second},
		{"the whole fleet again", 16 * second, 1, 7 * second},
		{"still", 17 * second, 1, 8 * second},
		{"an earlier call that comes late", 16 * second, 1, 8 * second},
	}
	var c quota.Clock
	for _, tt := range tests {
		if got := c.Read(start.Add(tt.after), tt.share).Sub(start); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.desc, got, tt.want)
		}
	}
}

// TestStretch guards against a time to come back that overflows where a home is cut off from a large fleet.
func TestStretch(t *testing.T) {
	const year = 365 * 24 * time.Hour
	tests := []struct {
		wait  time.Duration
		share float64
		want  time.Duration
	}{
		{0, 0.25, 0},
		{time.Second, 1, time.Second},
		{time.Second, 0.25, 4 * time.Second},
		{year, 1.0 / 4900, year},
		{year, 0, year},
	}
	for _, tt := range tests {
		if got := quota.Stretch(tt.wait, tt.share); got != tt.want {
			t.Errorf("%s with a share of %g: got %s, want %s", tt.wait, tt.share, got, tt.want)
		}
	}
}

// TestClock_Read_parts plays a customer that sends all it can through a fleet that falls into two parts again and again. The
// home notices after some time; the nodes that do not reach it use their shares at once. In no window may more be admitted
// than the limit, the burst, and what both parts use until the home has noticed.
func TestClock_Read_parts(t *testing.T) {
	const (
		step    = 20 * time.Millisecond
		window  = 5 * time.Second
		noticed = 800 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(5, 100).Draw(t, "rate")
		burst := rapid.Float64Range(1, 100).Draw(t, "burst")
		nodes := rapid.IntRange(2, 30).Draw(t, "nodes")
		var c quota.Clock
		var home quota.Bucket
		var others quota.SharedBucket
		var admitted []int // In each step.
		away := 0          // Nodes that do not reach the home.
		var since time.Time
		var begun []int // Steps in which nodes lost the home.
		for now := time.Unix(1000, 0); len(admitted) < 1000; now = now.Add(step) {
			if rapid.IntRange(0, 199).Draw(t, "change") == 0 {
				if away == 0 {
					away, since = rapid.IntRange(1, nodes-1).Draw(t, "away"), now
					begun = append(begun, len(admitted))
				} else {
					away = 0
				}
			}
			share := 1.0
			if away > 0 && now.Sub(since) >= noticed {
				share = 1 - float64(away)/float64(nodes)
			}
			n := 0
			for home.Take(c.Read(now, share), rate, burst) == 0 {
				n++
			}
			for i := range away {
				for {
					if _, ok := others.Take(now, node(i), rate, nodes, 0); !ok {
						break
					}
					n++
				}
			}
			admitted = append(admitted, n)
		}
		length := int(window / step)
		for from := range admitted[:len(admitted)-length] {
			got, lost := 0, 0
			for _, n := range admitted[from : from+length] {
				got += n
			}
			for _, at := range begun {
				if at >= from-int(noticed/step) && at < from+length {
					lost++
				}
			}
			// Each share holds one request at first, and so again after each cut.
			want := rate*window.Seconds() + burst + float64(nodes) + float64(lost)*(rate*noticed.Seconds()+float64(nodes)) + 2
			if float64(got) > want {
				t.Fatalf("got %d requests in %s after step %d, want %g at most", got, window, from, want)
			}
		}
	})
}
