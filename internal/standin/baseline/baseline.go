// Package baseline holds the usual ways to spread requests over backend
// servers, to compare the fleet with.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a way to spread requests.
type Kind string

// The kinds of balancer.
const (
	RoundRobin       Kind = "round-robin"          // Each in turn, no ejection.
	FailuresInARow   Kind = "consecutive-failures" // Each in turn, ejects after Failures failures in a row.
	LeastOutstanding Kind = "least-outstanding"    // The one with the fewest unanswered requests, no ejection.
)

// Kinds are all the kinds of balancer.
var Kinds = []Kind{RoundRobin, FailuresInARow, LeastOutstanding}

// Parameters of FailuresInARow. They are those usual for outlier ejection: the
// time out of service grows with the number of ejections.
const (
	Failures     = 5
	EjectionTime = 10 * time.Second
	MaxEjected   = 0.5 // Share of the backend servers.
)

// KindError reports a kind that does not exist.
type KindError struct{ Kind Kind }

// Error returns the kind's name.
func (e *KindError) Error() string { return fmt.Sprintf("baseline: no kind %q", e.Kind) }

// Ejection is one removal of a backend server from service.
type Ejection struct {
	Server int
	At     time.Time
}

// Balancer spreads requests over backend servers, which it knows by index. It
// is not safe for use by several goroutines.
type Balancer struct {
	kind      Kind
	draws     *rand.Rand
	next      int
	servers   []server
	ejections []Ejection
}

type server struct {
	outstanding int
	failures    int // In a row.
	ejections   int
	until       time.Time // End of the last ejection.
}

// New returns a balancer, or a *KindError.
func New(kind Kind, servers int, seed uint64) (*Balancer, error) {
	if !slices.Contains(Kinds, kind) {
		return nil, &KindError{kind}
	}
	return &Balancer{
		kind:    kind,
		draws:   rand.New(rand.NewPCG(seed, 2)),
		servers: make([]server, servers),
	}, nil
}

// Exclude keeps a backend server that has not started yet out of service.
func (b *Balancer) Exclude(server int, until time.Time) { b.servers[server].until = until }

// Pick returns the backend server for a request that begins at now.
func (b *Balancer) Pick(now time.Time) int {
	pick := 0
	switch b.kind {
	case LeastOutstanding:
		pick = b.least(now)
	case RoundRobin, FailuresInARow:
		pick = b.turn(now)
	}
	b.servers[pick].outstanding++
	return pick
}

// Finish takes the result of a request that Pick placed.
func (b *Balancer) Finish(now time.Time, picked int, failed bool) {
	s := &b.servers[picked]
	s.outstanding--
	if !failed {
		s.failures = 0
		return
	}
	s.failures++
	if b.kind != FailuresInARow || s.failures < Failures || now.Before(s.until) {
		return
	}
	if float64(b.ejected(now)+1) > MaxEjected*float64(len(b.servers)) {
		return
	}
	s.failures = 0
	s.ejections++
	s.until = now.Add(time.Duration(s.ejections) * EjectionTime)
	b.ejections = append(b.ejections, Ejection{picked, now})
}

// Ejections returns every ejection so far.
func (b *Balancer) Ejections() []Ejection { return slices.Clone(b.ejections) }

func (b *Balancer) turn(now time.Time) int {
	for range b.servers {
		b.next = (b.next + 1) % len(b.servers)
		if !now.Before(b.servers[b.next].until) {
			break
		}
	}
	return b.next
}

// least breaks ties at random, so that an idle pool is used evenly.
func (b *Balancer) least(now time.Time) int {
	best, ties := -1, 0
	for i, s := range b.servers {
		if now.Before(s.until) {
			continue
		}
		switch {
		case best < 0 || s.outstanding < b.servers[best].outstanding:
			best, ties = i, 1
		case s.outstanding == b.servers[best].outstanding:
			ties++
			if b.draws.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return max(best, 0)
}

func (b *Balancer) ejected(now time.Time) int {
	n := 0
	for _, s := range b.servers {
		if now.Before(s.until) {
			n++
		}
	}
	return n
}
