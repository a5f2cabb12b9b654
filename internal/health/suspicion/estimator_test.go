package suspicion_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/health/suspicion"
)

const (
	step  = 5 * time.Millisecond
	usual = 100 * time.Millisecond
)

var start = time.Unix(1000, 0)

// request is a request running on the simulated backend server.
type request struct {
	began, ends time.Time
	fails       bool
}

// workTime draws the latency of a successful request from a Weibull distribution with
// the mean usual.
func workTime(r *rand.Rand) time.Duration {
	took := math.Pow(-math.Log(1-r.Float64()), 1/1.5) / math.Gamma(1+1/1.5)
	return time.Duration(took * float64(usual))
}

func age(q request, now time.Time) float64 {
	return float64(max(now.Sub(q.began), 0)) / float64(usual)
}

// play simulates requests on a backend server whose slots are always busy and returns
// the fraction of the time in which the estimated failure probability is at least 0.2.
// Requests take 100 ms on average and hang with the probability hang.
func play(slots int, hang float64, length time.Duration) float64 {
	r := rand.New(rand.NewPCG(1, uint64(slots)))
	begin := func(now time.Time) request {
		if r.Float64() < hang {
			return request{began: now, ends: now.Add(20 * usual), fails: true}
		}
		return request{began: now, ends: now.Add(workTime(r))}
	}
	running := make([]request, slots)
	for i := range running {
		running[i] = begin(start)
	}
	var s suspicion.Estimator
	doubted, steps := 0, 0
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		for i, q := range running {
			s.ObserveWait(now, age(q, now.Add(-step)), age(q, now))
			if !now.Before(q.ends) {
				if !q.fails {
					s.ObserveSuccess(now, q.began, age(q, now))
				}
				running[i] = begin(now)
			}
		}
		steps++
		if s.FailureProbability(now) >= 0.2 {
			doubted++
		}
	}
	return float64(doubted) / float64(steps)
}

// TestEstimator_FailureProbability checks, for several numbers of slots, that a backend server that
// is only busy keeps a low failure probability and that one that hangs gets a high one.
func TestEstimator_FailureProbability(t *testing.T) {
	for _, slots := range []int{1, 3, 5, 10, 20} {
		if got := play(slots, 0, time.Minute); got > 0.12 {
			t.Errorf("%d slots, all healthy: got a failure probability of 0.2 or more for %.2f of the time, want at most 0.12", slots, got)
		}
		if got := play(slots, 0.75, 10*time.Second); got < 0.85 {
			t.Errorf("%d slots, three of four hang: got a failure probability of 0.2 or more for %.2f of the time, want at least 0.85", slots, got)
		}
	}
}

// TestEstimator_ObserveSuccess checks that two responses in a row, but not one, restore a low
// failure probability after the backend server hung for long.
func TestEstimator_ObserveSuccess(t *testing.T) {
	var s suspicion.Estimator
	for range 20 {
		s.ObserveWait(start, 0, 5)
	}
	s.ObserveSuccess(start, start, 0)
	if got := s.FailureProbability(start); got < 0.2 {
		t.Errorf("after one response: got %.2f, want at least 0.2", got)
	}
	s.ObserveSuccess(start, start, 0)
	if got := s.FailureProbability(start); got >= 0.2 {
		t.Errorf("after two responses: got %.2f, want less than 0.2", got)
	}
}

// TestEstimator_ObserveSuccess_earlier guards against responses to old requests hiding a new
// failure: a backend server begins to fail while requests that started before still run,
// and their responses must not lower the failure probability.
func TestEstimator_ObserveSuccess_earlier(t *testing.T) {
	var s suspicion.Estimator
	failure := start.Add(time.Second)
	s.ObserveFailure(failure, failure, 0)
	s.ObserveFailure(failure.Add(step), failure.Add(step), 0)
	doubt := s.FailureProbability(failure.Add(step))
	for i := range 6 {
		s.ObserveSuccess(failure.Add(2*step), start.Add(time.Duration(i)*step), 0)
	}
	if got := s.FailureProbability(failure.Add(2 * step)); got < 0.95*doubt {
		t.Errorf("got %.2f after responses to requests that started before the failures, want about %.2f as before them", got, doubt)
	}
}

// TestEstimator_FailureProbability_episodes checks that the estimate is calibrated. The backend
// server is in an episode of some seconds for three tenths of the time, in which it
// fails a fraction of its requests within one step (5 ms); of the requests that start at
// a given estimate, about that fraction must fail.
func TestEstimator_FailureProbability_episodes(t *testing.T) {
	const (
		slots     = 4
		mistakes  = 0.02 // Fraction of requests that a healthy backend server fails.
		tolerance = 0.12
		least     = 300 // Least number of requests in a bin for its fraction to be compared.
	)
	bounds := []float64{0, 0.03, 0.1, 0.3, 0.6, 1}
	var begun, failed, expected [5]float64
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 0))
		var s suspicion.Estimator
		part, changes := mistakes, start
		running := make([]request, slots)
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
			if !now.Before(changes) {
				if part = mistakes; r.Float64() < 0.3 {
					part = 0.4 + 0.6*r.Float64()
				}
				changes = now.Add(time.Duration(r.ExpFloat64() * float64(3*time.Second)))
			}
			for i, q := range running {
				if !q.began.IsZero() {
					s.ObserveWait(now, age(q, now.Add(-step)), age(q, now))
					if now.Before(q.ends) {
						continue
					}
					if q.fails {
						s.ObserveFailure(now, q.began, age(q, now))
					} else {
						s.ObserveSuccess(now, q.began, age(q, now))
					}
					running[i] = request{}
				}
				if r.Float64() > 0.05 {
					continue // The slot stays free for now.
				}
				value := s.FailureProbability(now)
				bin := 0
				for value >= bounds[bin+1] {
					bin++
				}
				running[i] = request{began: now, ends: now.Add(workTime(r))}
				begun[bin]++
				expected[bin] += value
				if r.Float64() < part {
					running[i].fails, running[i].ends = true, now.Add(step)
					failed[bin]++
				}
			}
		}
	}
	for i := range begun {
		got, want := failed[i]/begun[i], expected[i]/begun[i]
		t.Logf("estimate from %.2f: %.0f requests, estimated %.3f, failed %.3f", bounds[i], begun[i], want, got)
		if begun[i] >= least && math.Abs(got-want) > tolerance {
			t.Errorf("estimate from %.2f: got %.3f of the requests failed, want about %.3f", bounds[i], got, want)
		}
	}
}

func ExampleEstimator() {
	var s suspicion.Estimator
	for range 3 {
		s.ObserveFailure(time.Unix(0, 0), time.Unix(0, 0), 0)
	}
	fmt.Println(s.FailureProbability(time.Unix(0, 0)) > 0.5, s.FailureProbability(time.Unix(20, 0)) > 0.5)
	// Output: true false
}
