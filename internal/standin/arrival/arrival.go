// Package arrival generates an open-loop load: the send time of every request is
// fixed before the first one is sent, so that a slow response delays no request.
package arrival

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// Customer describes the requests of one customer in a load test.
type Customer struct {
	Name      string
	Key       string  // Secret of the API key.
	Rate      float64 // Mean number of requests sent per second.
	PostShare float64 // Share of requests sent as POST, which may not be retried.
	Limit     float64 // Requests allowed per second; zero means no limit.
	Burst     int     // Requests allowed in a burst above the limit.
	Surge     Surge
}

// Surge multiplies the rate of a customer by Factor from From to To, measured from the
// start of the run. The zero value is no surge.
type Surge struct {
	From   time.Duration
	To     time.Duration
	Factor float64
}

// Arrival is a planned request.
type Arrival struct {
	At       time.Duration // Time since the start of the run.
	Customer int           // Index into the customers given to Plan.
	Method   string        // GET, or POST for a request that may not be retried.
	Target   uint64        // Uniform random number that selects the target if requests are spread over all targets.
}

// Plan returns the arrivals of all customers, sorted by time. Each customer is an
// independent Poisson process. Equal arguments give equal plans.
func Plan(customers []Customer, length time.Duration, seed uint64) []Arrival {
	var all []Arrival
	for i, c := range customers {
		draws := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, c.planArrivals(i, length, draws)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

// planArrivals generates a Poisson process of variable rate by thinning: it draws
// arrivals at the peak rate and keeps each with a probability of the rate at that
// time divided by the peak rate.
func (c Customer) planArrivals(index int, length time.Duration, draws *rand.Rand) []Arrival {
	peak := c.Rate * max(1, c.Surge.Factor)
	if peak <= 0 {
		return nil
	}
	var out []Arrival
	for at := 0.0; ; {
		at += draws.ExpFloat64() / peak
		t := time.Duration(at * float64(time.Second))
		if t >= length {
			return out
		}
		keep, method, target := draws.Float64(), draws.Float64(), draws.Uint64()
		if keep*peak >= c.rateAt(t) {
			continue
		}
		a := Arrival{At: t, Customer: index, Method: http.MethodGet, Target: target}
		if method < c.PostShare {
			a.Method = http.MethodPost
		}
		out = append(out, a)
	}
}

// rateAt returns the requests per second at a time since the start of the run.
func (c Customer) rateAt(t time.Duration) float64 {
	if c.Surge.Factor > 0 && t >= c.Surge.From && t < c.Surge.To {
		return c.Rate * c.Surge.Factor
	}
	return c.Rate
}
