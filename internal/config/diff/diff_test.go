package diff_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"filbertturn.example/filbertturn/internal/config/diff"
	"filbertturn.example/filbertturn/internal/config/sample"
	"filbertturn.example/filbertturn/internal/config/set"
)

// TestDiff checks the changes of every kind of object, and that they disclose no
// hash.
func TestDiff(t *testing.T) {
	a, b := sample.Sized(3, 2), sample.Sized(3, 2)
	if got := diff.Diff(a, b); len(got) > 0 {
		t.Errorf("got %v of equal sets, want nothing", got)
	}
	b.Routes[0].Methods, b.Routes[0].Open = []string{}, true
	b.Routes[1].Idempotent = []string{} // Equal to nil.
	b.Customers = append(b.Customers[1:], set.Customer{Name: "new"})
	b.Keys[2].Hash = "another"
	b.Pools[0].Probe.Path = "/other"
	b.Operators = nil
	got := diff.Diff(a, b)
	want := "[Changed Route route-0000: Methods, Open Removed Customer customer-00000 Added Customer new " +
		"Changed Key key-00002: Hash Changed Pool pool-00: Probe Removed Operator operator]"
	if fmt.Sprint(got) != want {
		t.Errorf("got  %v\nwant %s", got, want)
	}
	text, err := json.Marshal(got)
	if err != nil || strings.Contains(string(text), "another") || strings.Contains(string(text), a.Keys[2].Hash) {
		t.Errorf("got %s, %v, want no hash", text, err)
	}
}
