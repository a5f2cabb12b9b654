package ranking

import (
	"slices"
	"time"
)

// maxWorkFactor bounds by how much the cost of a node that reports its work may differ from what counting says, so
// that an estimate that is wrong by ten times, or a node that reports too little work, does little harm.
const maxWorkFactor = 3.0

// utilisation returns the estimated number of running, waiting and newly sent requests
// as a fraction of the slots. Where the node reported the work that is left, a full backend server
// counts by the wait for a slot that follows from it, in the unit of usual requests. An older
// load counts less and is replaced by unknownUtilisation.
func (c *candidate) utilisation(now time.Time, usual time.Duration) float64 {
	if c.load.Slots == 0 {
		return unknownUtilisation
	}
	requests := float64(c.load.Running + c.load.Waiting)
	if c.load.WorkKnown && c.load.SlotDelay > 0 && usual > 0 {
		// A wait of the usual slot time is as long as that for as many requests as there are slots.
		waiting := float64(c.load.SlotDelay) / float64(usual) * float64(c.load.Slots)
		requests = min(max(float64(c.load.Running)-1+waiting, requests/maxWorkFactor), requests*maxWorkFactor)
	}
	reported := (requests + float64(c.sentSinceLoad)) / float64(c.load.Slots)
	f := c.freshness(now)
	return f*reported + (1-f)*unknownUtilisation
}

// usualSlotTime returns the median of the mean slot times of the nodes of a service that report
// work, or zero if there are none. A median, so that a single node cannot move the unit in
// which all others are compared.
func (r *Ranking) usualSlotTime(service string) time.Duration {
	var means []time.Duration
	for _, c := range r.nodes {
		if c.node.Service == service && c.load.WorkKnown && c.load.MeanSlotTime > 0 {
			means = append(means, c.load.MeanSlotTime)
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}
