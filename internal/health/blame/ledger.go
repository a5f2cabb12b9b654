// Package blame decides which requests crash the backend servers that run them. Each crash is
// blamed on all requests that ran there, of which at most one is guilty. A request that was
// in one crash is suspected, one that was in several and never ended well is quarantined.
//
// It answers the load of a request that its callers send again and again, at any node, beside
// crashes that no request has caused. Ledgers of different nodes that have merged the same events,
// in any order, reach the same verdicts, up to the ages of the events.
package blame

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

const (
	// MaxEvents bounds the events of a ledger. The newest ones are kept.
	MaxEvents = 512

	// suspicionTTL is the time for which a request is suspected after it was in one crash.
	suspicionTTL = time.Minute

	// quarantineTTL is the time for which a request is quarantined after it was in two
	// crashes. It doubles with each further one, up to maxDoublings times. As much time
	// again it is suspected, so that a single run can show whether it is still harmful.
	quarantineTTL = 10 * time.Minute
	maxDoublings  = 7

	// certainCrashes is the number of independent crashes from which a request is quarantined
	// whatever else has crashed. The platform's rule allows three.
	certainCrashes = 3

	// relatedTime is the time within which crashes of a service that a request was not in speak for
	// it: backend servers also crash without it.
	relatedTime = 30 * time.Second

	// minInService is the number of backend servers of a service that are in service with which a suspected request may
	// run at once.
	minInService = 2

	// lastServerDelay is the time after a crash in which the last backend server of a service runs no suspect. One that
	// crashed is back after some three seconds.
	lastServerDelay = 5 * time.Second

	// togetherTime is the time within which backend servers that crash together do so; nodes do not notice it at
	// the same moment.
	togetherTime = 100 * time.Millisecond

	// purgeInterval is the time between two searches for expired events.
	purgeInterval = time.Second

	// randomBits and requestBits are the lowest bits of an identifier: those that tell crashes of the same
	// millisecond apart, and those for the requests of a crash.
	randomBits  = 14
	requestBits = 8

	// maxGood and goodTTL bound the requests that are remembered for having ended well.
	maxGood = 1024
	goodTTL = time.Minute
)

// Request is a request that ran when a backend server crashed.
type Request struct {
	Fingerprint fingerprint.Fingerprint // Zero if it is not known.
	Head        fingerprint.Fingerprint // Without the body; zero if there is none.
	BodyBytes   int64
	Ran         time.Duration // Time between the begin of the run and the crash; zero if it is not known.
	Trial       bool          // The run began when the request was suspected already.
}

// Event is one crash as it counts against one request.
type Event struct {
	Request
	ID        uint64 // Unique; those of later crashes are mostly greater.
	Crash     uint64 // The same for all requests that ran.
	Service   string
	Node      netip.AddrPort // The one beside the backend server.
	Share     float64        // Part of the blame, from 0 to 1: all requests that ran share it.
	At        time.Time
	Withdrawn bool // A later run ended well, or an operator has withdrawn it.
}

// Case is a request with the events against it, for operators.
type Case struct {
	Fingerprint fingerprint.Fingerprint
	Verdict     Verdict
	Until       time.Time // When the verdict expires.
	Events      []Event
}

// Ledger holds the crashes that a node knows of. Its zero value holds none. It is not safe
// for concurrent use.
type Ledger struct {
	events    map[uint64]*Event
	byRequest map[fingerprint.Fingerprint][]*Event
	byHead    map[fingerprint.Fingerprint][]*Event
	good      map[fingerprint.Fingerprint]time.Time // Latest good end at this node.
	goodOrder []fingerprint.Fingerprint             // Oldest first; may name one twice.
	purgedAt  time.Time
}

// Crash records that the backend server beside a node crashed at a time while requests ran, and returns the
// events. A request that has ended well at this node lately bears no blame if there is another one that has not.
func (l *Ledger) Crash(at time.Time, service string, node netip.AddrPort, running []Request) []Event {
	suspects := l.suspects(at, running)
	if len(suspects) == 0 {
		return nil
	}
	suspects = suspects[:min(len(suspects), 1<<requestBits)]
	crash := newID(at)
	events := make([]Event, 0, len(suspects))
	for i, r := range suspects {
		if r.Fingerprint.IsZero() {
			continue
		}
		events = append(events, Event{
			Request: r, ID: crash + uint64(i), Crash: crash, Service: service, Node: node, Share: 1 / float64(len(suspects)), At: at,
		})
	}
	l.Merge(at, events)
	return events
}

// newID returns an identifier that grows with time, so that ledgers agree on which events are
// the newest. The lowest bits are free for the requests of a crash.
func newID(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<(randomBits+requestBits) | rand.Uint64N(1<<randomBits)<<requestBits
}

// suspects returns the different requests that may have caused a crash.
func (l *Ledger) suspects(now time.Time, running []Request) []Request {
	var fresh, proven []Request
	seen := make(map[fingerprint.Fingerprint]bool)
	for _, r := range running {
		if seen[r.Fingerprint] && !r.Fingerprint.IsZero() {
			continue
		}
		seen[r.Fingerprint] = true
		if at, ok := l.good[r.Fingerprint]; ok && now.Sub(at) < goodTTL {
			proven = append(proven, r)
		} else {
			fresh = append(fresh, r)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return proven
}

// GoodEnd records that a run of a request ended with a response. It returns the events
// that this withdraws.
func (l *Ledger) GoodEnd(now time.Time, f fingerprint.Fingerprint) []Event {
	if l.good == nil {
		l.good = make(map[fingerprint.Fingerprint]time.Time)
	}
	if _, ok := l.good[f]; !ok {
		l.goodOrder = append(l.goodOrder, f)
	}
	l.good[f] = now
	if len(l.goodOrder) > maxGood {
		delete(l.good, l.goodOrder[0])
		l.goodOrder = l.goodOrder[1:]
	}
	return l.Withdraw(now, f)
}

// Withdraw withdraws all events against a request and returns those that were not
// withdrawn before.
func (l *Ledger) Withdraw(now time.Time, f fingerprint.Fingerprint) []Event {
	l.purge(now)
	var changed []Event
	for _, e := range l.byRequest[f] {
		if !e.Withdrawn {
			e.Withdrawn = true
			changed = append(changed, *e)
		}
	}
	return changed
}

// Merge adds events of other ledgers and returns those that changed this one: unknown ones and
// those now withdrawn.
func (l *Ledger) Merge(now time.Time, events []Event) []Event {
	var changed []Event
	for _, e := range events {
		if known := l.events[e.ID]; known != nil {
			if e.Withdrawn && !known.Withdrawn {
				known.Withdrawn = true
				changed = append(changed, *known)
			}
			continue
		}
		if e.Fingerprint.IsZero() || now.Sub(e.At) >= quarantineTTL<<(maxDoublings+1) {
			continue
		}
		if l.add(e) {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		l.purgedAt = time.Time{}
		l.purge(now)
	}
	return changed
}

// add adds an event unless it is older than all of a full ledger.
func (l *Ledger) add(e Event) bool {
	if len(l.events) >= MaxEvents {
		oldest := slices.Min(slices.Collect(maps.Keys(l.events)))
		if e.ID < oldest {
			return false
		}
		l.remove(l.events[oldest])
	}
	if l.events == nil {
		l.events = make(map[uint64]*Event)
		l.byRequest = make(map[fingerprint.Fingerprint][]*Event)
		l.byHead = make(map[fingerprint.Fingerprint][]*Event)
	}
	l.events[e.ID] = &e
	l.byRequest[e.Fingerprint] = append(l.byRequest[e.Fingerprint], &e)
	if !e.Head.IsZero() {
		l.byHead[e.Head] = append(l.byHead[e.Head], &e)
	}
	return true
}

func (l *Ledger) remove(e *Event) {
	delete(l.events, e.ID)
	removeFrom(l.byRequest, e.Fingerprint, e)
	removeFrom(l.byHead, e.Head, e)
}

func removeFrom(m map[fingerprint.Fingerprint][]*Event, f fingerprint.Fingerprint, e *Event) {
	list := slices.DeleteFunc(m[f], func(other *Event) bool { return other == e })
	if len(list) == 0 {
		delete(m, f)
		return
	}
	m[f] = list
}

// purge removes the events against requests that are no longer suspected.
func (l *Ledger) purge(now time.Time) {
	if now.Sub(l.purgedAt) < purgeInterval {
		return
	}
	l.purgedAt = now
	for _, list := range l.byRequest {
		if !now.Before(expiry(list)) {
			for _, e := range slices.Clone(list) {
				l.remove(e)
			}
		}
	}
}

// BodyLimit returns the length of the longest body among the suspected and quarantined requests that have
// a head and a body, or false if there are none. Whether a request with this head is one of them can be told
// only from its body.
func (l *Ledger) BodyLimit(now time.Time, head fingerprint.Fingerprint) (int64, bool) {
	longest, found := int64(0), false
	for _, e := range l.byHead[head] {
		if l.Verdict(now, e.Fingerprint) != Clear {
			longest, found = max(longest, e.BodyBytes), true
		}
	}
	return longest, found
}

// Events returns all events, oldest first.
func (l *Ledger) Events(now time.Time) []Event {
	l.purge(now)
	list := make([]Event, 0, len(l.events))
	for _, e := range l.events {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Event) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// EventsOf returns the events against a request, oldest first.
func (l *Ledger) EventsOf(f fingerprint.Fingerprint) []Event {
	list := make([]Event, 0, len(l.byRequest[f]))
	for _, e := range l.byRequest[f] {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Event) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Related returns all events of the crashes in which a request was, oldest first.
func (l *Ledger) Related(f fingerprint.Fingerprint) []Event {
	in := make(map[uint64]bool)
	for _, e := range l.byRequest[f] {
		in[e.Crash] = true
	}
	var list []Event
	for _, e := range l.events {
		if in[e.Crash] {
			list = append(list, *e)
		}
	}
	slices.SortFunc(list, func(a, b Event) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Cases returns the requests that are suspected or quarantined, the gravest first.
func (l *Ledger) Cases(now time.Time) []Case {
	l.purge(now)
	var list []Case
	for f := range l.byRequest {
		if v, until := l.judge(now, f); v != Clear {
			list = append(list, Case{Fingerprint: f, Verdict: v, Until: until, Events: l.EventsOf(f)})
		}
	}
	slices.SortFunc(list, func(a, b Case) int {
		return cmp.Or(cmp.Compare(b.Verdict, a.Verdict), cmp.Compare(len(b.Events), len(a.Events)), cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()))
	})
	return list
}

// Digest returns a number that ledgers with the same events have in common, and mostly no others. It is
// zero for an empty ledger.
func (l *Ledger) Digest(now time.Time) uint64 {
	l.purge(now)
	var sum uint64
	for id, e := range l.events {
		if e.Withdrawn {
			id = ^id
		}
		sum ^= mix(id)
	}
	return sum
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Empty reports whether the ledger has no events, so that all requests are clear.
func (l *Ledger) Empty() bool {
	return len(l.events) == 0
}
