// Package arrival holds open-loop arrivals: the moment of every request is
// fixed before the first one is sent, so that a slow answer delays no request.
package arrival

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// Customer is a source of requests.
type Customer struct {
	Name      string
	Key       string  // Secret of its key.
	Rate      float64 // Requests per second that it sends on average.
	PostShare float64 // Share of its requests that may not be repeated.
	Limit     float64 // Requests per second that it is allowed; zero means no limit.
	Burst     int     // Requests that it is allowed at once.
	Surge     Surge
}

// Surge multiplies a customer's rate for a while. The zero value is no surge.
type Surge struct {
	From   time.Duration
	To     time.Duration
	Factor float64
}

// Arrival is one request to be sent.
type Arrival struct {
	At       time.Duration // Since the beginning of the run.
	Customer int           // Index of the customer.
	Method   string        // GET, or POST for what may not be repeated.
	Target   uint64        // Uniform draw by which a spreading caller picks its target.
}

// Plan returns the arrivals of all customers in order of time. Each customer
// is a Poisson process of its own. Equal arguments give equal plans.
func Plan(customers []Customer, length time.Duration, seed uint64) []Arrival {
	var all []Arrival
	for i, c := range customers {
		draws := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, c.plan(i, length, draws)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

// plan draws arrivals at the customer's highest rate and keeps each with the
// share that the rate of its moment has of the highest (thinning).
func (c Customer) plan(index int, length time.Duration, draws *rand.Rand) []Arrival {
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
		if keep*peak >= c.rate(t) {
			continue
		}
		a := Arrival{At: t, Customer: index, Method: http.MethodGet, Target: target}
		if method < c.PostShare {
			a.Method = http.MethodPost
		}
		out = append(out, a)
	}
}

func (c Customer) rate(t time.Duration) float64 {
	if c.Surge.Factor > 0 && t >= c.Surge.From && t < c.Surge.To {
		return c.Rate * c.Surge.Factor
	}
	return c.Rate
}
