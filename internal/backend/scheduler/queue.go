package scheduler

import (
	"cmp"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/backend/waittime"
)

const (
	// waitMargin times the expected wait must fit the time that a request may wait,
	// unless the request is nested, so that few requests time out in the queue.
	waitMargin = 1.5

	// maxWaitingPerSlot times the slots is the greatest length of the queue.
	maxWaitingPerSlot = 8
)

// waitingRequest is a request in the queue.
type waitingRequest struct {
	request      Request
	enqueued     time.Time
	expectedWait time.Duration // Wait that was expected when it was queued, before correction.
}

// enqueue appends t to the queue if it is expected to start and be answered in time. A
// full queue refuses the request that would start last.
func (s *Scheduler) enqueue(now time.Time, t Request) []Effect {
	ahead, work := 0, time.Duration(0)
	last := -1
	for i, w := range s.waiting {
		if s.precedes(now, w.request, t) {
			ahead++
			work += w.request.cost
		}
		if last < 0 || s.precedes(now, s.waiting[last].request, w.request) {
			last = i
		}
	}
	expected := s.expectedWait(now, ahead, work)
	cautious := expected
	if s.byWork() {
		cautious = max(cautious, s.cautiousWait(now, ahead, work))
	}
	if start := now.Add(s.maxWait(now, t, cautious)); s.usableSlots() == 0 || !s.meetsDeadline(start, t) {
		return []Effect{s.refuse(now, t)}
	}
	if s.shouldShed(now, t) {
		return []Effect{s.refuseOverloaded(t)}
	}
	var effects []Effect
	if len(s.waiting) >= maxWaitingPerSlot*s.slots {
		if !s.precedes(now, t, s.waiting[last].request) {
			return []Effect{s.refuse(now, t)}
		}
		effects = append(effects, s.refuse(now, s.waiting[last].request))
		s.waiting = slices.Delete(s.waiting, last, last+1)
	}
	s.waiting = append(s.waiting, waitingRequest{request: t, enqueued: now, expectedWait: expected})
	return append(effects, Wait{ID: t.ID})
}

// maxWait returns a cautious estimate of the wait of t. Requests that are not nested
// can be overtaken, so a margin is added: an early refusal is better than one at the end
// of the time that they may wait.
func (s *Scheduler) maxWait(now time.Time, t Request, expected time.Duration) time.Duration {
	corrected := s.waitEstimator(t).Estimate(now, expected)
	if t.Nested {
		return corrected
	}
	return time.Duration(waitMargin * float64(corrected))
}

// waitEstimator returns the wait-time estimator for requests like t.
func (s *Scheduler) waitEstimator(t Request) *waittime.Estimator {
	if t.Nested {
		return &s.nestedWaits
	}
	return &s.otherWaits
}

// meetsDeadline reports whether t, started at the given time, would still start within
// the time that it may wait and be answered before its deadline.
func (s *Scheduler) meetsDeadline(start time.Time, t Request) bool {
	return !start.After(t.QueueDeadline) && !start.Add(s.expectedDuration(t.Route)).After(t.Deadline) && s.mayStart(start, t)
}

// precedes reports whether a starts before b. The order is: requests that can still meet
// their objective, so that an overload does not make every request late; nested
// requests, whose parent requests hold a slot meanwhile; requests that suit a cold start,
// if there is one; priority; more calls already answered for the same parent request; earlier
// due time, to which the expected cost is added while requests are placed by work, so that long
// ones do not hold up short ones that are due at the same time, and still come first once they
// have waited for as long; identifier.
func (s *Scheduler) precedes(now time.Time, a, b Request) bool {
	late := func(t Request) bool { return now.Add(s.expectedDuration(t.Route)).After(t.Due) }
	if la, lb := late(a), late(b); la != lb {
		return lb
	}
	if a.Nested != b.Nested {
		return a.Nested
	}
	if sa, sb := s.suitsColdStart(now, a), s.suitsColdStart(now, b); sa != sb {
		return sa
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Steps, a.Steps), a.Due.Add(a.cost).Compare(b.Due.Add(b.cost)), cmp.Compare(a.ID, b.ID)) < 0
}

// expectedWait returns the expected time until the request at a position of the queue
// starts. The requests before it have the given work.
func (s *Scheduler) expectedWait(now time.Time, position int, ahead time.Duration) time.Duration {
	if s.byWork() {
		return max(s.slotWait(now, position, ahead), s.startDelay(now, position+1))
	}
	forSlot := s.meanSlotTime() * time.Duration(position+1) / time.Duration(max(s.usableSlots(), 1))
	return max(forSlot, s.startDelay(now, position+1))
}

// refuseWaiting refuses and removes the waiting requests for which match returns true.
func (s *Scheduler) refuseWaiting(now time.Time, match func(waitingRequest) bool) []Effect {
	var effects []Effect
	s.waiting = slices.DeleteFunc(s.waiting, func(w waitingRequest) bool {
		if !match(w) {
			return false
		}
		effects = append(effects, s.refuse(now, w.request))
		return true
	})
	return effects
}

// fillSlots starts waiting requests in the free slots and appends to effects.
func (s *Scheduler) fillSlots(now time.Time, effects []Effect) []Effect {
	for s.open && len(s.waiting) > 0 && len(s.running) < s.slots && s.startDelay(now, 1) <= 0 {
		first := 0
		for i := range s.waiting {
			if s.precedes(now, s.waiting[i].request, s.waiting[first].request) {
				first = i
			}
		}
		w := s.waiting[first]
		s.waiting = slices.Delete(s.waiting, first, first+1)
		s.waitEstimator(w.request).Observe(now, w.expectedWait, now.Sub(w.enqueued))
		effects = append(effects, s.start(now, w.request, false))
	}
	return effects
}
