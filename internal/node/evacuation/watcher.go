// Package evacuation follows whether the operator has the data centre of this node evacuated,
// which means that its backend servers must get no requests until it is taken back.
package evacuation

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/fleet/superpeer"
	"filbertturn.example/filbertturn/internal/node/kvstore"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

const (
	// queryInterval is the time between two queries, to which up to maxJitter is added: an
	// order reaches the super-peer within one of them, and the other nodes within two.
	queryInterval = 700 * time.Millisecond
	maxJitter     = 100 * time.Millisecond

	// initialInterval is the time between two queries until the first succeeds.
	initialInterval = 100 * time.Millisecond

	// maxBackoff bounds the time between two queries of the store while they fail. It
	// doubles with each failure.
	maxBackoff = 4 * time.Second

	// unknownTimeout is the time after which a node that can ask nobody takes its data
	// centre as not evacuated.
	unknownTimeout = 3 * time.Second

	// maxReportedAge is the age from which a reply tells nothing. While the store is away,
	// the last known state is the best there is.
	maxReportedAge = time.Hour

	// queryTimeout bounds a query. Store and super-peer answer within milliseconds.
	queryTimeout = 300 * time.Millisecond
)

// Watcher asks the store, or the super-peer of the data centre on whose behalf it does, for
// the order to evacuate. The exported fields must be set before Run.
type Watcher struct {
	Store kvstore.Store
	Mesh  *link.Mesh
	Key   string // Key that exists in the store while the data centre is evacuated.
	Log   zerolog.Logger
	Self  netip.AddrPort

	// Neighbours returns the addresses of the nodes of the data centre, including this
	// one, in the same order on every node. The first that answers is the super-peer.
	Neighbours func() []netip.AddrPort

	// OnChange is called with the first state that is known and with each other one.
	OnChange func(evacuated bool)

	superPeers superpeer.Selector

	mu    sync.Mutex // Guards the fields below.
	state state
}

// Run asks until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(started) > unknownTimeout {
			// Any reply is newer than the epoch, and no node takes over a state of that age.
			w.observe(time.Unix(0, 0), false, "none")
		}
		superPeer := w.superPeers.Choose(now, w.Neighbours(), w.Self, w.Self)
		w.mu.Lock()
		next, wait := w.state.next(now, superPeer == w.Self)
		w.mu.Unlock()
		switch next {
		case queryStore:
			w.queryStore(ctx)
		case queryPeer:
			w.queryPeer(ctx, superPeer)
		case queryNobody:
			timer.Sleep(ctx, wait+rand.N(maxJitter))
		}
	}
}

func (w *Watcher) queryStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	asked := time.Now()
	result, err := w.Store.Get(ctx, w.Key)
	w.mu.Lock()
	w.state.storeReplied(asked, err)
	first := w.state.storeFailures == 1
	w.mu.Unlock()
	if err != nil {
		if first {
			w.Log.Warn().Err(err).Str("Key", w.Key).Msg("cannot ask the store for an evacuation of the data centre; the known state stays")
		}
		return
	}
	w.observe(asked, len(result.Items) > 0, "store")
}

// queryPeer asks the super-peer, or any neighbour if this node is the super-peer.
func (w *Watcher) queryPeer(ctx context.Context, superPeer netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	asked := time.Now()
	to, ok := w.otherThanSelf(superPeer)
	if !ok {
		w.mu.Lock()
		w.state.peerReplied(asked)
		w.mu.Unlock()
		return
	}
	reply, err := w.Mesh.Ask(ctx, to, question.Evacuation, nil)
	var m peerpb.Evacuation
	if err == nil {
		err = proto.Unmarshal(reply, &m)
	}
	w.mu.Lock()
	w.state.peerReplied(asked)
	w.mu.Unlock()
	if err != nil {
		w.superPeers.MarkUnresponsive(time.Now(), to)
		return
	}
	if age := time.Duration(m.GetAgeNanos()); age >= 0 && age < maxReportedAge {
		w.observe(asked.Add(-age), m.GetEvacuated(), to.String())
	}
}

// otherThanSelf returns the super-peer, or a random neighbour if this node is the super-peer;
// false if there is none.
func (w *Watcher) otherThanSelf(superPeer netip.AddrPort) (netip.AddrPort, bool) {
	if superPeer != w.Self {
		return superPeer, true
	}
	others := slices.DeleteFunc(slices.Clone(w.Neighbours()), func(a netip.AddrPort) bool { return a == w.Self })
	if len(others) == 0 {
		return netip.AddrPort{}, false
	}
	return others[rand.N(len(others))], true
}

// observe takes note of the state at a time, unless a later one is known.
func (w *Watcher) observe(at time.Time, evacuated bool, source string) {
	w.mu.Lock()
	changed := w.state.observe(at, evacuated)
	w.mu.Unlock()
	if changed {
		w.Log.Info().Bool("Evacuated", evacuated).Str("Source", source).Dur("ProofAge", time.Since(at)).Msg("evacuation of the data centre")
		w.OnChange(evacuated)
	}
}

// Answer returns the encoded state and its age to a neighbour.
func (w *Watcher) Answer(now time.Time) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return proto.Marshal(&peerpb.Evacuation{Evacuated: w.state.evacuated, AgeNanos: int64(w.state.age(now))})
}
