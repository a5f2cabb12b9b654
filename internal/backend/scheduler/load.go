package scheduler

import (
	"time"

	"filbertturn.example/filbertturn/internal/request/order"
)

// maxIdle is the longest time since the last start that is reported.
const maxIdle = 10 * time.Second

// Load is the load of a backend server, as reported to other nodes.
type Load struct {
	Running            int
	Waiting            int
	Slots              int
	FailureProbability float64       // Probability that the next request fails, 0 to 1.
	Serving            bool          // It accepts requests.
	MeanSlotTime       time.Duration // Mean time that a request holds its slot; zero if unknown or out of date.
	Idle               time.Duration // Time since a request was last started, at most 10 s.
	TrialDue           bool          // It is suspected and a trial may start now.
	LimitInterval      time.Duration // Mean time between two requests at its limit; zero if there is none.
	LimitDelay         time.Duration // Time until its limit lets a further request start; negative if it could have started before.
	WorkKnown          bool          // Work and SlotDelay are set: requests are placed by work.
	Work               time.Duration // Expected slot time that is left of the requests in slots and in the queue.
	SlotDelay          time.Duration // Expected wait of a new request for a free slot.
}

// Accepts reports whether a backend server with this load would start or queue a
// request of the given level. trialAllowed tells whether the request may
// be a trial.
func (l Load) Accepts(level order.Level, trialAllowed bool) bool {
	switch {
	case !l.Serving:
		return false
	case level == order.Trusted && l.FailureProbability >= trialThreshold:
		return trialAllowed && l.TrialDue
	case level == order.Trusted:
		return l.Waiting == 0 && l.Running < l.Slots && l.LimitDelay <= 0
	case level == order.Queued:
		return l.FailureProbability < queueThreshold
	}
	return true
}
