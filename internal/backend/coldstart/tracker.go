// Package coldstart combines what heartbeats and health checks say of the cold start of one
// backend server. It is made for a backend server that gets the load of its service while it
// becomes cold at any moment, and whose heartbeats come late.
package coldstart

import "time"

// maxHeartbeatDelay is the time for which a heartbeat may have been under way when it arrives.
const maxHeartbeatDelay = 800 * time.Millisecond

// statement is an end of the cold start that the backend server named at a moment between two times.
// The zero value says that it was not cold.
type statement struct {
	end         time.Time
	after, upTo time.Time // Times between which it was made.
}

// madeAfter reports whether the statement was certainly made after another one.
func (s statement) madeAfter(other statement) bool {
	return !s.after.Before(other.upTo)
}

// Tracker holds the end of the cold start of one incarnation of a backend server. The zero value is not
// cold. It is not safe for concurrent use.
type Tracker struct {
	heartbeat statement // Latest of the heartbeats, which are in order.
	check     statement // Latest of the health checks.
}

// ObserveHeartbeat records the rest of the cold start that a heartbeat named, which is later than those before.
func (t *Tracker) ObserveHeartbeat(received time.Time, remaining time.Duration) {
	t.heartbeat = statement{end: received.Add(max(remaining, 0)), after: received.Add(-maxHeartbeatDelay), upTo: received}
}

// ObserveCheck records the rest of the cold start that the answer to a health check named. Of answers whose order is not
// known the later end counts.
func (t *Tracker) ObserveCheck(sent, received time.Time, remaining time.Duration) {
	c := statement{end: received.Add(max(remaining, 0)), after: sent, upTo: received}
	switch {
	case c.madeAfter(t.check):
		t.check = c
	case !t.check.madeAfter(c):
		t.check = statement{end: latest(t.check.end, c.end), after: earliest(t.check.after, sent), upTo: latest(t.check.upTo, received)}
	}
}

// End returns the end of the cold start, as it was named last; a time that has passed if there is none. If it is
// not known whether a heartbeat or a health check was answered last, the later end counts.
func (t *Tracker) End() time.Time {
	switch h, c := t.heartbeat, t.check; {
	case h.madeAfter(c):
		return h.end
	case c.madeAfter(h):
		return c.end
	default:
		return latest(h.end, c.end)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
