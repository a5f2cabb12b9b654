package fleet

import (
	"slices"
	"testing"
	"time"
)

// worstExcess returns the greatest excess over the rate in any time window: the number
// of times in the window minus the rate times the length of the window.
func worstExcess(times []time.Time, rate float64) float64 {
	slices.SortFunc(times, time.Time.Compare)
	worst, level := 0.0, 0.0
	for i, at := range times {
		if i > 0 {
			level = max(0, level-rate*at.Sub(times[i-1]).Seconds())
		}
		level++
		worst = max(worst, level)
	}
	return worst
}

func TestWorstExcess(t *testing.T) {
	at := time.Unix(0, 0)
	tests := []struct {
		desc  string
		gaps  []time.Duration
		want  float64
		times []time.Time
	}{
		{desc: "none"},
		{desc: "a burst of three", gaps: []time.Duration{0, 0, 0}, want: 3},
		{desc: "at the rate", gaps: []time.Duration{0, time.Second, time.Second}, want: 1},
		{desc: "a burst after a pause", gaps: []time.Duration{0, time.Hour, 0}, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			now := at
			for _, gap := range tt.gaps {
				now = now.Add(gap)
				tt.times = append(tt.times, now)
			}
			if got := worstExcess(tt.times, 1); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
