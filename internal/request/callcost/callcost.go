// Package callcost describes how many calls to other services a run of a route makes on average. A
// retry makes these calls again, so they are part of its cost in the retry budgets.
package callcost

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// MaxLevel is the number of levels of calls that are known: calls, their calls, and the calls of
	// these.
	MaxLevel = 3

	// MaxCalls bounds the calls of a run to a service at a level.
	MaxCalls = 1000

	// MaxCosts bounds the length of Costs.
	MaxCosts = 16

	// maxServiceName bounds the name of a service, in bytes.
	maxServiceName = 255

	// negligible is the number of calls of a run up to which it counts as making none. It covers
	// calls that are attributed to the wrong route, which would otherwise tie the retries of
	// routes that make no calls to the budgets of other services.
	negligible = 0.1
)

// Cost is the mean number of calls to a service at a level.
type Cost struct {
	Service string
	Level   int // 1 for the calls of the run itself, 2 for the calls that these make, up to MaxLevel.
	Calls   float64
}

// Costs are the costs of a run of a route. There is at most one for a service and a level.
type Costs []Cost

// Valid returns the costs that are within their bounds, at most MaxCosts.
func (c Costs) Valid() Costs {
	var valid Costs
	for _, x := range c {
		if x.Service == "" || len(x.Service) > maxServiceName || x.Level < 1 || x.Level > MaxLevel || !(x.Calls > 0) || valid.index(x) >= 0 {
			continue
		}
		if len(valid) == MaxCosts {
			break
		}
		x.Calls = min(x.Calls, MaxCalls)
		valid = append(valid, x)
	}
	return valid
}

// Significant returns the costs that are worth being paid, the largest first, at most MaxCosts.
func (c Costs) Significant() Costs {
	list := slices.DeleteFunc(slices.Clone(c), func(x Cost) bool { return x.Calls <= negligible })
	slices.SortFunc(list, func(a, b Cost) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), strings.Compare(a.Service, b.Service), a.Level-b.Level)
	})
	return list[:min(len(list), MaxCosts)]
}

// OfCalls returns the costs of calls whose runs have the costs c. They are one level deeper.
func (c Costs) OfCalls(calls float64) Costs {
	var deeper Costs
	for _, x := range c {
		if x.Level < MaxLevel {
			deeper = append(deeper, Cost{Service: x.Service, Level: x.Level + 1, Calls: calls * x.Calls})
		}
	}
	return deeper
}

// Add returns the sum of two costs. It may change c.
func (c Costs) Add(other Costs) Costs {
	for _, x := range other {
		if i := c.index(x); i >= 0 {
			c[i].Calls += x.Calls
		} else {
			c = append(c, x)
		}
	}
	return c
}

// index returns the index of the cost for the service and the level of x, or -1.
func (c Costs) index(x Cost) int {
	return slices.IndexFunc(c, func(y Cost) bool { return x.Service == y.Service && x.Level == y.Level })
}
