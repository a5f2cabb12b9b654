// Package lease keeps the leases of the backend servers that a node owns. Their
// announcements are the heartbeats.
package lease

import (
	"net/netip"
	"slices"
	"time"
)

// TTL is the time after its last heartbeat at which a lease expires.
const TTL = 3 * time.Second

// State is what a backend server announces of itself.
type State uint8

// The states.
const (
	Starting State = iota
	Ready
	Draining // It takes no new work.
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
	Slots         int // Requests that it runs at once.
	State         State
	Incarnation   uint64 // Start time of the backend server, in nanoseconds since 1970.
	Sequence      uint64 // Grows with each announcement of one incarnation.
}

// Entry is a lease.
type Entry struct {
	Announcement
	Since   time.Time // Time at which it came into its state.
	Expires time.Time
}

// Effect is what a call changed: Added, Changed or Expired.
type Effect interface{ effect() }

// Added is the effect of the first heartbeat of an incarnation.
type Added struct{ Entry Entry }

// Changed is the effect of a heartbeat with another state or number of slots.
type Changed struct{ Entry Entry }

// Expired is the effect of a lease that ended.
type Expired struct{ Entry Entry }

func (Added) effect()   {}
func (Changed) effect() {}
func (Expired) effect() {}

// Book holds leases. Its zero value holds none. It is not safe for use by
// several goroutines at once.
type Book struct {
	leases []*lease // Sorted by address.
}

// lease is an entry, or what is remembered of one that ended, so that a late
// announcement does not revive it.
type lease struct {
	entry    Entry
	expired  bool
	released bool // It was removed, and its latest announcement may come again.
}

// memory is the time for which an ended lease is remembered. An announcement
// that is older than that could revive it.
const memory = time.Hour

// Heartbeat takes in an announcement. One that is older than another from the
// same address changes nothing.
func (b *Book) Heartbeat(now time.Time, a Announcement) []Effect {
	effects := b.Expire(now)
	i, found := b.find(a.BackendServer)
	if !found {
		b.leases = slices.Insert(b.leases, i, &lease{entry: Entry{Announcement: Announcement{BackendServer: a.BackendServer}}, expired: true})
	}
	l := b.leases[i]
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

func outdated(a Announcement, l *lease) bool {
	known := l.entry
	switch {
	case a.Incarnation != known.Incarnation:
		return a.Incarnation < known.Incarnation
	case a.Sequence == known.Sequence:
		return !l.released
	}
	return a.Sequence < known.Sequence
}

// Expire ends the leases whose time is over.
func (b *Book) Expire(now time.Time) []Effect {
	var effects []Effect
	for _, l := range b.leases {
		if !l.expired && !now.Before(l.entry.Expires) {
			l.expired = true
			effects = append(effects, Expired{Entry: l.entry})
		}
	}
	b.leases = slices.DeleteFunc(b.leases, func(l *lease) bool {
		return l.expired && now.Sub(l.entry.Expires) > memory
	})
	return effects
}

// Remove ends a lease at once, because another node owns the backend server
// now. It may come back with the same announcement, but not with an older one.
func (b *Book) Remove(a netip.AddrPort) []Effect {
	i, found := b.find(a)
	if !found {
		return nil
	}
	l := b.leases[i]
	l.released = true
	if l.expired {
		return nil
	}
	l.expired = true
	return []Effect{Expired{Entry: l.entry}}
}

// Eligible returns the backend servers of a service that may get new work, by
// address. It looks at now itself, since Expire may be late after a pause.
func (b *Book) Eligible(now time.Time, service string) []Entry {
	var list []Entry
	for _, l := range b.leases {
		e := l.entry
		if !l.expired && e.Service == service && e.State == Ready && now.Before(e.Expires) {
			list = append(list, e)
		}
	}
	return list
}

// Entries returns the leases that have not expired, by address.
func (b *Book) Entries() []Entry {
	var list []Entry
	for _, l := range b.leases {
		if !l.expired {
			list = append(list, l.entry)
		}
	}
	return list
}

func (b *Book) find(a netip.AddrPort) (int, bool) {
	return slices.BinarySearchFunc(b.leases, a, func(l *lease, a netip.AddrPort) int {
		return l.entry.BackendServer.Compare(a)
	})
}
