// Package admission decides which requests get the slots of a backend server.
// Customers that wait take turns, so that none of them can fill the queue.
package admission

import (
	"slices"
	"time"
)

const (
	// LengthPerSlot times the slots is the greatest number of requests that
	// wait. A longer queue only delays the refusals.
	LengthPerSlot = 4

	// expectedHold is the time that a request is expected to hold its slot
	// before any has left.
	expectedHold = 50 * time.Millisecond

	// smoothing is the weight of the newest hold in the mean.
	smoothing = 0.2
)

// Ticket is a request that wants a slot.
type Ticket struct {
	ID       uint64
	Customer string
	Deadline time.Time // Time at which it no longer waits.
}

// Effect is what becomes of a request: Start or Refuse.
type Effect interface{ effect() }

// Start gives a request a slot.
type Start struct{ ID uint64 }

// Refuse ends the wait of a request.
type Refuse struct {
	ID         uint64
	RetryAfter time.Duration // Time after which a slot is expected.
}

func (Start) effect()  {}
func (Refuse) effect() {}

// Queue is the queue of one backend server. Its zero value has no slots. It is
// not safe for use by several goroutines at once.
type Queue struct {
	slots   int
	running map[uint64]time.Time // Start of each request that holds a slot.
	lines   []line               // Customers that wait, in the order of their turns.
	length  int
	hold    time.Duration // Mean time that a request holds its slot.
}

// line holds the waiting requests of one customer.
type line struct {
	customer string
	tickets  []Ticket
}

// SetSlots changes the number of slots. Requests that run keep theirs.
func (q *Queue) SetSlots(now time.Time, n int) []Effect {
	q.slots = max(n, 0)
	return q.fill(now, q.Tick(now))
}

// Enter asks for a slot.
func (q *Queue) Enter(now time.Time, t Ticket) []Effect {
	effects := q.Tick(now)
	if q.Free() > 0 && q.length == 0 {
		q.start(now, t.ID)
		return append(effects, Start{ID: t.ID})
	}
	if !t.Deadline.After(now) {
		return append(effects, q.refuse(t))
	}
	if q.length >= LengthPerSlot*q.slots {
		victim, found := q.displace(t)
		if !found {
			return append(effects, q.refuse(t))
		}
		effects = append(effects, q.refuse(victim))
	}
	q.push(t)
	return effects
}

// displace removes the newest request of the longest line, unless the line of
// the newcomer's customer would become as long.
func (q *Queue) displace(t Ticket) (Ticket, bool) {
	longest, own := -1, 0
	for i, l := range q.lines {
		if l.customer == t.Customer {
			own = len(l.tickets)
		}
		if longest < 0 || len(l.tickets) > len(q.lines[longest].tickets) {
			longest = i
		}
	}
	if longest < 0 || len(q.lines[longest].tickets) <= own+1 {
		return Ticket{}, false
	}
	l := &q.lines[longest]
	last := len(l.tickets) - 1
	victim := l.tickets[last]
	l.tickets = l.tickets[:last]
	q.length--
	return victim, true
}

func (q *Queue) push(t Ticket) {
	q.length++
	for i := range q.lines {
		if q.lines[i].customer == t.Customer {
			q.lines[i].tickets = append(q.lines[i].tickets, t)
			return
		}
	}
	q.lines = append(q.lines, line{customer: t.Customer, tickets: []Ticket{t}})
}

// Leave gives a slot back.
func (q *Queue) Leave(now time.Time, id uint64) []Effect {
	started, ok := q.running[id]
	if !ok {
		return q.Tick(now)
	}
	delete(q.running, id)
	if q.hold == 0 {
		q.hold = now.Sub(started)
	}
	q.hold += time.Duration(smoothing * float64(now.Sub(started)-q.hold))
	return q.fill(now, q.Tick(now))
}

// Cancel withdraws a request that waits.
func (q *Queue) Cancel(now time.Time, id uint64) []Effect {
	q.remove(func(t Ticket) bool { return t.ID == id })
	return q.Tick(now)
}

// Tick refuses the requests whose time to wait is over.
func (q *Queue) Tick(now time.Time) []Effect {
	var effects []Effect
	for _, t := range q.remove(func(t Ticket) bool { return !t.Deadline.After(now) }) {
		effects = append(effects, q.refuse(t))
	}
	return effects
}

// Next returns the time at which Tick is due, or zero if nothing waits.
func (q *Queue) Next() time.Time {
	var next time.Time
	for _, l := range q.lines {
		for _, t := range l.tickets {
			if next.IsZero() || t.Deadline.Before(next) {
				next = t.Deadline
			}
		}
	}
	return next
}

// Free returns the slots that no request holds. It is negative after the number
// of slots fell below the requests that run.
func (q *Queue) Free() int {
	return q.slots - len(q.running)
}

// Length returns the number of requests that wait.
func (q *Queue) Length() int {
	return q.length
}

func (q *Queue) start(now time.Time, id uint64) {
	if q.running == nil {
		q.running = make(map[uint64]time.Time)
	}
	q.running[id] = now
}

// fill gives free slots to the customers in turn.
func (q *Queue) fill(now time.Time, effects []Effect) []Effect {
	for q.Free() > 0 && q.length > 0 {
		l := q.lines[0]
		q.lines = q.lines[1:]
		t := l.tickets[0]
		l.tickets = l.tickets[1:]
		q.length--
		if len(l.tickets) > 0 {
			q.lines = append(q.lines, l)
		}
		q.start(now, t.ID)
		effects = append(effects, Start{ID: t.ID})
	}
	return effects
}

// remove takes the requests for which f holds out of the queue.
func (q *Queue) remove(f func(Ticket) bool) []Ticket {
	var removed []Ticket
	for i := range q.lines {
		l := &q.lines[i]
		kept := make([]Ticket, 0, len(l.tickets))
		for _, t := range l.tickets {
			if f(t) {
				removed = append(removed, t)
			} else {
				kept = append(kept, t)
			}
		}
		l.tickets = kept
	}
	q.lines = slices.DeleteFunc(q.lines, func(l line) bool { return len(l.tickets) == 0 })
	q.length -= len(removed)
	return removed
}

// refuse tells the time at which the queue will have moved on by one request.
func (q *Queue) refuse(t Ticket) Refuse {
	hold := q.hold
	if hold == 0 {
		hold = expectedHold
	}
	wait := hold * time.Duration(q.length+1) / time.Duration(max(q.slots, 1))
	return Refuse{ID: t.ID, RetryAfter: wait}
}
