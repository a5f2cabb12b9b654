package waitroom_test

import (
	"fmt"
	"testing"

	"filbertturn.example/filbertturn/internal/limit/waitroom"
)

// TestRoom_Enter_oneCustomer guards against a customer that fills a node with waiting requests, so that those of the
// others are refused.
func TestRoom_Enter_oneCustomer(t *testing.T) {
	var r waitroom.Room
	for range 10_000 {
		r.Enter("flood")
	}
	if got, want := r.Len(), 256; got != want {
		t.Errorf("got %d requests of one customer held, want %d", got, want)
	}
	for i := range 32 {
		for range 8 {
			if !r.Enter(fmt.Sprint(i)) {
				t.Fatalf("customer %d: got a request refused beside the flood", i)
			}
		}
	}
	for range 10_000 {
		r.Enter("late")
	}
	if got, want := r.Len(), 512; got != want {
		t.Errorf("got %d requests held, want %d", got, want)
	}
}

func TestRoom_Leave(t *testing.T) {
	var r waitroom.Room
	for range 10_000 {
		if r.Enter("a") {
			r.Leave("a")
		}
	}
	if got := r.Len(); got != 0 || !r.Enter("a") {
		t.Errorf("got %d requests held and no room, want none held", got)
	}
}
