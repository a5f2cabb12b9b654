// Package membership keeps a node's head and configuration up to date, and
// tells the rest of the node whether they are current.
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

// Intervals and bounds.
const (
	gossipInterval    = 250 * time.Millisecond
	spreadInterval    = 50 * time.Millisecond // Between questions while the head is not known to be accepted.
	spreadTime        = 10 * time.Second      // Time after which a head that is not accepted gets no more of them.
	reconcileInterval = 250 * time.Millisecond
	readInterval      = 400 * time.Millisecond // Between reads of the head by a reader.
	sparseInterval    = 5 * time.Second        // Between reads by other nodes.
	peerTimeout       = time.Second
	storeTimeout      = time.Second
	liveAfter         = 1500 * time.Millisecond // Silence after which a member gets no new work.
	maxPeers          = 2                       // Peers asked at each interval.
	smallFleet        = 4                       // Nodes up to which one peer is asked at each interval.
	readersPerDC      = 2                       // Nodes of each data centre that read the store.
	maxStrangers      = 64                      // Addresses outside the roster that are remembered.
	wantProof         = time.Second             // Time left on a proof below which a node reads the store itself.
)

// Mesh asks other nodes.
type Mesh interface {
	Ask(ctx context.Context, to netip.AddrPort, kind uint32, payload []byte) ([]byte, error)
}

// Change is given to subscribers when the node begins to run a head.
type Change struct {
	Old, New             head.Head
	OldConfig, NewConfig *snapshot.Snapshot // Nil before the first publish.
}

// Membership drives the decisions of the fleet packages. Set the exported
// fields before Start.
type Membership struct {
	Self  member.Member
	Seeds []netip.AddrPort
	Store *store.Client
	Mesh  Mesh
	Log   zerolog.Logger

	// Changed is called in order for every head that the node begins to run.
	Changed func(Change)

	// Suspended is called after the VM was suspended, when everything that
	// rests on earlier readings of the clock has lost its worth.
	Suspended func(now time.Time)

	mu         sync.Mutex // Guards the fields below.
	state      *quorum.State
	reconciler reconciler.Reconciler
	detector   suspend.Detector
	started    time.Time
	stored     head.Head                    // Head of the last read of the store.
	revision   int64                        // Store's revision of that head.
	storeErr   error                        // Error of the last read; nil after a good one.
	storeAt    time.Time                    // Time of the last good read.
	readAt     time.Time                    // Time of the last read.
	reverted   bool                         // The log says that the store was restored to an older state.
	strangers  map[netip.AddrPort]time.Time // Addresses outside the roster that asked.
	ranAt      time.Time                    // Time at which the node began to run its head.
	chunks     map[chunk.Address][]byte     // Manifest and chunks of the configuration that runs.
	sources    []netip.AddrPort             // Peers that have the newest head.

	snapshot atomic.Pointer[snapshot.Snapshot]
	sequence atomic.Uint64
	load     chan struct{}
	watches  watches
	running  context.Context // Ends when the node does.
}

// Start begins to read, ask and decide until the timer service stops and ctx
// ends.
func (m *Membership) Start(ctx context.Context, timers *timer.Service) {
	m.state = quorum.New(m.Self, 0)
	m.started = time.Now()
	m.running = ctx
	m.strangers = make(map[netip.AddrPort]time.Time)
	m.load = make(chan struct{}, 1)
	go m.loadAll(ctx)
	timers.Subscribe(gossipInterval, func(t timer.Tick) { m.gossip(ctx, t.Now) })
	timers.Subscribe(spreadInterval, func(t timer.Tick) { m.spread(ctx, t.Now) })
	timers.Subscribe(readInterval, func(t timer.Tick) { m.read(ctx, t.Now) })
	timers.Subscribe(reconcileInterval, func(t timer.Tick) { m.manage(ctx, t.Now) })
	timers.Subscribe(watchInterval, func(t timer.Tick) { m.watches.sweep(t.Now, m) })
}

// Snapshot returns the configuration that the node runs, or nil.
func (m *Membership) Snapshot() *snapshot.Snapshot {
	return m.snapshot.Load()
}

// Sequence returns the number of the head that the node runs.
func (m *Membership) Sequence() uint64 {
	return m.sequence.Load()
}

// Verdict tells whether the node is current at now.
func (m *Membership) Verdict(now time.Time) quorum.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkClock(now)
	return m.state.Current(now)
}

// Current returns a failure unless the node is current.
func (m *Membership) Current(now time.Time) *failure.Failure {
	v := m.Verdict(now)
	if v.Current {
		return nil
	}
	return failure.New(kind.NotCurrent, v.Reason, nil)
}

// checkClock drops authority if the VM was suspended. It is called before each
// use of a time, since a timer may fire late after a suspension.
func (m *Membership) checkClock(now time.Time) {
	if !m.detector.Observe(time.Duration(now.UnixNano()), now.Sub(m.started)) {
		return
	}
	m.Log.Warn().Msg("wall clock and monotonic clock disagree, all authority is dropped")
	m.state.Invalidate(now)
	if m.Suspended != nil {
		go m.Suspended(now)
	}
}

// Head returns the head that the node runs.
func (m *Membership) Head() head.Head {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Head()
}

// View returns the head that the node runs and its configuration.
func (m *Membership) View() (head.Head, *snapshot.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Head(), m.Snapshot()
}

// InForce returns the highest sequence for which no node anywhere is current on
// an older head.
func (m *Membership) InForce(now time.Time) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.InForce(now)
}

// Accepted returns the highest sequence known to be accepted.
func (m *Membership) Accepted() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Accepted()
}

// Live returns the members of the roster that were heard of lately. This node
// is one of them unless it has resigned.
func (m *Membership) Live(now time.Time) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live(now)
}

func (m *Membership) live(now time.Time) []member.Member {
	silent := m.state.Silent(now, liveAfter)
	resigned := m.state.Resigned()
	return slices.DeleteFunc(slices.Clone(m.state.Head().Roster), func(p member.Member) bool {
		return slices.Contains(silent, p) || slices.Contains(resigned, p)
	})
}

// Resign ends this node's vote and authority; a planned stop calls it last.
func (m *Membership) Resign(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Resign(now)
}

// Status describes the node's view for operators.
type Status struct {
	Member     member.Member
	Head       head.Head
	Verdict    quorum.Status
	Accepted   uint64
	InForce    uint64
	Newest     uint64
	Live       int
	StoreError string    // Error of the last read of the store; empty after a good one.
	StoreAt    time.Time // Time of the last good read; zero if there was none.

	// StoreBehind tells that the store was restored to an older state.
	StoreBehind bool
}

// Status returns the node's view at now.
func (m *Membership) Status(now time.Time) Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkClock(now)
	s := Status{
		StoreBehind: m.state.StoreBehind(),
		Member:      m.Self,
		Head:        m.state.Head(),
		Verdict:     m.state.Current(now),
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

// rank returns this node's place among the live members of its data centre, or
// -1 if it is no member. The first few read the store at every interval.
func (m *Membership) rank(now time.Time) int {
	roster := m.live(now)
	if !slices.Contains(roster, m.Self) {
		return -1
	}
	near := slices.DeleteFunc(roster, func(p member.Member) bool { return p.DataCentre != m.Self.DataCentre })
	return slices.Index(placement.Rank("store-reader", near), m.Self)
}

// pickPeers draws the peers to ask at one interval.
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
	for a, at := range m.strangers {
		if now.Sub(at) > reconciler.SilenceTimeout {
			delete(m.strangers, a)
		} else if !seen[a] {
			// Few know a stranger: it is asked at every interval.
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

// peersToAsk returns the peers to ask at one interval, so that news reaches all
// of n nodes well within the window: each interval multiplies the nodes that
// know by one more than this.
func peersToAsk(n int) int {
	if n <= smallFleet {
		return 1
	}
	return maxPeers
}
