// Package fairqueue is the fair queue in front of the slots of a backend server. Free
// slots go to the waiting customers in turn (round robin), so that no customer can
// crowd out the others.
package fairqueue

import (
	"slices"
	"time"
)

const (
	// MaxQueuedPerSlot times the slots is the greatest number of waiting requests. A
	// longer queue would only delay refusals.
	MaxQueuedPerSlot = 4

	// defaultSlotTime is the time that a request is expected to hold its slot while
	// none has been released yet.
	defaultSlotTime = 50 * time.Millisecond

	// smoothingFactor is the weight of the newest sample in the moving average.
	smoothingFactor = 0.2
)

// Request is a request that wants a slot.
type Request struct {
	ID       uint64
	Customer string
	Deadline time.Time // Time at which it is refused if it still waits.
}

// Effect is a decision on one request, which the caller has to carry out: Start or
// Refuse.
type Effect interface{ effect() }

// Start gives a request a slot.
type Start struct{ ID uint64 }

// Refuse rejects a request that was waiting or has just arrived.
type Refuse struct {
	ID         uint64
	RetryAfter time.Duration // Time after which a slot is expected to be free.
}

func (Start) effect()  {}
func (Refuse) effect() {}

// Queue assigns the slots of one backend server to requests. Its zero value has no
// slots. It is not safe for concurrent use. Callers pass the current time to its
// methods, and call Tick at the time that NextTick returns.
type Queue struct {
	slots     int
	running   map[uint64]time.Time // Start time of each request that holds a slot.
	customers []customerQueue      // Customers with waiting requests, in the order of their turns.
	waiting   int                  // Waiting requests of all customers.
	slotTime  time.Duration        // Moving average of the time that a request holds its slot; 0 if unknown.
}

// customerQueue holds the waiting requests of one customer, oldest first.
type customerQueue struct {
	customer string
	requests []Request
}

// SetSlots changes the number of slots. Running requests keep theirs.
func (q *Queue) SetSlots(now time.Time, n int) []Effect {
	q.slots = max(n, 0)
	return q.fillSlots(now, q.Tick(now))
}

// Acquire asks for a slot for t. Without an effect for t, it waits.
func (q *Queue) Acquire(now time.Time, t Request) []Effect {
	effects := q.Tick(now)
	if q.Free() > 0 && q.waiting == 0 {
		q.start(now, t.ID)
		return append(effects, Start{ID: t.ID})
	}
	if !t.Deadline.After(now) {
		return append(effects, q.refuse(t))
	}
	if q.waiting >= MaxQueuedPerSlot*q.slots {
		victim, found := q.displace(t)
		if !found {
			return append(effects, q.refuse(t))
		}
		effects = append(effects, q.refuse(victim))
	}
	q.push(t)
	return effects
}

// displace makes room for t in a full queue: it removes the newest request of the
// customer with the most waiting requests, unless t's customer would then have as many.
func (q *Queue) displace(t Request) (Request, bool) {
	longest, own := -1, 0
	for i, l := range q.customers {
		if l.customer == t.Customer {
			own = len(l.requests)
		}
		if longest < 0 || len(l.requests) > len(q.customers[longest].requests) {
			longest = i
		}
	}
	if longest < 0 || len(q.customers[longest].requests) <= own+1 {
		return Request{}, false
	}
	l := &q.customers[longest]
	last := len(l.requests) - 1
	victim := l.requests[last]
	l.requests = l.requests[:last]
	q.waiting--
	return victim, true
}

func (q *Queue) push(t Request) {
	q.waiting++
	for i := range q.customers {
		if q.customers[i].customer == t.Customer {
			q.customers[i].requests = append(q.customers[i].requests, t)
			return
		}
	}
	q.customers = append(q.customers, customerQueue{customer: t.Customer, requests: []Request{t}})
}

// Release releases the slot of a running request. An unknown identifier is ignored.
func (q *Queue) Release(now time.Time, id uint64) []Effect {
	started, ok := q.running[id]
	if !ok {
		return q.Tick(now)
	}
	delete(q.running, id)
	if q.slotTime == 0 {
		q.slotTime = now.Sub(started)
	}
	q.slotTime += time.Duration(smoothingFactor * float64(now.Sub(started)-q.slotTime))
	return q.fillSlots(now, q.Tick(now))
}

// Cancel removes a waiting request from the queue.
func (q *Queue) Cancel(now time.Time, id uint64) []Effect {
	q.remove(func(t Request) bool { return t.ID == id })
	return q.Tick(now)
}

// Tick refuses the waiting requests whose deadlines have passed.
func (q *Queue) Tick(now time.Time) []Effect {
	var effects []Effect
	for _, t := range q.remove(func(t Request) bool { return !t.Deadline.After(now) }) {
		effects = append(effects, q.refuse(t))
	}
	return effects
}

// NextTick returns the time at which Tick is due, or the zero time if no request waits.
func (q *Queue) NextTick() time.Time {
	var next time.Time
	for _, l := range q.customers {
		for _, t := range l.requests {
			if next.IsZero() || t.Deadline.Before(next) {
				next = t.Deadline
			}
		}
	}
	return next
}

// Free returns the number of free slots. It is negative while more requests run than
// there are slots, after the number of slots was reduced.
func (q *Queue) Free() int {
	return q.slots - len(q.running)
}

// Length returns the number of waiting requests.
func (q *Queue) Length() int {
	return q.waiting
}

func (q *Queue) start(now time.Time, id uint64) {
	if q.running == nil {
		q.running = make(map[uint64]time.Time)
	}
	q.running[id] = now
}

// fillSlots starts waiting requests in the free slots, one customer after the other, and
// appends to effects.
func (q *Queue) fillSlots(now time.Time, effects []Effect) []Effect {
	for q.Free() > 0 && q.waiting > 0 {
		l := q.customers[0]
		q.customers = q.customers[1:]
		t := l.requests[0]
		l.requests = l.requests[1:]
		q.waiting--
		if len(l.requests) > 0 {
			q.customers = append(q.customers, l)
		}
		q.start(now, t.ID)
		effects = append(effects, Start{ID: t.ID})
	}
	return effects
}

// remove removes the waiting requests for which match returns true and returns them.
func (q *Queue) remove(match func(Request) bool) []Request {
	var removed []Request
	for i := range q.customers {
		l := &q.customers[i]
		kept := make([]Request, 0, len(l.requests))
		for _, t := range l.requests {
			if match(t) {
				removed = append(removed, t)
			} else {
				kept = append(kept, t)
			}
		}
		l.requests = kept
	}
	q.customers = slices.DeleteFunc(q.customers, func(l customerQueue) bool { return len(l.requests) == 0 })
	q.waiting -= len(removed)
	return removed
}

// refuse returns a refusal of t. Its RetryAfter is the time in which the queue is
// expected to be worked off.
func (q *Queue) refuse(t Request) Refuse {
	hold := q.slotTime
	if hold == 0 {
		hold = defaultSlotTime
	}
	wait := hold * time.Duration(q.waiting+1) / time.Duration(max(q.slots, 1))
	return Refuse{ID: t.ID, RetryAfter: wait}
}
