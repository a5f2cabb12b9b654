package suspend

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

// TestDetector_Observe checks that suspensions of more than MaxUndetected in total within
// any ten seconds are detected while the wall clock is slewed.
func TestDetector_Observe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Detector
		wall, mono := 100*time.Hour, time.Duration(0)
		var missed []time.Duration // Suspensions before each of the readings in read, none of which reported a jump.
		var read []time.Duration
		for range rapid.IntRange(1, 60).Draw(t, "readings") {
			run := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "run"))
			suspended := time.Duration(rapid.Int64Range(0, int64(2*Threshold)).Draw(t, "suspended"))
			mono += run
			wall += run + run/2000 + suspended // The wall clock is slewed by 0.5 ms a second.
			if d.Observe(wall, mono) || len(read) == 0 {
				missed, read = nil, nil
				suspended = 0
			}
			missed, read = append(missed, suspended), append(read, mono)
			total := time.Duration(0)
			for i := range read {
				if mono-read[i] < anchorLifetime {
					total += missed[i]
				}
			}
			if total > MaxUndetected {
				t.Fatalf("got no report at %v, want one: suspended for %v", mono, total)
			}
		}
	})
}

// TestDetector_Observe_steps checks that a step of the wall clock beyond Threshold is
// reported once, in both directions, and that a reading from before it is ignored.
func TestDetector_Observe_steps(t *testing.T) {
	tests := []struct {
		desc string
		step time.Duration
		want bool
	}{
		{"clocks agree", 0, false},
		{"within the threshold", Threshold, false},
		{"wall clock ran ahead", Threshold + 1, true},
		{"wall clock went back", -Threshold - 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var d Detector
			d.Observe(time.Hour, time.Second)
			if got := d.Observe(time.Hour+time.Second+tt.step, 2*time.Second); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
			if d.Observe(time.Hour+2*time.Second+tt.step, 3*time.Second) {
				t.Error("got a second report of the same step")
			}
			if d.Observe(time.Hour, time.Second) {
				t.Error("got a report for a reading from before the step")
			}
		})
	}
}

// TestDetector_Observe_slewed checks that a wall clock which is slewed by 0.5 ms a second
// is not reported.
func TestDetector_Observe_slewed(t *testing.T) {
	var d Detector
	for i := range time.Duration(1000) {
		if d.Observe(time.Hour+i*(time.Second+time.Second/2000), i*time.Second) {
			t.Fatalf("got a report after %d s, want none", i)
		}
	}
}
