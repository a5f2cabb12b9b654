// Package freshness decides when a node queries the store or its super-peer for
// a newer configuration, so that every node learns of one in time although few
// nodes query the store. A query confirms that a version was the newest at one
// moment. Replies to peers carry the age of this confirmation, so that one query
// confirms the version for many nodes.
package freshness

import "time"

// Stamp is the version of a node's configuration and the age of its
// confirmation, as replies to peers carry them.
type Stamp struct {
	Version uint64
	Age     time.Duration // Time since the version was confirmed as the newest.
}

// Effect is what the caller has to do after OnStamp or Tick:
// QueryStore, QuerySuperPeer, FetchFromPeer or Nothing.
type Effect interface{ effect() }

// QueryStore means that the caller must query the store, and then call
// RecordQuery and, on success, Confirm.
type QueryStore struct{}

// QuerySuperPeer means that the caller must request the stamp of the super-peer of its
// data centre, and pass it to OnStamp.
type QuerySuperPeer struct{}

// FetchFromPeer means that the caller must fetch the configuration from the peer that
// sent the stamp.
type FetchFromPeer struct{ Version uint64 }

// Nothing means that nothing is due.
type Nothing struct{}

func (QueryStore) effect()     {}
func (QuerySuperPeer) effect() {}
func (FetchFromPeer) effect()  {}
func (Nothing) effect()        {}

// Tracker tracks the version that a node runs and when it was last confirmed as
// the newest. Its zero value runs version 0, which means no configuration, and is
// not confirmed. It is not safe for concurrent use.
type Tracker struct {
	version        uint64
	confirmedAt    time.Time // Time at which the version was the newest; zero if never confirmed.
	storeQueriedAt time.Time // Time of the last query to the store.
	storeFailures  int       // Consecutive failed queries to the store.

	peerQueriedAt time.Time // Time of the last query to the super-peer.
	startedAt     time.Time // Time of Start.
}

// Ages and intervals of queries. A super-peer queries the store on behalf of its
// data centre. The other nodes query the super-peer, and query the store only if
// the super-peer does not confirm their version in time.
const (
	// MaxAge is the age of the confirmation at which any node queries the store.
	MaxAge = 1200 * time.Millisecond

	superPeerMaxAge          = 600 * time.Millisecond  // Age at which a super-peer queries the store.
	peerQueryMaxAge          = 400 * time.Millisecond  // Age at which another node queries the super-peer.
	peerQueryInterval        = 250 * time.Millisecond  // Minimum interval between queries to the super-peer.
	initialPeerQueryInterval = 100 * time.Millisecond  // The same for a node that is not confirmed yet, and so serves no requests.
	initialStoreQueryDelay   = 400 * time.Millisecond  // Time after Start at which that node queries the store.
	minStoreQueryInterval    = 250 * time.Millisecond  // Minimum interval between queries to the store while they succeed;
	maxStoreQueryInterval    = 1500 * time.Millisecond // it doubles with each failure up to this maximum.
)

// Start records the time from which the node can reach other nodes. A node that
// is not confirmed queries the super-peer first, and queries the store if that
// does not confirm it.
func (p *Tracker) Start(now time.Time) {
	p.startedAt = now
}

// Version returns the version that the node runs.
func (p *Tracker) Version() uint64 {
	return p.version
}

// Stamp returns the stamp to send to other nodes. Its age is the maximum duration
// if the version has not been confirmed.
func (p *Tracker) Stamp(now time.Time) Stamp {
	if p.confirmedAt.IsZero() {
		return Stamp{Version: p.version, Age: 1<<63 - 1}
	}
	return Stamp{Version: p.version, Age: max(now.Sub(p.confirmedAt), 0)}
}

// Confirm records that version was the newest at a time. For a query to the store
// this is the time at which it was sent, because the response may have been
// delayed.
func (p *Tracker) Confirm(version uint64, at time.Time) {
	switch {
	case version > p.version || p.confirmedAt.IsZero() && version == p.version:
		p.version, p.confirmedAt = version, at
	case version == p.version && at.After(p.confirmedAt):
		p.confirmedAt = at
	}
}

// OnStamp processes the stamp in the reply to a request that was sent at sentAt. The
// age of the stamp counts from then, because the reply may have been delayed.
func (p *Tracker) OnStamp(sentAt time.Time, s Stamp) Effect {
	if s.Version > p.version {
		return FetchFromPeer{Version: s.Version}
	}
	if s.Age >= 0 && s.Version == p.version {
		if at := sentAt.Add(-s.Age); at.After(p.confirmedAt) && s.Age < time.Hour {
			p.confirmedAt = at
		}
	}
	return Nothing{}
}

// Tick returns the query that is due, if any, and records it as sent. superPeer
// says whether this node is the one that the other nodes of its data centre query.
func (p *Tracker) Tick(now time.Time, superPeer bool) Effect {
	switch {
	case !now.Before(p.nextStoreQuery(superPeer)):
		p.storeQueriedAt = now
		return QueryStore{}
	case !superPeer && !now.Before(p.nextSuperPeerQuery()):
		p.peerQueriedAt = now
		return QuerySuperPeer{}
	}
	return Nothing{}
}

// NextTick returns the time at which the next Tick is due.
func (p *Tracker) NextTick(superPeer bool) time.Time {
	next := p.nextStoreQuery(superPeer)
	if superPeer {
		return next
	}
	if consult := p.nextSuperPeerQuery(); consult.Before(next) {
		return consult
	}
	return next
}

func (p *Tracker) nextStoreQuery(superPeer bool) time.Time {
	limit := MaxAge
	switch {
	case superPeer && p.version == 0:
		// Without a configuration the fleet serves no requests, so there is
		// nothing to spare: query at the minimum interval.
		limit = 0
	case superPeer:
		limit = superPeerMaxAge
	}
	pause := minStoreQueryInterval
	if p.storeFailures > 0 {
		pause = min(minStoreQueryInterval<<min(p.storeFailures-1, 8), maxStoreQueryInterval)
	}
	at := p.confirmedAt
	if at.IsZero() && !superPeer {
		at, limit = p.startedAt, initialStoreQueryDelay
	}
	return latest(at, limit, p.storeQueriedAt, pause)
}

func (p *Tracker) nextSuperPeerQuery() time.Time {
	if p.confirmedAt.IsZero() {
		return latest(p.confirmedAt, 0, p.peerQueriedAt, initialPeerQueryInterval)
	}
	return latest(p.confirmedAt, peerQueryMaxAge, p.peerQueriedAt, peerQueryInterval)
}

// latest returns the later of a+afterA and b+afterB. A zero time stands for an
// event that has not happened, and is ignored.
func latest(a time.Time, afterA time.Duration, b time.Time, afterB time.Duration) time.Time {
	var next time.Time
	if !a.IsZero() {
		next = a.Add(afterA)
	}
	if !b.IsZero() && b.Add(afterB).After(next) {
		next = b.Add(afterB)
	}
	return next
}

// RecordQuery records the outcome of a query to the store. Consecutive failures back off
// exponentially.
func (p *Tracker) RecordQuery(err error) {
	if err == nil {
		p.storeFailures = 0
		return
	}
	p.storeFailures++
}
