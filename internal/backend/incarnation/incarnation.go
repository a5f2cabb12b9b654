// Package incarnation tracks which incarnation of a backend server is in service. It decides
// from heartbeats, which may be delayed, repeated or from an earlier incarnation, from
// health checks and from deregistrations. An incarnation is one run of the backend
// server process.
package incarnation

import (
	"net/netip"
	"time"
)

// State is the state that a backend server announces in its heartbeats.
type State int

// The states of a backend server.
const (
	Ready State = iota
	Draining
)

// failedCheckTTL is the time after a failed health check in which heartbeats do not
// confirm an incarnation. They may be delayed ones of an incarnation that is shutting down. A
// live incarnation sends two heartbeats in this time, and announces itself if it shuts
// down.
const failedCheckTTL = 3 * time.Second

// maxSequenceStep is the greatest step between two heartbeats of an incarnation. One of the two
// sequence numbers of a greater step is wrong, and it is the higher one: it would make all later
// heartbeats late.
const maxSequenceStep = 1 << 32

// Announcement is a heartbeat of a backend server.
type Announcement struct {
	ReceivedAt time.Time // Time of arrival at the node.
	InstanceID string    // Identifier, which may stay the same across a restart.
	StartedAt  time.Time // Start time of the incarnation.
	Sequence   int64     // Increases with each heartbeat of an incarnation; not negative.
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Version    string
	Slots      int
	State      State
	ColdStart  time.Duration // Duration of the cold start, in which it responds more slowly.
}

// Effect is the result of a heartbeat or deregistration: Discovered, Updated,
// Removed or Ignored.
type Effect interface{ effect() }

// Discovered reports a new incarnation. It has to be confirmed by a health check or by
// its next heartbeat before it serves, because a delayed heartbeat could come from an
// incarnation that has already ended.
type Discovered struct{ Announcement Announcement }

// Updated reports a new heartbeat of the current incarnation, which confirms it.
type Updated struct{ Announcement Announcement }

// Removed reports that the incarnation accepts no more requests.
type Removed struct{ Announcement Announcement }

// Ignored reports why a heartbeat or deregistration changed nothing.
type Ignored struct{ Reason string }

func (Discovered) effect() {}
func (Updated) effect()    {}
func (Removed) effect()    {}
func (Ignored) effect()    {}

// Tracker tracks the incarnations of one backend server. Its zero value knows none. It is
// not safe for concurrent use.
type Tracker struct {
	current       Announcement
	known         bool      // Whether current is set.
	confirmed     bool      // By a health check or a second heartbeat.
	checkFailedAt time.Time // Time of the last failed health check; zero if none.
	removed       bool      // It accepts no more requests.
}

// Heartbeat processes a heartbeat.
func (t *Tracker) Heartbeat(a Announcement) Effect {
	switch {
	case t.known && a.StartedAt.Before(t.current.StartedAt):
		return Ignored{Reason: "heartbeat of an earlier incarnation"}
	case !t.known || a.InstanceID != t.current.InstanceID || a.StartedAt.After(t.current.StartedAt):
		return t.discover(a)
	case t.removed:
		return Ignored{Reason: "incarnation has left"}
	case a.Sequence-t.current.Sequence > maxSequenceStep:
		return Ignored{Reason: "sequence number is out of proportion"}
	case a.Sequence <= t.current.Sequence && t.current.Sequence-a.Sequence <= maxSequenceStep:
		return Ignored{Reason: "heartbeat is late"}
	}
	t.current = a
	if a.State == Draining {
		t.removed = true
		return Removed{Announcement: a}
	}
	if !t.confirmed && !t.checkFailedAt.IsZero() && a.ReceivedAt.Sub(t.checkFailedAt) < failedCheckTTL {
		return Ignored{Reason: "health check speaks against it"}
	}
	t.confirmed = true
	return Updated{Announcement: a}
}

// discover makes a the announcement of a new current incarnation.
func (t *Tracker) discover(a Announcement) Effect {
	t.current, t.known, t.confirmed, t.checkFailedAt = a, true, false, time.Time{}
	t.removed = a.State == Draining
	if t.removed {
		return Removed{Announcement: a}
	}
	return Discovered{Announcement: a}
}

// HealthCheckPassed records that a health check of the instance succeeded. It has no effect on
// other instances than the current one.
func (t *Tracker) HealthCheckPassed(instance string) {
	if t.known && t.current.InstanceID == instance {
		t.confirmed = true
	}
}

// HealthCheckFailed records that the instance itself responded to a health check that it does not
// serve. It has no effect on other instances than the current one.
func (t *Tracker) HealthCheckFailed(now time.Time, instance string) {
	if t.known && t.current.InstanceID == instance {
		t.checkFailedAt = now
	}
}

// Deregister processes the deregistration of an instance. A zero startedAt means that it
// carried no start time.
func (t *Tracker) Deregister(instance string, startedAt time.Time) Effect {
	switch {
	case !t.known:
		// Remember the incarnation, so that a delayed heartbeat does not bring it back.
		t.current, t.known, t.removed = Announcement{InstanceID: instance, StartedAt: startedAt}, true, true
		return Removed{Announcement: t.current}
	case instance != t.current.InstanceID:
		return Ignored{Reason: "another incarnation is in service"}
	case !startedAt.IsZero() && startedAt.Before(t.current.StartedAt):
		return Ignored{Reason: "deregistration of an earlier incarnation"}
	}
	t.removed = true
	if startedAt.After(t.current.StartedAt) {
		t.current.StartedAt = startedAt
	}
	return Removed{Announcement: t.current}
}

// Leave takes the current incarnation out of service, a response of which said that it is
// leaving.
func (t *Tracker) Leave() Effect {
	if !t.known || t.removed {
		return Ignored{Reason: "incarnation has left"}
	}
	t.removed = true
	return Removed{Announcement: t.current}
}

// Evict takes an instance out of service whose address responded for another one.
func (t *Tracker) Evict(instance string) {
	if t.current.InstanceID == instance {
		t.removed = true
	}
}

// Current returns the latest announcement of the current incarnation.
func (t *Tracker) Current() Announcement { return t.current }

// Serving returns the latest announcement of the current incarnation, and whether it is
// in service: confirmed and not removed.
func (t *Tracker) Serving() (Announcement, bool) {
	return t.current, t.known && t.confirmed && !t.removed
}
