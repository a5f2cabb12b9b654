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

// Effect is what a stamp or a moment calls for: Ask, Fetch or Nothing.
type Effect interface{ effect() }

// Ask calls for a question to the store.
type Ask struct{}

// Fetch calls for the configuration of the peer that sent the stamp.
type Fetch struct{ Version uint64 }

// Nothing calls for nothing.
type Nothing struct{}

func (Ask) effect()     {}
func (Fetch) effect()   {}
func (Nothing) effect() {}

// Proof is what a node knows of the age of its configuration. Its zero value
// runs version 0 and has no proof. It is not safe for use by several goroutines
// at once.
type Proof struct {
	version uint64
	at      time.Time // Moment that the proof holds for; zero if there is none.
	tried   time.Time // Time of the last question to the store.
	failed  int       // Questions in a row that failed.
}

// Bounds of the questions to the store.
const (
	// Limit is the age of the proof at which a node asks the store.
	Limit = 900 * time.Millisecond

	firstPause = 250 * time.Millisecond // After a question that failed;
	maxPause   = 1500 * time.Millisecond
)

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
	if s.Age >= 0 && s.Version == p.version && p.version > 0 {
		if at := asked.Add(-s.Age); at.After(p.at) && s.Age < time.Hour {
			p.at = at
		}
	}
	return Nothing{}
}

// Tick tells whether to ask the store now.
func (p *Proof) Tick(now time.Time) Effect {
	if now.Before(p.Next()) {
		return Nothing{}
	}
	p.tried = now
	return Ask{}
}

// Next returns the time of the next question to the store.
func (p *Proof) Next() time.Time {
	next := time.Time{}
	if !p.at.IsZero() {
		next = p.at.Add(Limit)
	}
	pause := firstPause
	if p.failed > 0 {
		pause = min(firstPause<<min(p.failed-1, 8), maxPause)
	}
	if after := p.tried.Add(pause); !p.tried.IsZero() && after.After(next) {
		next = after
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
