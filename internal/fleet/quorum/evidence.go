package quorum

import "time"

// upperBound states that at time at, or later, a sequence number that only grows was
// at most sequence. The time is when the request was sent, not when the response was
// read, since a message may wait in a buffer for any length of time.
type upperBound struct {
	at       time.Time
	sequence uint64
}

// evidence holds the latest upper bounds of one sequence number: that of the store's
// head, or that of the head which one member runs. The zero value holds none.
type evidence struct {
	usable upperBound // Latest bound that does not exceed the head this node runs.
	ahead  upperBound // Latest bound beyond it; becomes usable with a newer head.
}

// observe records the bound s for a node that runs head running.
func (e *evidence) observe(running uint64, s upperBound) {
	kept := &e.usable
	if s.sequence > running {
		kept = &e.ahead
	}
	if s.at.After(kept.at) {
		*kept = s
	}
}

// advance makes the bound that lay ahead usable if a node that now runs head running
// has reached it.
func (e *evidence) advance(running uint64) {
	if e.ahead.sequence > running {
		return
	}
	ahead := e.ahead
	e.ahead = upperBound{}
	e.observe(running, ahead)
}

// peerState is what this node knows of one member.
type peerState struct {
	evidence
	reached      uint64    // The member runs this sequence or a later one, and never goes back.
	lastHeard    time.Time // Latest time at which the member is known to have been alive.
	silenceStart time.Time // Time from which its silence is counted: when it was listed, or after a suspension.
}

// markAlive records that the member was alive at the time at or later.
func (v *peerState) markAlive(at time.Time) {
	if at.After(v.lastHeard) {
		v.lastHeard = at
	}
}

// silentSince returns the time since which the member has been silent.
func (v *peerState) silentSince() time.Time {
	if v.silenceStart.After(v.lastHeard) {
		return v.silenceStart
	}
	return v.lastHeard
}

// supports reports whether the member counts towards a majority for head running: it
// has a usable upper bound and is not known to run a later head.
func (v *peerState) supports(running uint64) bool {
	return !v.usable.at.IsZero() && v.reached <= running
}
