package configsync

import (
	"strings"
	"testing"
	"time"
)

// stored is what the store has at a read: the configuration of a version, at a revision.
type stored struct {
	version  int
	revision int64
}

// TestSyncer_readStore_restored guards against a revoked key that stays in force: the store comes back from a
// copy and gives out the revision of the configuration in force again, for a newer one.
func TestSyncer_readStore_restored(t *testing.T) {
	tests := []struct {
		desc  string
		reads []stored
		want  uint64 // Version in force at the end.
	}{
		{"the revision is given to the next version", []stored{{5, 9}, {6, 9}}, 6},
		{"the version was written again before", []stored{{5, 9}, {5, 8}, {6, 9}}, 6},
		{"the copy was read before", []stored{{5, 9}, {3, 7}, {5, 8}, {6, 9}}, 6},
		{"the copy alone", []stored{{5, 9}, {4, 7}}, 5},
		{"the revision is given to an older version", []stored{{5, 9}, {4, 9}, {5, 10}}, 5},
		{"twice", []stored{{5, 9}, {6, 9}, {5, 8}, {7, 9}}, 7},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var log lockedBuffer
			sy, s, _, _ := newSyncer(t, &log)
			for _, r := range tt.reads {
				s.set(strings.Repeat("v", r.version), r.revision)
				asked := time.Now()
				if err := sy.readStore(t.Context()); err != nil {
					t.Fatal(err)
				}
				if got := sy.Stamp(time.Now()).Age; got > time.Since(asked) {
					t.Errorf("version %d at revision %d: got a proof %s old, want that of the read", r.version, r.revision, got)
				}
			}
			if got := sy.Snapshot().Revision(); got != tt.want {
				t.Errorf("got the version %d in force, want %d", got, tt.want)
			}
		})
	}
}

// TestSyncer_readStore_restoredOdd guards against a configuration that is not taken because an earlier one of the
// same revision, which the store has lost, could not be used.
func TestSyncer_readStore_restoredOdd(t *testing.T) {
	var log lockedBuffer
	sy, s, _, _ := newSyncer(t, &log)
	for _, value := range []string{"odd", "vvvvv"} {
		s.set(value, 9)
		if err := sy.readStore(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if got := sy.Snapshot().Revision(); got != 5 {
		t.Errorf("got the version %d in force, want 5", got)
	}
}
