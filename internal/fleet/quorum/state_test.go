package quorum_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

// TestState_Current simulates a fleet with faults of the network, the store, the clocks
// and the processes. No node may be current on an older head once a head is in force,
// and the whole fleet must recover after the faults.
func TestState_Current(t *testing.T) {
	t.Parallel()
	var statuses [3]int
	heads, accepted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(schedules.Draw(t, "plan"), noMutation)
		if problem := w.run(10 * time.Second); problem != "" {
			t.Fatal(problem)
		}
		for i, n := range w.statuses {
			statuses[i] += n
		}
		heads += len(w.heads)
		accepted += len(w.accepted)
	})
	t.Logf("statuses by none, store and attestations: %d; heads: %d, accepted: %d", statuses, heads, accepted)
	if slices.Contains(statuses[:], 0) {
		t.Errorf("got statuses %d, want some on each basis", statuses)
	}
}

// TestState_Current_mutations checks that the schedules of TestState_Current find
// deliberate faults in the code that calls the package.
func TestState_Current_mutations(t *testing.T) {
	t.Parallel()
	tests := []struct {
		desc    string
		mistake mutation
	}{
		{"ages are measured from the arrival of the response", agesFromArrival},
		{"a head is regarded as accepted at once", acceptedImmediately},
		{"only the latest roster is pending", lastRosterOnly},
		{"a suspension of the VM is not detected", undetectedSuspensions},
	}
	const most = 400
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			for i := range most {
				if problem := newWorld(schedules.Example(i), tt.mistake).run(0); problem != "" {
					t.Logf("schedule %d: %s", i, problem)
					return
				}
			}
			t.Errorf("got no violation in %d schedules, want one", most)
		})
	}
}
