// Package membership keeps the head and the configuration that a node runs up to date, and
// tells the rest of the node whether they are current. Nodes learn of new heads from the
// store and by gossip.
package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/placement"
	"filbertturn.example/filbertturn/internal/fleet/quorum"
	"filbertturn.example/filbertturn/internal/fleet/reconciler"
	"filbertturn.example/filbertturn/internal/fleet/suspend"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// Intervals, timeouts and bounds.
const (
	gossipInterval     = 250 * time.Millisecond
	fastGossipInterval = 50 * time.Millisecond // Gossip interval while the head is not known to be accepted.
	fastGossipTime     = 10 * time.Second      // Time after which gossip for a head that is still not accepted slows down again.
	reconcileInterval  = 250 * time.Millisecond
	readInterval       = 400 * time.Millisecond // Interval of reads of the head by the readers of the store.
	sparseInterval     = 5 * time.Second        // Interval of reads by the other nodes.
	peerTimeout        = time.Second
	storeTimeout       = time.Second
	liveTimeout        = 1500 * time.Millisecond // Silence after which a member counts as not live and gets no new work.
	maxPeers           = 2                       // Maximum number of peers asked in each round of gossip.
	smallFleet         = 4                       // Number of nodes up to which one peer is asked in each round.
	readersPerDC       = 2                       // Number of nodes of each data centre that read the store regularly.
	maxUnlisted        = 64                      // Maximum number of addresses outside the roster that are remembered.
	minProofLeft       = time.Second             // Remaining validity of its proof below which a node reads the store itself.
)

// Mesh sends requests to other nodes.
type Mesh interface {
	Ask(ctx context.Context, to netip.AddrPort, kind uint32, payload []byte) ([]byte, error)
}

// Change describes the transition of a node from one running head to the next.
type Change struct {
	Old, New             head.Head
	OldConfig, NewConfig *snapshot.Snapshot // Nil before the first publish.
}

// Membership maintains the running head and configuration of a node, and takes part in
// changing the roster. The exported fields must be set before Start.
type Membership struct {
	Self  member.Member
	Seeds []netip.AddrPort
	Store *store.Client
	Mesh  Mesh
	Log   zerolog.Logger

	// OnHeadChange is called in order for each head that the node begins to run. It is called
	// with the lock held and must not call methods of Membership that take it.
	OnHeadChange func(Change)

	// OnSuspend is called after a suspension of the VM was detected, when all state that
	// rests on earlier readings of the clock is invalid.
	OnSuspend func(now time.Time)

	mu                sync.Mutex // Guards the fields below.
	state             *quorum.State
	reconciler        reconciler.Reconciler
	detector          suspend.Detector
	started           time.Time
	storedHead        head.Head                    // Head returned by the last read of the store.
	storedRevision    int64                        // Revision of that head's key in the store.
	storeErr          error                        // Error of the last read; nil if it succeeded.
	storeAt           time.Time                    // Time of the last successful read.
	readAt            time.Time                    // Time of the last read.
	storeBehindLogged bool                         // The restoration of the store to an older state was logged.
	unlisted          map[netip.AddrPort]time.Time // Addresses outside the roster from which requests came, with the time of the last one.
	headSince         time.Time                    // Time at which the node began to run the present head.
	chunks            map[chunk.Address][]byte     // Manifest and chunks of the running configuration.
	sources           []netip.AddrPort             // Peers that have the newest head.

	snapshot atomic.Pointer[snapshot.Snapshot]
	sequence atomic.Uint64
	load     chan struct{}
	watches  watchedCalls
	ctx      context.Context // Ends when the node does.
}

// Start begins to gossip, read the store and propose roster changes, until timers stops and
// ctx ends.
func (m *Membership) Start(ctx context.Context, timers *timer.Service) {
	m.state = quorum.New(m.Self, 0)
	m.started = time.Now()
	m.ctx = ctx
	m.unlisted = make(map[netip.AddrPort]time.Time)
	m.load = make(chan struct{}, 1)
	go m.loadLoop(ctx)
	timers.Subscribe(gossipInterval, func(t timer.Tick) { m.gossip(ctx, t.Now) })
	timers.Subscribe(fastGossipInterval, func(t timer.Tick) { m.gossipFast(ctx, t.Now) })
	timers.Subscribe(readInterval, func(t timer.Tick) { m.readHead(ctx, t.Now) })
	timers.Subscribe(reconcileInterval, func(t timer.Tick) { m.reconcile(ctx, t.Now) })
	timers.Subscribe(watchInterval, func(t timer.Tick) { m.watches.cancelRevoked(t.Now, m) })
}

// Snapshot returns the running configuration, or nil before the first.
func (m *Membership) Snapshot() *snapshot.Snapshot {
	return m.snapshot.Load()
}

// Sequence returns the sequence number of the running head.
func (m *Membership) Sequence() uint64 {
	return m.sequence.Load()
}

// QuorumStatus returns whether the node is current at now, and why or why not.
func (m *Membership) QuorumStatus(now time.Time) quorum.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkClock(now)
	return m.state.Current(now)
}

// CheckCurrent returns a failure unless the node is current at now.
func (m *Membership) CheckCurrent(now time.Time) *failure.Failure {
	v := m.QuorumStatus(now)
	if v.Current {
		return nil
	}
	return failure.New(kind.NotCurrent, v.Reason, nil)
}

// checkClock invalidates all proofs if the VM was suspended. It must be called, with the
// lock held, before each use of a time, since a timer may fire late after a suspension.
func (m *Membership) checkClock(now time.Time) {
	if !m.detector.Observe(time.Duration(now.UnixNano()), now.Sub(m.started)) {
		return
	}
	m.Log.Warn().Msg("wall clock and monotonic clock disagree; all proofs of being current are invalidated")
	m.state.Invalidate(now)
	if m.OnSuspend != nil {
		go m.OnSuspend(now)
	}
}

// Head returns the running head.
func (m *Membership) Head() head.Head {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Head()
}

// View returns the running head and its configuration as a consistent pair.
func (m *Membership) View() (head.Head, *snapshot.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Head(), m.Snapshot()
}

// InForce returns the highest sequence number such that no node of the fleet is current on
// an older head.
func (m *Membership) InForce(now time.Time) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.InForce(now)
}

// Accepted returns the highest sequence number that is known to be accepted.
func (m *Membership) Accepted() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Accepted()
}

// Live returns the members of the roster that were heard from within liveTimeout and have
// not resigned. It includes this node unless that has resigned.
func (m *Membership) Live(now time.Time) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live(now)
}

func (m *Membership) live(now time.Time) []member.Member {
	silent := m.state.Silent(now, liveTimeout)
	resigned := m.state.Resigned()
	return slices.DeleteFunc(slices.Clone(m.state.Head().Roster), func(p member.Member) bool {
		return slices.Contains(silent, p) || slices.Contains(resigned, p)
	})
}

// Resign ends this node's vote and authority. It is the last step of a planned stop.
func (m *Membership) Resign(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Resign(now)
}

// Status is the node's view of the fleet, for operators.
type Status struct {
	Member     member.Member
	Head       head.Head
	Quorum     quorum.Status
	Accepted   uint64
	InForce    uint64
	Newest     uint64
	Live       int
	StoreError string    // Error of the last read of the store; empty if it succeeded.
	StoreAt    time.Time // Time of the last successful read; zero if there was none.

	// StoreBehind reports whether the store was restored to an older state.
	StoreBehind bool
}

// Status returns the node's view of the fleet at now.
func (m *Membership) Status(now time.Time) Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkClock(now)
	s := Status{
		StoreBehind: m.state.StoreBehind(),
		Member:      m.Self,
		Head:        m.state.Head(),
		Quorum:      m.state.Current(now),
		Accepted:    m.state.Accepted(),
		InForce:     m.state.InForce(now),
		Newest:      m.state.Newest(),
		Live:        len(m.live(now)),
		StoreAt:     m.storeAt,
	}
	if m.storeErr != nil {
		s.StoreError = m.storeErr.Error()
	}
	return s
}

// readerRank returns this node's rank among the live members of its data centre, or -1 if
// it is not a live member. The first readersPerDC read the store at every interval.
func (m *Membership) readerRank(now time.Time) int {
	roster := m.live(now)
	if !slices.Contains(roster, m.Self) {
		return -1
	}
	sameDC := slices.DeleteFunc(roster, func(p member.Member) bool { return p.DataCentre != m.Self.DataCentre })
	return slices.Index(placement.Rank("store-reader", sameDC), m.Self)
}

// pickPeers returns the peers to ask in one round of gossip: a random sample of the roster,
// and all addresses outside it that asked lately.
func (m *Membership) pickPeers(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[netip.AddrPort]bool{m.Self.Address: true}
	var all, picked []netip.AddrPort
	add := func(a netip.AddrPort) {
		if !seen[a] {
			seen[a] = true
			all = append(all, a)
		}
	}
	for _, p := range m.state.Head().Roster {
		add(p.Address)
	}
	for a, at := range m.unlisted {
		if now.Sub(at) > reconciler.SilenceTimeout {
			delete(m.unlisted, a)
		} else if !seen[a] {
			// Few nodes know of an address outside the roster, so it is asked in every round.
			seen[a] = true
			picked = append(picked, a)
		}
	}
	if len(all) < maxPeers {
		for _, a := range m.Seeds {
			add(a)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return append(picked, all[:min(peersToAsk(len(all)), len(all))]...)
}

// peersToAsk returns the number of peers to ask in one round, such that a new head reaches
// all of n nodes well within the window: each round multiplies the number of nodes that
// have it by one more than this.
func peersToAsk(n int) int {
	if n <= smallFleet {
		return 1
	}
	return maxPeers
}
