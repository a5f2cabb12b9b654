package share

import (
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/set"
)

// TestSplit checks the sums of the shares, the number of shares that are not zero,
// and that a larger burst makes no share's burst smaller.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		customer := rapid.String().Draw(t, "customer")
		l := set.Limit{Rate: rapid.Float64Range(-1, 1e6).Draw(t, "rate"), Burst: rapid.IntRange(-1, 100).Draw(t, "burst")}
		homes := rapid.IntRange(0, 8).Draw(t, "homes")
		got := Split(customer, l, homes)
		rate, burst, holders := 0.0, 0, 0
		larger := Split(customer, set.Limit{Rate: l.Rate, Burst: l.Burst + 1}, homes)
		for i, s := range got {
			rate, burst = rate+s.Rate, burst+s.Burst
			if s.Burst > larger[i].Burst {
				t.Fatalf("got share %v of home %d, want at most %v, as of a larger burst", s, i, larger[i])
			}
			if !s.IsZero() {
				holders++
			} else if s != (Share{}) {
				t.Fatalf("got share %v, want both parts or none", s)
			}
		}
		if rate > l.Rate*(1+1e-12) && rate > 0 || burst > max(0, l.Burst) || len(got) != homes {
			t.Fatalf("got %v, want at most %v over %d homes", got, l, homes)
		}
		if l.Rate > 0 && (holders != min(homes, max(0, l.Burst)) || homes > 0 && burst != max(0, l.Burst)) {
			t.Fatalf("got %v, want all of %v over %d homes", got, l, homes)
		}
	})
}
