package booking

import (
	"cmp"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/backend/forecast"
)

const (
	// waitMargin times the expected wait is the one that a request must have the
	// patience for, unless it is nested, so that few are given up in the queue.
	waitMargin = 1.5

	// maxWaitingPerSlot bounds the queue.
	maxWaitingPerSlot = 8
)

// place is a request in the queue.
type place struct {
	ticket   Ticket
	since    time.Time
	expected time.Duration // How long it was expected to wait.
}

// queue lets t wait if it can still be answered in time. A full queue gives up
// the ticket that would start last.
func (d *Desk) queue(now time.Time, t Ticket) []Effect {
	ahead := 0
	last := -1
	for i, w := range d.waiting {
		if d.before(now, w.ticket, t) {
			ahead++
		}
		if last < 0 || d.before(now, d.waiting[last].ticket, w.ticket) {
			last = i
		}
	}
	expected := d.wait(ahead)
	if start := now.Add(d.longest(now, t, expected)); d.moving() == 0 || !d.inTime(start, t) {
		return []Effect{d.refuse(t)}
	}
	if d.overloaded(now, t) {
		return []Effect{d.refuseForGood(t)}
	}
	var effects []Effect
	if len(d.waiting) >= maxWaitingPerSlot*d.slots {
		if !d.before(now, t, d.waiting[last].ticket) {
			return []Effect{d.refuse(t)}
		}
		effects = append(effects, d.refuse(d.waiting[last].ticket))
		d.waiting = slices.Delete(d.waiting, last, last+1)
	}
	d.waiting = append(d.waiting, place{ticket: t, since: now, expected: expected})
	return append(effects, Wait{ID: t.ID})
}

// longest returns how long t may have to wait. One that waits for nothing else and
// is overtaken is refused rather early than after its patience.
func (d *Desk) longest(now time.Time, t Ticket, expected time.Duration) time.Duration {
	corrected := d.forecast(t).Correct(now, expected)
	if t.Nested {
		return corrected
	}
	return time.Duration(waitMargin * float64(corrected))
}

// forecast returns what is known of the waits of requests like t.
func (d *Desk) forecast(t Ticket) *forecast.Forecast {
	if t.Nested {
		return &d.nested
	}
	return &d.others
}

// inTime tells whether t can be answered in time if it starts then.
func (d *Desk) inTime(start time.Time, t Ticket) bool {
	return !start.After(t.Patience) && !start.Add(d.expected(t.Route)).After(t.Deadline)
}

// before orders the queue: first what can still be answered while it is worth
// most, so that an overload does not make all late; then what a backend server
// waits for, as it holds a slot meanwhile; then by priority, by the calls that were
// made already for the same end, and by the time it is due.
func (d *Desk) before(now time.Time, a, b Ticket) bool {
	late := func(t Ticket) bool { return now.Add(d.expected(t.Route)).After(t.Due) }
	if la, lb := late(a), late(b); la != lb {
		return lb
	}
	if a.Nested != b.Nested {
		return a.Nested
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Steps, a.Steps), a.Due.Compare(b.Due), cmp.Compare(a.ID, b.ID)) < 0
}

// wait is the time after which the ticket at a place of the queue is expected
// to start.
func (d *Desk) wait(place int) time.Duration {
	return d.holdTime() * time.Duration(place+1) / time.Duration(max(d.moving(), 1))
}

// turnAway refuses those who wait and fit.
func (d *Desk) turnAway(f func(place) bool) []Effect {
	var effects []Effect
	d.waiting = slices.DeleteFunc(d.waiting, func(w place) bool {
		if !f(w) {
			return false
		}
		effects = append(effects, d.refuse(w.ticket))
		return true
	})
	return effects
}

// fill gives free slots to those who wait.
func (d *Desk) fill(now time.Time, effects []Effect) []Effect {
	for d.open && len(d.waiting) > 0 && len(d.running) < d.slots {
		first := 0
		for i := range d.waiting {
			if d.before(now, d.waiting[i].ticket, d.waiting[first].ticket) {
				first = i
			}
		}
		w := d.waiting[first]
		d.waiting = slices.Delete(d.waiting, first, first+1)
		d.forecast(w.ticket).Waited(now, w.expected, now.Sub(w.since))
		effects = append(effects, d.start(now, w.ticket, false))
	}
	return effects
}
