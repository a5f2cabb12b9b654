// Package configsync keeps the configuration that a node runs in sync with the key-value
// store, and with peers that have a newer one. It never goes back to an older version.
package configsync

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/clock/latch"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/assembly"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/config/source"
	"filbertturn.example/filbertturn/internal/config/turn"
	"filbertturn.example/filbertturn/internal/fleet/superpeer"
	"filbertturn.example/filbertturn/internal/node/kvstore"
	"filbertturn.example/filbertturn/internal/node/leftout"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/pack"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

const (
	// maxReadTime bounds a read of the store that makes progress: the longest value takes a second on a
	// link of 10 Mbit/s that has nothing else to do.
	maxReadTime = 5 * time.Second

	// maxJitter is the maximum random delay that spreads the requests of nodes whose
	// confirmations have the same age.
	maxJitter = 100 * time.Millisecond

	// superPeerTimeout is the timeout for a freshness request to the super-peer.
	superPeerTimeout = 150 * time.Millisecond

	// joinTimeout is the time within which a node usually knows its neighbours: it takes
	// three calls of the store, which answers each within milliseconds.
	joinTimeout      = time.Second
	joinPollInterval = 20 * time.Millisecond

	// startTimeout is the time within which a node that starts in a running fleet has a
	// configuration: it joins and makes one more call. A node that takes longer may take
	// much longer, so its callers should get an error at once.
	startTimeout = joinTimeout
)

// Syncer keeps the configuration in sync with one key of the store. The exported fields
// must be set before Run.
type Syncer struct {
	Store  kvstore.Store
	Mesh   *link.Mesh
	Key    string                                                    // Key of the configuration in the store.
	Decode func(value []byte) (version uint64, s set.Set, err error) // Decodes the value of the key.
	Log    zerolog.Logger

	LeftOut *leftout.Reporter // Of configurations that cannot be used; nil for none.
	Count   func(name string) // Adds one to a counter, unless nil.

	// OnInForce is called after a configuration came into force; nil for nothing.
	OnInForce func()

	// Turns bounds the nodes that fetch from this one at the same time.
	Turns turn.Turns

	Self netip.AddrPort

	// Neighbours returns the addresses of the nodes of the data centre, including this
	// one, in the same order on every node. The first that answers is the super-peer.
	Neighbours func() []netip.AddrPort

	// Joined reports whether this node knows its neighbours. Until then it cannot ask the
	// super-peer, and it asks the store only after joinTimeout.
	Joined func() bool

	snapshot   atomic.Pointer[snapshot.Snapshot]
	loaded     latch.Latch // Set once there is a configuration.
	fetching   atomic.Bool // A fetch from a peer is in progress.
	superPeers superpeer.Selector
	packer     pack.Packer
	received   atomic.Int64 // Bytes of configurations from peers.
	sent       atomic.Int64 // Bytes of configurations to peers.

	mu        sync.Mutex // Guards the fields below.
	startedAt time.Time  // Time at which Run was called.
	tracker   freshness.Tracker
	content   *content           // The encoded configuration in force; nil before the first.
	partial   *assembly.Assembly // What came of a newer configuration; nil if nothing did.
	lastRead  []byte             // The value that the last read of the store returned; nil before the first.
	sources   source.Sources
}

// Snapshot returns the configuration, or nil before the first.
func (sy *Syncer) Snapshot() *snapshot.Snapshot {
	return sy.snapshot.Load()
}

// Await returns the configuration. If the node has just started and has none yet, it waits
// for the first one, for at most timeout and not beyond startTimeout after the call of Run.
// It returns nil if there is still none.
func (sy *Syncer) Await(ctx context.Context, timeout time.Duration) *snapshot.Snapshot {
	if s := sy.Snapshot(); s != nil {
		return s
	}
	sy.mu.Lock()
	startedAt := sy.startedAt
	sy.mu.Unlock()
	// Before Run the node has not begun to fetch a configuration.
	if !startedAt.IsZero() {
		timeout = min(timeout, time.Until(startedAt.Add(startTimeout)))
	}
	sy.loaded.Wait(ctx, timeout)
	return sy.Snapshot()
}

// Stamp returns the freshness of the configuration at now, to be sent to other nodes.
func (sy *Syncer) Stamp(now time.Time) freshness.Stamp {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	return sy.tracker.Stamp(now)
}

// Run asks the store or the super-peer whenever the confirmation of the version is too old, until
// ctx ends.
func (sy *Syncer) Run(ctx context.Context) {
	sy.mu.Lock()
	sy.startedAt = time.Now()
	sy.mu.Unlock()
	sy.awaitJoin(ctx)
	reachable := true
	for ctx.Err() == nil {
		now := time.Now()
		superPeer := sy.superPeers.Choose(now, sy.Neighbours(), sy.Self, sy.Self)
		sy.mu.Lock()
		effect := sy.tracker.Tick(now, superPeer == sy.Self)
		wait := sy.tracker.NextTick(superPeer == sy.Self).Sub(now)
		sy.mu.Unlock()
		switch effect.(type) {
		case freshness.QueryStore:
			err := sy.readStore(ctx)
			if ctx.Err() == nil && (err == nil) != reachable {
				reachable = err == nil
				sy.logReachability(err)
			}
		case freshness.QuerySuperPeer:
			sy.askSuperPeer(ctx, superPeer)
		default:
			timer.Sleep(ctx, wait+rand.N(maxJitter))
		}
	}
}

// awaitJoin waits until the neighbours are known, for at most joinTimeout, so that the nodes
// of a fleet that starts do not all ask the store.
func (sy *Syncer) awaitJoin(ctx context.Context) {
	for end := time.Now().Add(joinTimeout); !sy.Joined() && time.Now().Before(end) && ctx.Err() == nil; {
		timer.Sleep(ctx, joinPollInterval)
	}
	sy.mu.Lock()
	sy.tracker.Start(time.Now())
	sy.mu.Unlock()
}

// askSuperPeer asks the super-peer for its freshness stamp.
func (sy *Syncer) askSuperPeer(ctx context.Context, superPeer netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, superPeerTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := sy.Mesh.Ask(ctx, superPeer, question.Freshness, nil)
	var m peerpb.Freshness
	if err == nil {
		err = proto.Unmarshal(reply, &m)
	}
	if err != nil {
		sy.superPeers.MarkUnresponsive(time.Now(), superPeer)
		return
	}
	sy.ObserveStamp(superPeer, asked, freshness.Stamp{Version: m.GetVersion(), Age: time.Duration(m.GetAgeNanos())})
}

// logReachability logs that the store became reachable, or unreachable with err.
func (sy *Syncer) logReachability(err error) {
	if err == nil {
		sy.Log.Info().Msg("configuration store is reachable again")
		return
	}
	sy.Log.Warn().Err(err).Dur("ProofAge", sy.Stamp(time.Now()).Age).Msg("configuration store is unreachable")
}

// readStore reads the configuration from the store, and applies it if it changed.
func (sy *Syncer) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	asked := time.Now()
	result, err := sy.Store.Get(ctx, sy.Key)
	sy.mu.Lock()
	sy.tracker.RecordQuery(err)
	sy.mu.Unlock()
	if err != nil {
		return err
	}
	if len(result.Items) > 0 {
		sy.applyStored(result.Items[0], asked)
	}
	// The store may have an older configuration, one that cannot be used, or none. What is in force is the
	// newest in all cases.
	sy.mu.Lock()
	defer sy.mu.Unlock()
	sy.tracker.Confirm(sy.tracker.Version(), asked)
	return nil
}

// applyStored applies the item that the store has, unless that was read last. The values tell, not
// their revisions: a store that comes back from a copy gives out revisions again.
func (sy *Syncer) applyStored(item kvstore.Item, asked time.Time) {
	sy.mu.Lock()
	isKnown := sy.lastRead != nil && bytes.Equal(item.Value, sy.lastRead)
	sy.mu.Unlock()
	if isKnown {
		return
	}
	if err := sy.apply(&content{value: item.Value}, asked, "store"); err != nil {
		sy.LeftOut.Report(asked, "configuration", item.Key, item.Revision, err)
	}
	sy.mu.Lock()
	defer sy.mu.Unlock()
	sy.lastRead = item.Value
}

// apply makes an encoded configuration the running one if it is newer. The value was
// the newest at the time at. The source is logged.
func (sy *Syncer) apply(c *content, at time.Time, source string) error {
	if len(c.value) == 0 {
		return fmt.Errorf("configuration from %s is empty", source)
	}
	version, s, err := sy.Decode(c.value)
	if err != nil {
		return err
	}
	compiled := snapshot.Compile(s, version)
	sy.mu.Lock()
	running := sy.tracker.Version()
	newer := version > running || sy.snapshot.Load() == nil
	if newer {
		sy.content, sy.partial = c, nil
		sy.snapshot.Store(compiled)
		sy.loaded.Set()
	}
	sy.tracker.Confirm(version, at)
	sy.mu.Unlock()
	switch {
	case newer:
		if sy.OnInForce != nil {
			sy.OnInForce()
		}
		sy.Log.Info().Uint64("Version", version).Str("Source", source).Dur("ProofAge", time.Since(at)).Int("Bytes", len(c.value)).
			Int("Routes", len(s.Routes)).Int("Customers", len(s.Customers)).Msg("configuration in force")
	case version < running:
		sy.Log.Warn().Uint64("Version", version).Str("Source", source).Uint64("InForce", running).Msg("older configuration than the one in force ignored")
	}
	return nil
}
