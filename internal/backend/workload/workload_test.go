package workload_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/backend/workload"
	_ "filbertturn.example/filbertturn/internal/check/seed"
)

var start = time.Unix(1000, 0)

// draw returns a lognormal slot time of the given mean, of which three in a hundred are seven times as long.
func draw(random *rand.Rand, mean, deviation float64) time.Duration {
	c := mean / math.Exp(deviation*deviation/2) / 1.18 * math.Exp(deviation*random.NormFloat64())
	if random.Float64() < 0.03 {
		c *= 7
	}
	return time.Duration(c * float64(time.Second))
}

// TestCost_EndsWithin checks the calibration: of the requests that are forecast with probability p to end within t, a
// fraction p do, whether they have just begun or have run for a while.
func TestCost_EndsWithin(t *testing.T) {
	for _, deviation := range []float64{0.4, 0.9} {
		random := rand.New(rand.NewPCG(1, 0))
		var e workload.Estimator
		var forecast, ended, count [10]float64
		now := start
		for i := range 100000 {
			now = now.Add(50 * time.Millisecond)
			q := workload.Request{Route: fmt.Sprint(i % 3), Path: fmt.Sprint(random.IntN(30)), Customer: fmt.Sprint(random.IntN(9))}
			took := draw(random, float64(i%3)+0.2, deviation)
			c := e.Estimate(now, q, 0)
			ran := time.Duration(random.Float64() * 2 * float64(time.Second))
			within := time.Duration(random.ExpFloat64() * float64(time.Second))
			if i > 1000 && took > ran {
				p := c.EndsWithin(ran, within)
				bin := min(int(p*10), 9)
				forecast[bin] += p
				count[bin]++
				if took <= ran+within {
					ended[bin]++
				}
			}
			e.Observe(now, q, took)
		}
		for i, n := range count {
			got, want := ended[i]/n, forecast[i]/n
			t.Logf("deviation %.1f: of %5.0f forecast with %.3f, %.3f ended", deviation, n, want, got)
			if math.Abs(got-want) > 0.04 {
				t.Errorf("deviation %.1f: got %.3f ended in time, want %.3f as forecast", deviation, got, want)
			}
		}
	}
}

// TestCost_Remaining guards against a long request that is expected to end soon: with a heavy tail the expected
// remaining time grows with the time for which it has run.
func TestCost_Remaining(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 0))
	var e workload.Estimator
	q := workload.Request{Route: "r"}
	for i := range 1000 {
		e.Observe(start.Add(time.Duration(i)*50*time.Millisecond), q, draw(random, 0.7, 0.4))
	}
	c := e.Estimate(start.Add(time.Minute), q, 0)
	if got := c.Mean(); got < 600*time.Millisecond || got > 800*time.Millisecond {
		t.Errorf("got a mean of %s, want 700 ms", got)
	}
	if young, old := c.Remaining(0), c.Remaining(2*time.Second); old < 2*young {
		t.Errorf("got %s after 2 s and %s at first, want twice as much at least", old, young)
	}
}

// TestEstimator_Informative guards against features that are used although they tell nothing, and against those that
// are not used although they do.
func TestEstimator_Informative(t *testing.T) {
	for _, tells := range []string{"none", "path", "customer", "length"} {
		used := 0
		var e workload.Estimator
		random := rand.New(rand.NewPCG(3, 0))
		for i := range 6000 {
			path, customer, length := random.IntN(20), random.IntN(12), random.IntN(5)
			factor := map[string]float64{"path": float64(1 + path%5), "customer": float64(1 + customer%5), "length": float64(1 + length)}[tells]
			e.Observe(start.Add(time.Duration(i)*50*time.Millisecond), workload.Request{
				Route: "r", Path: fmt.Sprint(path), Customer: fmt.Sprint(customer), Length: 1 << (2 * length),
			}, time.Duration(max(factor, 1)*float64(draw(random, 0.5, 0.4))))
			byPath, byCustomer, byLength := e.Informative("r")
			if tells == "none" && (byPath || byCustomer || byLength) {
				used++
			}
			want := [3]bool{tells == "path", tells == "customer", tells == "length"}
			if got := [3]bool{byPath, byCustomer, byLength}; i > 1500 && i%100 == 0 && got != want {
				t.Errorf("%s tells, %d answers: got %v, want %v", tells, i, got, want)
			}
		}
		if used > 60 {
			t.Errorf("got a feature that tells nothing used for %d of 6000 answers, want one in a hundred at most", used)
		}
	}
}

// TestEstimator_Slowness guards against a slow phase of the backend server that is learnt as the size of the work.
func TestEstimator_Slowness(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 0))
	var e workload.Estimator
	now := start
	play := func(n int, factor float64) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			e.Observe(now, workload.Request{Route: fmt.Sprint(random.IntN(2))}, time.Duration(factor*float64(draw(random, 0.5, 0.4))))
		}
	}
	play(600, 1)
	play(80, 3)
	if got := e.Slowness(now); got < 2 || got > 4 {
		t.Errorf("got a slowness of %.2f, want 3", got)
	}
	e.ResetSpeed()
	c := e.Estimate(now, workload.Request{Route: "0"}, 0)
	if got := c.Mean(); got > 800*time.Millisecond {
		t.Errorf("got %s at the usual speed, want 500 ms", got)
	}
}

// TestEstimator_Estimate_prior checks what is expected of requests of which nothing is known, of a route that is not
// known, and of a path that is not known.
func TestEstimator_Estimate_prior(t *testing.T) {
	var e workload.Estimator
	within := func(desc string, c workload.Cost, low, high time.Duration) {
		t.Helper()
		if got := c.Mean(); got < low || got > high {
			t.Errorf("%s: got %s, want %s to %s", desc, got, low, high)
		}
	}
	within("nothing", e.Estimate(start, workload.Request{Route: "r"}, time.Second), 900*time.Millisecond, 1100*time.Millisecond)
	random := rand.New(rand.NewPCG(5, 0))
	for i := range 500 {
		e.Observe(start.Add(time.Duration(i)*50*time.Millisecond), workload.Request{Route: "r", Path: "/a"}, draw(random, 0.2, 0.4))
	}
	within("route", e.Estimate(start.Add(time.Minute), workload.Request{Route: "s"}, time.Second), 150*time.Millisecond, 300*time.Millisecond)
	within("path", e.Estimate(start.Add(time.Minute), workload.Request{Route: "r", Path: "/b"}, time.Second), 150*time.Millisecond, 300*time.Millisecond)
}

// TestEstimator_Observe_memory guards against memory that grows with routes, paths and customers.
func TestEstimator_Observe_memory(t *testing.T) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	var list [16]workload.Estimator
	before := heap()
	for k := range list {
		for i := range 20000 {
			name := fmt.Sprintf("%0200d", i)
			list[k].Observe(start.Add(time.Duration(i)*time.Millisecond), workload.Request{Route: name, Path: name, Customer: name, Length: int64(i)}, time.Second)
		}
	}
	if got := (heap() - before) / int64(len(list)); got > workload.MaxBytes {
		t.Errorf("got %d bytes, want %d at most", got, workload.MaxBytes)
	}
	runtime.KeepAlive(&list)
}

// TestCost checks for all kinds of answers that estimates are finite, that probabilities fall with the time and that
// quantiles agree with them.
func TestCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e workload.Estimator
		now := start
		for range rapid.IntRange(0, 50).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "later")))
			e.Observe(now, workload.Request{Route: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "route"), Length: rapid.Int64().Draw(t, "length")},
				time.Duration(rapid.Int64().Draw(t, "took")))
		}
		c := e.Estimate(now, workload.Request{Route: "a"}, time.Duration(rapid.Int64().Draw(t, "prior")))
		last, ran := 1.0, time.Duration(0)
		for range 20 {
			p, left := c.Outlasts(ran), c.Remaining(ran)
			if !(p >= 0 && p <= last+1e-6) || left < 0 || left > time.Hour {
				t.Fatalf("got %v and %s after %s, want at most %v", p, left, ran, last)
			}
			last, ran = p, ran*2+time.Millisecond
		}
		if q := c.OutlastedAt(0.05); math.Abs(c.Outlasts(q)-0.05) > 0.01 && q > time.Millisecond {
			t.Errorf("got %v for the quantile of 0.05, %s", c.Outlasts(q), q)
		}
	})
}
