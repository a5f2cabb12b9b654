// Package lease keeps the leases of the backend servers that a node owns. A backend
// server renews its lease with heartbeats, in which it announces itself.
package lease

import (
	"net/netip"
	"slices"
	"time"
)

// TTL is the time after the last heartbeat at which a lease expires.
const TTL = 3 * time.Second

// State is the state that a backend server announces.
type State uint8

// The states of a backend server.
const (
	Starting State = iota
	Ready
	Draining // It accepts no new requests.
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Starting:
		return "Starting"
	case Ready:
		return "Ready"
	case Draining:
		return "Draining"
	}
	return "Unknown"
}

// Announcement is one heartbeat.
type Announcement struct {
	BackendServer netip.AddrPort
	Service       string
	DataCentre    string
	Slots         int // Requests that it can run concurrently.
	State         State
	Incarnation   uint64 // Start time of the backend server, in nanoseconds since 1970.
	Sequence      uint64 // Increases with each announcement of an incarnation.
}

// Entry is the lease of one backend server, with its latest announcement.
type Entry struct {
	Announcement
	Since   time.Time // Time of the first heartbeat with the current state.
	Expires time.Time
}

// Effect is a change of a lease: Added, Changed or Expired.
type Effect interface{ effect() }

// Added is the effect of the first heartbeat of an incarnation or after an expiry.
type Added struct{ Entry Entry }

// Changed is the effect of a heartbeat with another state, number of slots or data
// centre.
type Changed struct{ Entry Entry }

// Expired is the effect of the end of a lease: its TTL passed, it was removed or
// another incarnation replaced it.
type Expired struct{ Entry Entry }

func (Added) effect()   {}
func (Changed) effect() {}
func (Expired) effect() {}

// Table is the table of leases of a node. Its zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	records []*record // Sorted by address.
}

// record is a current lease, or the tombstone of one that has ended, which keeps a
// delayed announcement from reviving it.
type record struct {
	entry    Entry
	expired  bool
	released bool // It was ended by Remove, so its latest announcement may renew it.
}

// tombstoneTTL is the time for which the tombstone of an ended lease is kept. An
// announcement that is delayed for longer could revive the lease.
const tombstoneTTL = time.Hour

// Heartbeat renews or creates the lease of the backend server that sent a. An
// announcement that is older than the latest one from the same address has no effect.
// Leases that have expired by now are ended first.
func (t *Table) Heartbeat(now time.Time, a Announcement) []Effect {
	effects := t.Expire(now)
	i, found := t.find(a.BackendServer)
	if !found {
		t.records = slices.Insert(t.records, i, &record{entry: Entry{Announcement: Announcement{BackendServer: a.BackendServer}}, expired: true})
	}
	l := t.records[i]
	if found && outdated(a, l) {
		return effects
	}
	old, wasExpired := l.entry, l.expired
	l.entry = Entry{Announcement: a, Since: old.Since, Expires: now.Add(TTL)}
	l.expired, l.released = false, false
	restarted := wasExpired || old.Incarnation != a.Incarnation || old.Service != a.Service
	if restarted || old.State != a.State {
		l.entry.Since = now
	}
	switch {
	case restarted && !wasExpired:
		return append(effects, Expired{Entry: old}, Added{Entry: l.entry})
	case restarted:
		return append(effects, Added{Entry: l.entry})
	case old.State != a.State || old.Slots != a.Slots || old.DataCentre != a.DataCentre:
		return append(effects, Changed{Entry: l.entry})
	}
	return effects
}

// outdated reports whether a is older than the latest announcement of l, or a duplicate
// of it that must not renew the lease.
func outdated(a Announcement, l *record) bool {
	known := l.entry
	switch {
	case a.Incarnation != known.Incarnation:
		return a.Incarnation < known.Incarnation
	case a.Sequence == known.Sequence:
		return !l.released
	}
	return a.Sequence < known.Sequence
}

// Expire ends the leases that have expired by now and drops old tombstones.
func (t *Table) Expire(now time.Time) []Effect {
	var effects []Effect
	for _, l := range t.records {
		if !l.expired && !now.Before(l.entry.Expires) {
			l.expired = true
			effects = append(effects, Expired{Entry: l.entry})
		}
	}
	t.records = slices.DeleteFunc(t.records, func(l *record) bool {
		return l.expired && now.Sub(l.entry.Expires) > tombstoneTTL
	})
	return effects
}

// Remove ends the lease of a backend server that another node now owns. The lease can
// be renewed by a duplicate of its latest announcement, but not by an older one.
func (t *Table) Remove(a netip.AddrPort) []Effect {
	i, found := t.find(a)
	if !found {
		return nil
	}
	l := t.records[i]
	l.released = true
	if l.expired {
		return nil
	}
	l.expired = true
	return []Effect{Expired{Entry: l.entry}}
}

// Eligible returns the leases of a service whose backend servers may get new requests,
// sorted by address. It checks the expiry itself, since Expire may run late after a
// pause of the process.
func (t *Table) Eligible(now time.Time, service string) []Entry {
	var list []Entry
	for _, l := range t.records {
		e := l.entry
		if !l.expired && e.Service == service && e.State == Ready && now.Before(e.Expires) {
			list = append(list, e)
		}
	}
	return list
}

// Entries returns the leases that have not been ended, sorted by address.
func (t *Table) Entries() []Entry {
	var list []Entry
	for _, l := range t.records {
		if !l.expired {
			list = append(list, l.entry)
		}
	}
	return list
}

// find returns the index of the lease or tombstone of an address, or the index at which
// to insert it.
func (t *Table) find(a netip.AddrPort) (int, bool) {
	return slices.BinarySearchFunc(t.records, a, func(l *record, a netip.AddrPort) int {
		return l.entry.BackendServer.Compare(a)
	})
}
