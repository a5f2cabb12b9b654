// Package follower keeps the configuration that a node runs in step with the
// depot, through its peers where they know more. It never goes back to an older
// version.
package follower

import (
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
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/superpeer"
	"filbertturn.example/filbertturn/internal/node/depot"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

const (
	// answerTime is the time in which the depot or a peer must answer. The depot
	// takes milliseconds, and a silent connection must be found soon enough for
	// another question.
	answerTime = 500 * time.Millisecond

	// jitter spreads the questions of nodes whose proofs have the same age.
	jitter = 100 * time.Millisecond

	// consultTime is the time in which the super-peer must answer.
	consultTime = 150 * time.Millisecond

	// joinTime is the time in which a node usually knows its neighbours: three calls of
	// the depot, which takes milliseconds for each.
	joinTime  = time.Second
	joinPause = 20 * time.Millisecond

	// startTime is the time in which a node that starts in a running fleet has a
	// configuration: it joins and makes one more call. One that takes longer may do so
	// for long, and its callers are better told at once.
	startTime = joinTime
)

// Follower follows one key of the depot.
type Follower struct {
	Depot  depot.Depot
	Mesh   *link.Mesh
	Key    string                                                    // Key of the configuration.
	Decode func(value []byte) (version uint64, s set.Set, err error) // Reads its value.
	Log    zerolog.Logger

	// Neighbours returns the nodes of the data centre with this one, in the same
	// order everywhere. The first that answers is the super-peer.
	Self       netip.AddrPort
	Neighbours func() []netip.AddrPort

	// Joined tells whether this node knows its neighbours. Until then it does not know
	// whom to ask, and asks the depot only after joinTime.
	Joined func() bool

	snapshot   atomic.Pointer[snapshot.Snapshot]
	first      latch.Latch // That there is a configuration.
	fetching   atomic.Bool
	superPeers superpeer.Selector

	mu       sync.Mutex // Guards the fields below.
	began    time.Time  // When Run began.
	proof    freshness.Proof
	value    []byte // The configuration as the operator wrote it.
	revision int64  // Revision of the key that was read last.
}

// Snapshot returns the configuration, or nil before the first was read.
func (f *Follower) Snapshot() *snapshot.Snapshot {
	return f.snapshot.Load()
}

// Await returns the configuration. While the node has just started and has none, it
// waits for the first one, for at most some time.
func (f *Follower) Await(ctx context.Context, most time.Duration) *snapshot.Snapshot {
	if s := f.Snapshot(); s != nil {
		return s
	}
	f.mu.Lock()
	began := f.began
	f.mu.Unlock()
	// Before Run a node has not begun to look for one.
	if !began.IsZero() {
		most = min(most, time.Until(began.Add(startTime)))
	}
	f.first.Wait(ctx, most)
	return f.Snapshot()
}

// Stamp returns what to tell other nodes.
func (f *Follower) Stamp(now time.Time) freshness.Stamp {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proof.Stamp(now)
}

// Run asks the depot or the super-peer whenever the proof is too old, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.began = time.Now()
	f.mu.Unlock()
	f.awaitJoin(ctx)
	reachable := true
	for ctx.Err() == nil {
		now := time.Now()
		superPeer := f.superPeers.Choose(now, f.Neighbours(), f.Self, f.Self)
		f.mu.Lock()
		effect := f.proof.Tick(now, superPeer == f.Self)
		wait := f.proof.Next(superPeer == f.Self).Sub(now)
		f.mu.Unlock()
		switch effect.(type) {
		case freshness.Ask:
			err := f.read(ctx)
			if ctx.Err() == nil && (err == nil) != reachable {
				reachable = err == nil
				f.logReach(err)
			}
		case freshness.Consult:
			f.consult(ctx, superPeer)
		default:
			timer.Sleep(ctx, wait+rand.N(jitter))
		}
	}
}

// awaitJoin waits until the super-peer is known, so that the nodes of a fleet that starts
// do not all ask the depot.
func (f *Follower) awaitJoin(ctx context.Context) {
	for end := time.Now().Add(joinTime); !f.Joined() && time.Now().Before(end) && ctx.Err() == nil; {
		timer.Sleep(ctx, joinPause)
	}
	f.mu.Lock()
	f.proof.Begin(time.Now())
	f.mu.Unlock()
}

// consult asks the super-peer for its stamp.
func (f *Follower) consult(ctx context.Context, superPeer netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, consultTime)
	defer cancel()
	asked := time.Now()
	reply, err := f.Mesh.Ask(ctx, superPeer, question.Freshness, nil)
	var m peerpb.Freshness
	if err == nil {
		err = proto.Unmarshal(reply, &m)
	}
	if err != nil {
		f.superPeers.MarkUnresponsive(time.Now(), superPeer)
		return
	}
	f.Hear(superPeer, asked, freshness.Stamp{Version: m.GetVersion(), Age: time.Duration(m.GetAgeNanos())})
}

// AnswerFreshness returns the stamp for a neighbour.
func (f *Follower) AnswerFreshness(now time.Time) ([]byte, error) {
	s := f.Stamp(now)
	return proto.Marshal(&peerpb.Freshness{Version: s.Version, AgeNanos: int64(s.Age)})
}

func (f *Follower) logReach(err error) {
	if err == nil {
		f.Log.Info().Msg("configuration store regained")
		return
	}
	f.Log.Warn().Err(err).Dur("ProofAge", f.Stamp(time.Now()).Age).Msg("configuration store lost")
}

// read asks the depot for the newest configuration.
func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	asked := time.Now()
	page, err := f.Depot.Get(ctx, f.Key)
	f.mu.Lock()
	f.proof.Asked(err)
	same := len(page.Items) == 1 && page.Items[0].Revision == f.revision
	switch {
	case same:
		f.proof.Confirm(f.proof.Version(), asked)
	case err == nil && len(page.Items) == 0:
		f.proof.Confirm(0, asked)
	}
	f.mu.Unlock()
	if err != nil || same || len(page.Items) == 0 {
		return err
	}
	item := page.Items[0]
	if err := f.take(item.Value, asked, "store"); err != nil {
		f.Log.Error().Err(err).Int64("Revision", item.Revision).Msg("configuration cannot be read; the last one stays in force")
		return nil
	}
	f.mu.Lock()
	f.revision = item.Revision
	f.mu.Unlock()
	return nil
}

// Hear takes in the stamp of a peer's reply to a question that was asked at a
// moment, and fetches what is newer.
func (f *Follower) Hear(from netip.AddrPort, asked time.Time, s freshness.Stamp) {
	f.mu.Lock()
	effect := f.proof.Hear(asked, s)
	f.mu.Unlock()
	if _, ok := effect.(freshness.Fetch); ok && f.fetching.CompareAndSwap(false, true) {
		go f.fetchNewer(from)
	}
}

// Introduced fetches the configuration of a node that introduced itself, if this one
// has none yet.
func (f *Follower) Introduced(from netip.AddrPort) {
	if f.Snapshot() == nil && f.fetching.CompareAndSwap(false, true) {
		go f.fetchFirst(from)
	}
}

// fetchFirst asks a peer for a configuration that it may not have. Run looks for
// one meanwhile.
func (f *Follower) fetchFirst(from netip.AddrPort) {
	defer f.fetching.Store(false)
	if err := f.fetch(from); err != nil {
		f.Log.Debug().Err(err).Stringer("From", from).Msg("no configuration can be had of a peer")
	}
}

// fetchNewer asks a peer for its configuration, which is newer, and the depot if
// that fails.
func (f *Follower) fetchNewer(from netip.AddrPort) {
	defer f.fetching.Store(false)
	err := f.fetch(from)
	if err == nil {
		return
	}
	f.Log.Info().Err(err).Stringer("From", from).Msg("configuration of a peer cannot be had; the store is asked")
	if err := f.read(context.Background()); err != nil {
		f.Log.Warn().Err(err).Msg("newer configuration is known and cannot be read yet")
	}
}

// fetch asks a peer for its configuration and runs it.
func (f *Follower) fetch(from netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	asked := time.Now()
	reply, err := f.Mesh.Ask(ctx, from, question.Configuration, nil)
	if err != nil {
		return err
	}
	var m peerpb.Configuration
	if err := proto.Unmarshal(reply, &m); err != nil {
		return err
	}
	age := time.Duration(m.GetFreshness().GetAgeNanos())
	return f.take(m.GetValue(), asked.Add(-min(age, time.Hour)), from.String())
}

// Answer returns the configuration for a peer.
func (f *Follower) Answer(now time.Time) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.proof.Stamp(now)
	return proto.Marshal(&peerpb.Configuration{
		Value: f.value, Freshness: &peerpb.Freshness{Version: s.Version, AgeNanos: int64(s.Age)},
	})
}

// take runs a configuration unless it is older than the present one. The value
// was the newest at a moment.
func (f *Follower) take(value []byte, at time.Time, source string) error {
	if len(value) == 0 {
		return fmt.Errorf("configuration from %s is empty", source)
	}
	version, s, err := f.Decode(value)
	if err != nil {
		return err
	}
	compiled := snapshot.Compile(s, version)
	f.mu.Lock()
	newer := version > f.proof.Version() || f.snapshot.Load() == nil
	if newer {
		f.value = value
		f.snapshot.Store(compiled)
		f.first.Set()
	}
	f.proof.Confirm(version, at)
	f.mu.Unlock()
	if newer {
		f.Log.Info().Uint64("Version", version).Str("Source", source).Dur("ProofAge", time.Since(at)).
			Int("Routes", len(s.Routes)).Int("Customers", len(s.Customers)).Msg("configuration in force")
	}
	return nil
}
