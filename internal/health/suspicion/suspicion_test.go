package suspicion_test

import (
	"fmt"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/health/suspicion"
)

var now = time.Unix(1000, 0)

func TestSuspicion_Value(t *testing.T) {
	good := func(n int) *suspicion.Suspicion {
		s := new(suspicion.Suspicion)
		for range n {
			s.Good(now)
		}
		return s
	}
	failed := good(5)
	failed.Bad(now)
	recovered := good(5)
	recovered.Bad(now)
	for range 3 {
		recovered.Good(now)
	}
	tests := []struct {
		desc     string
		s        *suspicion.Suspicion
		ages     []float64
		from, to float64
	}{
		{"unknown", new(suspicion.Suspicion), nil, 0.02, 0.1},
		{"good answers", good(5), nil, 0, 0.03},
		{"good answers and requests of usual age", good(5), []float64{0.5, 0.5, 0.8}, 0, 0.2},
		{"good answers and one request that hangs", good(5), []float64{3}, 0.5, 1},
		{"two requests that take long", new(suspicion.Suspicion), []float64{1.5, 1.5}, 0.4, 1},
		{"one failure after good answers", failed, nil, 0.2, 0.5},
		{"good answers after a failure", recovered, nil, 0, 0.1},
	}
	for _, tt := range tests {
		if got := tt.s.Value(now, tt.ages...); got < tt.from || got > tt.to {
			t.Errorf("%s: got %.3f, want from %g to %g", tt.desc, got, tt.from, tt.to)
		}
	}
}

func ExampleSuspicion() {
	var s suspicion.Suspicion
	s.Bad(time.Unix(0, 0))
	fmt.Println(s.Value(time.Unix(0, 0)) > 0.5, s.Value(time.Unix(20, 0)) > 0.5)
	// Output: true false
}
