package currency

import "time"

// sighting says that at time at, or later, a sequence number that only grows was
// at most the given one. The time is when the question was sent: a message may
// lie in a buffer for any time before it is read.
type sighting struct {
	at   time.Time
	most uint64
}

// evidence holds sightings of one number, either the head of the store or the
// head that one member runs. The zero value holds none.
type evidence struct {
	usable sighting // Latest of those that do not exceed the head that this node runs.
	ahead  sighting // Latest of the others; they become usable with a newer head.
}

// observe records s for a node that runs head running.
func (e *evidence) observe(running uint64, s sighting) {
	kept := &e.usable
	if s.most > running {
		kept = &e.ahead
	}
	if s.at.After(kept.at) {
		*kept = s
	}
}

// advance re-sorts the sightings for a node that now runs head running.
func (e *evidence) advance(running uint64) {
	if e.ahead.most > running {
		return
	}
	ahead := e.ahead
	e.ahead = sighting{}
	e.observe(running, ahead)
}

// vote is what this node knows of one member.
type vote struct {
	evidence
	least  uint64    // The member runs this sequence or a later one, for ever.
	heard  time.Time // Latest time at which it is known to have run at all.
	listed time.Time // Time from which its silence counts against it.
}

// see records that the member ran at the time at or later.
func (v *vote) see(at time.Time) {
	if at.After(v.heard) {
		v.heard = at
	}
}

// silentSince returns the time from which nothing was heard of the member.
func (v *vote) silentSince() time.Time {
	if v.listed.After(v.heard) {
		return v.listed
	}
	return v.heard
}

// counts reports whether the vote can support head running at all.
func (v *vote) counts(running uint64) bool {
	return !v.usable.at.IsZero() && v.least <= running
}
