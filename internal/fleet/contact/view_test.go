package contact_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/fleet/contact"
)

func TestView_Share(t *testing.T) {
	const interval = 400 * time.Millisecond
	ages := func(list ...int) []time.Duration {
		out := make([]time.Duration, len(list))
		for i, ms := range list {
			out[i] = time.Duration(ms) * time.Millisecond
		}
		return out
	}
	tests := []struct {
		desc string
		view contact.View
		want float64
	}{
		{"a fleet of one", contact.View{}, 1},
		{"all", contact.View{Interval: interval, Near: ages(0, 400, 800), Far: ages(400, 1200, 1600, 1600)}, 1},
		{"a node of the data centre is silent", contact.View{Interval: interval, Near: ages(0, 400, 1300)}, 0.75},
		{"another data centre is silent", contact.View{Interval: interval, Near: ages(0), Far: ages(2100, 2200)}, 0.5},
		{"isolated", contact.View{Interval: interval, Silence: 650 * time.Millisecond, Near: ages(650, 900, 1000)}, 0.25},
		{"a lost exchange", contact.View{Interval: interval, Silence: 550 * time.Millisecond, Near: ages(550, 900, 1000)}, 1},
		{"a large fleet", contact.View{Interval: 2 * interval, Silence: time.Second, Near: ages(2000), Far: ages(3900)}, 1},
	}
	for _, tt := range tests {
		if got := tt.view.Share(); got != tt.want {
			t.Errorf("%s: got %g, want %g", tt.desc, got, tt.want)
		}
	}
}

// TestView_Share_parts splits a fleet into parts that hear nothing of one another. Once each node has noticed, the shares of
// nodes of different parts, one of each, make up the fleet at most.
func TestView_Share_parts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := time.Duration(rapid.IntRange(400, 2000).Draw(t, "interval")) * time.Millisecond
		parts := make([]int, rapid.IntRange(1, 40).Draw(t, "nodes"))
		far := make([]bool, len(parts))
		for i := range parts {
			parts[i] = rapid.IntRange(0, 4).Draw(t, "part")
			far[i] = rapid.Bool().Draw(t, "far")
		}
		total := 0.0
		seen := make(map[int]bool)
		for self, part := range parts {
			if seen[part] {
				continue
			}
			seen[part] = true
			v := contact.View{Interval: interval}
			for i, other := range parts {
				age := time.Duration(0)
				if other != part {
					age = 5*interval + time.Millisecond
				}
				switch {
				case i == self:
				case far[i] != far[self]:
					v.Far = append(v.Far, age)
				default:
					v.Near = append(v.Near, age)
				}
			}
			total += v.Share()
		}
		if total > 1+1e-9 {
			t.Fatalf("got shares of %g in all, want 1 at most", total)
		}
	})
}

func ExampleView_Share() {
	v := contact.View{
		Interval: 400 * time.Millisecond,
		Near:     []time.Duration{100 * time.Millisecond, 300 * time.Millisecond},
		Far:      []time.Duration{5 * time.Second},
	}
	fmt.Println(v.Share())
	// Output: 0.75
}
