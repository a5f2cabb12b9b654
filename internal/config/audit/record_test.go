package audit_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/diff"
)

func FuzzDecode(f *testing.F) {
	changes := []diff.Change{{Kind: "Key", Name: "k", Action: diff.Changed, Fields: []string{"Hash"}}}
	r := audit.New(audit.Record{Time: time.Unix(1, 2).UTC(), Operator: "amel", From: 6, To: 7, PublishID: "p"}, changes)
	f.Add(audit.Key(7), r.Encode())
	f.Add(audit.Key(math.MaxUint64), []byte(`{"To":18446744073709551615,"Time":"9999-12-31T23:59:59Z"}`))
	f.Add(audit.Prefix+"7", []byte(`{"To":7}`))
	f.Fuzz(func(t *testing.T, key string, text []byte) {
		r, err := audit.Decode(key, text)
		if err != nil {
			return
		}
		if revision, err := audit.Revision(key); err != nil || revision != r.To {
			t.Fatalf("got revision %d, %v of key %q, want %d", revision, err, key, r.To)
		}
		again, err := audit.Decode(key, r.Encode())
		if err != nil || !again.Time.Equal(r.Time) || again.PublishID != r.PublishID || len(again.Changes) != len(r.Changes) {
			t.Fatalf("got %+v, %v, want %+v", again, err, r)
		}
	})
}

// TestNew checks that a record lists at most MaxChanges changes, and that keys sort
// by revision.
func TestNew(t *testing.T) {
	r := audit.New(audit.Record{To: 1}, make([]diff.Change, audit.MaxChanges+5))
	if len(r.Changes) != audit.MaxChanges || r.Omitted != 5 {
		t.Errorf("got %d changes and %d omitted, want %d and 5", len(r.Changes), r.Omitted, audit.MaxChanges)
	}
	if got, err := audit.Decode(audit.Key(1), r.Encode()); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("got %+v, %v, want the record", got, err)
	}
	if audit.Key(9) >= audit.Key(10) {
		t.Errorf("got key %s after %s", audit.Key(9), audit.Key(10))
	}
}
