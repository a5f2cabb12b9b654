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
func (d *Scheduler) enqueue(now time.Time, t Request) []Effect {
	ahead := 0
	last := -1
	for i, w := range d.waiting {
		if d.precedes(now, w.request, t) {
			ahead++
		}
		if last < 0 || d.precedes(now, d.waiting[last].request, w.request) {
			last = i
		}
	}
	expected := d.expectedWait(ahead)
	if start := now.Add(d.maxWait(now, t, expected)); d.usableSlots() == 0 || !d.meetsDeadline(start, t) {
		return []Effect{d.refuse(t)}
	}
	if d.shouldShed(now, t) {
		return []Effect{d.refuseOverloaded(t)}
	}
	var effects []Effect
	if len(d.waiting) >= maxWaitingPerSlot*d.slots {
		if !d.precedes(now, t, d.waiting[last].request) {
			return []Effect{d.refuse(t)}
		}
		effects = append(effects, d.refuse(d.waiting[last].request))
		d.waiting = slices.Delete(d.waiting, last, last+1)
	}
	d.waiting = append(d.waiting, waitingRequest{request: t, enqueued: now, expectedWait: expected})
	return append(effects, Wait{ID: t.ID})
}

// maxWait returns a cautious estimate of the wait of t. Requests that are not nested
// can be overtaken, so a margin is added: an early refusal is better than one at the end
// of the time that they may wait.
func (d *Scheduler) maxWait(now time.Time, t Request, expected time.Duration) time.Duration {
	corrected := d.waitEstimator(t).Estimate(now, expected)
	if t.Nested {
		return corrected
	}
	return time.Duration(waitMargin * float64(corrected))
}

// waitEstimator returns the wait-time estimator for requests like t.
func (d *Scheduler) waitEstimator(t Request) *waittime.Estimator {
	if t.Nested {
		return &d.nestedWaits
	}
	return &d.otherWaits
}

// meetsDeadline reports whether t, started at the given time, would still start within
// the time that it may wait and be answered before its deadline.
func (d *Scheduler) meetsDeadline(start time.Time, t Request) bool {
	return !start.After(t.QueueDeadline) && !start.Add(d.expectedDuration(t.Route)).After(t.Deadline)
}

// precedes reports whether a starts before b. The order is: requests that can still meet
// their objective, so that an overload does not make every request late; nested
// requests, whose parent requests hold a slot meanwhile; priority; more calls already
// answered for the same parent request; earlier due time; identifier.
func (d *Scheduler) precedes(now time.Time, a, b Request) bool {
	late := func(t Request) bool { return now.Add(d.expectedDuration(t.Route)).After(t.Due) }
	if la, lb := late(a), late(b); la != lb {
		return lb
	}
	if a.Nested != b.Nested {
		return a.Nested
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Steps, a.Steps), a.Due.Compare(b.Due), cmp.Compare(a.ID, b.ID)) < 0
}

// expectedWait returns the expected time until the request at a position of the queue
// starts.
func (d *Scheduler) expectedWait(position int) time.Duration {
	return d.meanSlotTime() * time.Duration(position+1) / time.Duration(max(d.usableSlots(), 1))
}

// refuseWaiting refuses and removes the waiting requests for which match returns true.
func (d *Scheduler) refuseWaiting(match func(waitingRequest) bool) []Effect {
	var effects []Effect
	d.waiting = slices.DeleteFunc(d.waiting, func(w waitingRequest) bool {
		if !match(w) {
			return false
		}
		effects = append(effects, d.refuse(w.request))
		return true
	})
	return effects
}

// fillSlots starts waiting requests in the free slots and appends to effects.
func (d *Scheduler) fillSlots(now time.Time, effects []Effect) []Effect {
	for d.open && len(d.waiting) > 0 && len(d.running) < d.slots {
		first := 0
		for i := range d.waiting {
			if d.precedes(now, d.waiting[i].request, d.waiting[first].request) {
				first = i
			}
		}
		w := d.waiting[first]
		d.waiting = slices.Delete(d.waiting, first, first+1)
		d.waitEstimator(w.request).Observe(now, w.expectedWait, now.Sub(w.enqueued))
		effects = append(effects, d.start(now, w.request, false))
	}
	return effects
}
