package currency_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

// TestState_Current drives the states of a whole fleet through faults of the
// network, the store, the clocks and the processes. No node may be current on an
// older head once a head is in force, and the fleet is whole after the faults.
func TestState_Current(t *testing.T) {
	t.Parallel()
	var verdicts [3]int
	heads, accepted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(plans.Draw(t, "plan"), noMistake)
		if problem := w.play(10 * time.Second); problem != "" {
			t.Fatal(problem)
		}
		for i, n := range w.verdicts {
			verdicts[i] += n
		}
		heads += len(w.heads)
		accepted += len(w.accepted)
	})
	t.Logf("verdicts by none, store and attestations: %d; heads: %d, accepted: %d", verdicts, heads, accepted)
	if slices.Contains(verdicts[:], 0) {
		t.Errorf("got verdicts %d, want some on each basis", verdicts)
	}
}

// TestState_Current_mistakes shows that the same schedules find mistakes in the
// code around the decisions.
func TestState_Current_mistakes(t *testing.T) {
	t.Parallel()
	tests := []struct {
		desc    string
		mistake mistake
	}{
		{"ages are counted from the arrival of the answer", agesFromArrival},
		{"a head counts as accepted without a half", acceptedAtOnce},
		{"only the last roster is pending", lastRosterOnly},
		{"a suspension of the VM is not noticed", undetectedPauses},
	}
	const most = 400
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			for i := range most {
				if problem := newWorld(plans.Example(i), tt.mistake).play(0); problem != "" {
					t.Logf("schedule %d: %s", i, problem)
					return
				}
			}
			t.Errorf("got no violation in %d schedules, want one", most)
		})
	}
}
