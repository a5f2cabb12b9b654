package transport

import (
	"math"

	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/callcost"
)

// permille is the unit of numbers of calls and of probabilities between nodes.
const permille = 1000

// maxCallCostRuns bounds the runs that an owner says its costs rest on.
const maxCallCostRuns = 1000

// callCostsToProto encodes costs; those that round to zero are left out.
func callCostsToProto(c callcost.Costs) []*peerpb.CallCost {
	var list []*peerpb.CallCost
	for _, x := range c.Valid() {
		if milli := uint32(math.Round(x.Calls * permille)); milli > 0 {
			list = append(list, &peerpb.CallCost{Service: x.Service, Level: uint32(x.Level), MilliCalls: milli})
		}
	}
	return list
}

// callCostsFromProto decodes what callCostsToProto encodes. Costs beyond the bounds are left out.
func callCostsFromProto(list []*peerpb.CallCost) callcost.Costs {
	var c callcost.Costs
	for _, x := range list[:min(len(list), callcost.MaxCosts)] {
		c = append(c, callcost.Cost{Service: x.GetService(), Level: int(x.GetLevel()), Calls: float64(x.GetMilliCalls()) / permille})
	}
	return c.Valid()
}

// retryPermille encodes the probability that a run counts as a retry. It is left out where it says the same
// as repeat, so that first attempts are no longer than before.
func retryPermille(probability float64, repeat bool) *uint32 {
	milli := uint32(math.Round(min(max(probability, 0), 1) * permille))
	if repeat && milli == permille || !repeat && milli == 0 {
		return nil
	}
	return &milli
}

// retryProbability decodes what retryPermille encodes. Releases that do not tell count each repeat.
func retryProbability(head *peerpb.RequestHead) float64 {
	switch {
	case head.RetryPermille != nil:
		return float64(min(head.GetRetryPermille(), permille)) / permille
	case head.GetRepeat():
		return 1
	}
	return 0
}
