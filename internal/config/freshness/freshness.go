// Package freshness decides how a node learns of a newer configuration in time
// without every node asking the store. A node that asked holds a proof that the
// configuration was the newest at that moment; replies to its peers carry the
// age of the proof, so that one question serves many nodes.
package freshness

import "time"

// Stamp is what a node tells of its configuration.
type Stamp struct {
	Version uint64
	Age     time.Duration // Age of the proof that there was no newer version.
}

// Effect is what a stamp or a moment calls for: Ask, Consult, Fetch or Nothing.
type Effect interface{ effect() }

// Ask calls for a question to the store.
type Ask struct{}

// Consult calls for the stamp of the super-peer of the data centre.
type Consult struct{}

// Fetch calls for the configuration of the peer that sent the stamp.
type Fetch struct{ Version uint64 }

// Nothing calls for nothing.
type Nothing struct{}

func (Ask) effect()     {}
func (Consult) effect() {}
func (Fetch) effect()   {}
func (Nothing) effect() {}

// Proof is what a node knows of the age of its configuration. Its zero value
// runs version 0, which stands for no configuration, and has no proof. It is not
// safe for use by several goroutines at once.
type Proof struct {
	version uint64
	at      time.Time // Moment that the proof holds for; zero if there is none.
	tried   time.Time // Time of the last question to the store.
	failed  int       // Questions in a row that failed.

	consulted time.Time // Time of the last question to the super-peer.
	began     time.Time // Time from which the node could ask others.
}

// Bounds of the questions. A super-peer asks the store for its data centre; the
// others ask the super-peer, and the store only if that does not help.
const (
	// Limit is the age of the proof at which any node asks the store.
	Limit = 1200 * time.Millisecond

	superPeerLimit = 600 * time.Millisecond  // Age at which a super-peer does.
	consultLimit   = 400 * time.Millisecond  // Age at which another node asks the super-peer.
	consultPause   = 250 * time.Millisecond  // Least time between two such questions.
	firstConsult   = 100 * time.Millisecond  // The same for a node that has no proof yet, and serves nobody.
	firstLimit     = 400 * time.Millisecond  // Time after which that node asks the store.
	firstPause     = 250 * time.Millisecond  // Least time between two questions to the store, while they succeed
	maxPause       = 1500 * time.Millisecond // and after many that failed.
)

// Begin notes that the node can ask others from now on. Without a proof it consults
// the super-peer first, and asks the store if that does not help.
func (p *Proof) Begin(now time.Time) {
	p.began = now
}

// Version returns the version that the node runs.
func (p *Proof) Version() uint64 {
	return p.version
}

// Stamp returns what to tell other nodes. Without a proof the age is the longest
// that there is.
func (p *Proof) Stamp(now time.Time) Stamp {
	if p.at.IsZero() {
		return Stamp{Version: p.version, Age: 1<<63 - 1}
	}
	return Stamp{Version: p.version, Age: max(now.Sub(p.at), 0)}
}

// Confirm notes that a version was the newest at a moment. The moment of a
// question counts from when it was sent: its answer may have been under way for
// long.
func (p *Proof) Confirm(version uint64, at time.Time) {
	switch {
	case version > p.version || p.at.IsZero() && version == p.version:
		p.version, p.at = version, at
	case version == p.version && at.After(p.at):
		p.at = at
	}
}

// Hear takes in the stamp of a reply to a question that was asked at a moment.
func (p *Proof) Hear(asked time.Time, s Stamp) Effect {
	if s.Version > p.version {
		return Fetch{Version: s.Version}
	}
	if s.Age >= 0 && s.Version == p.version {
		if at := asked.Add(-s.Age); at.After(p.at) && s.Age < time.Hour {
			p.at = at
		}
	}
	return Nothing{}
}

// Tick tells what to ask now. A super-peer is the node of its data centre that the
// others consult.
func (p *Proof) Tick(now time.Time, superPeer bool) Effect {
	switch {
	case !now.Before(p.nextAsk(superPeer)):
		p.tried = now
		return Ask{}
	case !superPeer && !now.Before(p.nextConsult()):
		p.consulted = now
		return Consult{}
	}
	return Nothing{}
}

// Next returns the time at which Tick is due.
func (p *Proof) Next(superPeer bool) time.Time {
	next := p.nextAsk(superPeer)
	if superPeer {
		return next
	}
	if consult := p.nextConsult(); consult.Before(next) {
		return consult
	}
	return next
}

func (p *Proof) nextAsk(superPeer bool) time.Time {
	limit := Limit
	switch {
	case superPeer && p.version == 0:
		// A fleet without a configuration serves nobody.
		limit = 0
	case superPeer:
		limit = superPeerLimit
	}
	pause := firstPause
	if p.failed > 0 {
		pause = min(firstPause<<min(p.failed-1, 8), maxPause)
	}
	at := p.at
	if at.IsZero() && !superPeer {
		at, limit = p.began, firstLimit
	}
	return later(at, limit, p.tried, pause)
}

func (p *Proof) nextConsult() time.Time {
	if p.at.IsZero() {
		return later(p.at, 0, p.consulted, firstConsult)
	}
	return later(p.at, consultLimit, p.consulted, consultPause)
}

// later returns the later of two moments, each some time after another one that
// may never have been.
func later(a time.Time, afterA time.Duration, b time.Time, afterB time.Duration) time.Time {
	var next time.Time
	if !a.IsZero() {
		next = a.Add(afterA)
	}
	if !b.IsZero() && b.Add(afterB).After(next) {
		next = b.Add(afterB)
	}
	return next
}

// Asked notes the end of a question to the store.
func (p *Proof) Asked(err error) {
	if err == nil {
		p.failed = 0
		return
	}
	p.failed++
}
