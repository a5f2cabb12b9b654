package configsync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/assembly"
	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/config/piece"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

const (
	// maxBatch is the length of the pieces that are asked for at a time, before they are packed. On a link
	// of 10 Mbit/s they take 26 ms even if they cannot be packed, so that the replies to other questions
	// do not wait long behind them, and each reply is progress.
	maxBatch = 32 << 10

	// manifestTimeout is the timeout for the manifest, of 8 KB at most for a value of a megabyte.
	manifestTimeout = 500 * time.Millisecond

	// batchTimeout is the timeout for one batch. Beside other transfers a batch takes many times as long as alone.
	batchTimeout = time.Second

	// wholeTimeout is the timeout for the whole configuration of a peer whose release knows no pieces. A
	// megabyte takes 0.9 s on a link of 10 Mbit/s that has nothing else to do.
	wholeTimeout = 3 * time.Second

	// maxFetches is the number of peers that are asked in a row. Replies of peers lead to further ones.
	maxFetches = 8

	// busyPause is the time after which a peer that serves others is asked again.
	busyPause = 100 * time.Millisecond

	// failedPause is the time for which a peer that does not answer is not asked again.
	failedPause = time.Second

	// oddPeerPause is the time for which no configuration is fetched from a peer whose
	// configuration is not the one that it announced, or cannot be used.
	oddPeerPause = 10 * time.Second

	// nearAttempts is the number of times that the super-peer is asked, with nearPause between them, before
	// the configuration is fetched from another data centre.
	nearAttempts = 2
	nearPause    = 100 * time.Millisecond

	// maxReportedAge bounds the age of a proof that a peer reports.
	maxReportedAge = time.Hour
)

// Reasons for which a peer did not provide a newer configuration.
var (
	errBusy     = errors.New("peer serves other nodes")
	errReplaced = errors.New("peer has another configuration than a moment before")
	errNoNewer  = errors.New("peer has no newer configuration")
	errNoPieces = errors.New("release of the peer knows no pieces")
)

// ObserveStamp observes the freshness stamp in a peer's reply, whose age is relative to
// asked, the time of the request. It fetches a newer configuration in the background.
func (sy *Syncer) ObserveStamp(from netip.AddrPort, asked time.Time, s freshness.Stamp) {
	sy.mu.Lock()
	effect := sy.tracker.OnStamp(asked, s)
	newer, ok := effect.(freshness.FetchFromPeer)
	if ok {
		sy.sources.Announce(asked, from, newer.Version)
		ok = !sy.sources.IsLeftOut(asked, from)
	}
	sy.mu.Unlock()
	if ok && sy.fetching.CompareAndSwap(false, true) {
		go sy.fetchNewer()
	}
}

// BootstrapFrom fetches the configuration of a node that introduced itself, unless this node
// has one already. The peer may have none either; Run goes on asking for one in the meantime.
func (sy *Syncer) BootstrapFrom(from netip.AddrPort) {
	if sy.Snapshot() != nil {
		return
	}
	now := time.Now()
	sy.mu.Lock()
	sy.sources.Refer(now, from, 1)
	leftOut := sy.sources.IsLeftOut(now, from)
	sy.mu.Unlock()
	if !leftOut && sy.fetching.CompareAndSwap(false, true) {
		go sy.fetchNewer()
	}
}

// fetchNewer fetches newer configurations from the peers that have them, until this node has the newest
// that it knows of or there is no peer to ask. Then it is the store's turn, once the proof is old.
func (sy *Syncer) fetchNewer() {
	defer sy.fetching.Store(false)
	ctx := context.Background()
	sy.awaitNear(ctx)
	for range maxFetches {
		from, _, ok := sy.chooseSource(time.Now())
		if !ok {
			return
		}
		err := sy.fetch(ctx, from)
		if !errors.Is(err, errBusy) {
			continue
		}
		if _, _, ok := sy.chooseSource(time.Now()); !ok {
			timer.Sleep(ctx, busyPause+rand.N(busyPause))
		}
	}
}

// awaitNear asks the super-peer, which may have the newer configuration already, before that is fetched from another
// data centre.
func (sy *Syncer) awaitNear(ctx context.Context) {
	for i := range nearAttempts {
		now := time.Now()
		if _, near, ok := sy.chooseSource(now); near || !ok {
			return
		}
		superPeer := sy.superPeers.Choose(now, sy.Neighbours(), sy.Self, sy.Self)
		if superPeer == sy.Self {
			return
		}
		if i > 0 {
			timer.Sleep(ctx, nearPause)
		}
		sy.askSuperPeer(ctx, superPeer)
	}
}

// chooseSource returns the peer to fetch a newer configuration from, and whether it is of this data centre.
func (sy *Syncer) chooseSource(now time.Time) (from netip.AddrPort, near, ok bool) {
	neighbours := sy.Neighbours()
	sy.mu.Lock()
	defer sy.mu.Unlock()
	return sy.sources.Choose(now, sy.tracker.Version(), neighbours, rand.IntN)
}

// fetchReport is what a log line says of a fetch.
type fetchReport struct {
	version  uint64
	pieces   int // Of the configuration.
	fetched  int // Pieces that came.
	received int // Bytes that came.
}

// fetch fetches the configuration of a peer and applies it.
func (sy *Syncer) fetch(ctx context.Context, from netip.AddrPort) error {
	began := time.Now()
	var r fetchReport
	err := sy.fetchManifest(ctx, from, &r)
	if errors.Is(err, errNoPieces) {
		err = sy.fetchWhole(ctx, from, &r)
	}
	sy.received.Add(int64(r.received))
	now := time.Now()
	outcome := "fetched"
	switch {
	case errors.Is(err, errBusy):
		outcome = "busy"
		sy.leaveOut(now, from, busyPause)
	case errors.Is(err, errReplaced), errors.Is(err, errNoNewer):
		outcome = "older"
	case err != nil:
		outcome = "failed"
		sy.leaveOut(now, from, failedPause)
	}
	sy.count(fmt.Sprintf("configuration_fetches_total{outcome=%q}", outcome))
	level := zerolog.InfoLevel
	if outcome == "older" {
		level = zerolog.DebugLevel
	}
	sy.Log.WithLevel(level).Err(err).Stringer("From", from).Str("Outcome", outcome).Uint64("Version", r.version).Int("Pieces", r.pieces).Int("Fetched", r.fetched).
		Int("Bytes", r.received).Dur("Took", now.Sub(began)).Msg("configuration asked of a peer")
	return err
}

// leaveOut asks a peer for nothing for a while.
func (sy *Syncer) leaveOut(now time.Time, from netip.AddrPort, pause time.Duration) {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	sy.sources.LeaveOut(now, from, now.Add(pause))
}

// reject reports that the configuration of a peer cannot be used, and does not ask it for a
// while.
func (sy *Syncer) reject(now time.Time, from netip.AddrPort, err error) error {
	sy.LeftOut.Report(now, "configuration of a node", from.String(), 0, err)
	sy.leaveOut(now, from, oddPeerPause)
	return err
}

// fetchManifest asks a peer for the manifest of its configuration, and then for the pieces that this node lacks.
func (sy *Syncer) fetchManifest(ctx context.Context, from netip.AddrPort, r *fetchReport) error {
	asked := time.Now()
	reply, err := sy.ask(ctx, from, question.Manifest, nil, manifestTimeout)
	var unknown *link.PeerError
	if errors.As(err, &unknown) {
		return errNoPieces
	}
	if err != nil {
		return err
	}
	r.received += len(reply)
	var m peerpb.Manifest
	if err := proto.Unmarshal(reply, &m); err != nil {
		return sy.reject(asked, from, err)
	}
	r.version = m.GetFreshness().GetVersion()
	if err := sy.checkVersion(asked, from, r.version); err != nil {
		return err
	}
	addresses, err := piece.SplitAddresses(m.GetAddresses())
	manifest := piece.Manifest{Addresses: addresses, Sizes: m.GetSizes()}
	if err == nil {
		err = manifest.Check()
	}
	if err != nil {
		return sy.reject(asked, from, err)
	}
	r.pieces = len(addresses)
	value, err := sy.assemble(ctx, from, manifest, r)
	if err != nil {
		return err
	}
	return sy.applyFetched(&content{value: value, manifest: manifest}, asked, from, m.GetFreshness(), r.version)
}

// applyFetched applies the configuration of a peer, which said that it has a version.
func (sy *Syncer) applyFetched(c *content, asked time.Time, from netip.AddrPort, f *peerpb.Freshness, version uint64) error {
	if err := sy.apply(c, asked.Add(-reportedAge(f)), from.String()); err != nil {
		return sy.reject(asked, from, err)
	}
	if got := sy.Stamp(time.Now()).Version; got < version {
		return sy.reject(asked, from, fmt.Errorf("%w: peer announced the version %d, and the newest version is %d", errNoNewer, version, got))
	}
	return nil
}

// checkVersion returns an error if a peer's version is not newer than the one in force.
func (sy *Syncer) checkVersion(asked time.Time, from netip.AddrPort, version uint64) error {
	sy.mu.Lock()
	running, announced := sy.tracker.Version(), sy.sources.Announced(from)
	sy.sources.Announce(asked, from, version)
	sy.mu.Unlock()
	switch {
	case version > running:
		return nil
	case announced > version && announced > running:
		return sy.reject(asked, from, fmt.Errorf("%w: peer announced the version %d, and has %d", errNoNewer, announced, version))
	}
	return errNoNewer
}

// assemble returns the value of a manifest once the missing pieces have come from a peer. What came is kept for
// the next fetch if not all do.
func (sy *Syncer) assemble(ctx context.Context, from netip.AddrPort, m piece.Manifest, r *fetchReport) ([]byte, error) {
	sy.mu.Lock()
	have, partial := sy.content, sy.partial
	sy.mu.Unlock()
	a := assembly.New(m, func(address chunk.Address) []byte { return knownPiece(address, have, partial) })
	for {
		if value, complete := a.Value(); complete {
			return value, nil
		}
		err := sy.fetchBatch(ctx, from, a, r)
		sy.mu.Lock()
		sy.partial = a
		sy.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

// knownPiece returns a piece of the configuration in force or of one that has come in part, or nil.
func knownPiece(address chunk.Address, have *content, partial *assembly.Assembly) []byte {
	if have != nil {
		if _, index := have.pieces(); index[address] != nil {
			return index[address]
		}
	}
	if partial != nil {
		return partial.Piece(address)
	}
	return nil
}

// fetchBatch asks a peer for the next of the missing pieces.
func (sy *Syncer) fetchBatch(ctx context.Context, from netip.AddrPort, a *assembly.Assembly, r *fetchReport) error {
	missing := a.Missing(maxBatch)
	self, err := sy.Self.MarshalBinary()
	if err != nil {
		return err
	}
	payload, err := proto.Marshal(&peerpb.PieceRequest{Addresses: piece.JoinAddresses(missing), Asker: self, Last: len(missing) == a.MissingCount()})
	if err != nil {
		return err
	}
	asked := time.Now()
	reply, err := sy.ask(ctx, from, question.Pieces, payload, batchTimeout)
	if err != nil {
		return err
	}
	r.received += len(reply)
	var m peerpb.Pieces
	if err := proto.Unmarshal(reply, &m); err != nil {
		return sy.reject(asked, from, err)
	}
	switch {
	case m.GetBusy():
		sy.refer(asked, from, r.version, m.GetOthers())
		return errBusy
	case len(m.GetContent()) == 0:
		return errReplaced
	}
	raw, err := sy.packer.Unpack(m.GetContent())
	if err != nil {
		return sy.reject(asked, from, err)
	}
	before := a.MissingCount()
	err = a.Add(missing, raw)
	came := before - a.MissingCount()
	r.fetched += came
	switch {
	case err != nil:
		return sy.reject(asked, from, err)
	case came == 0:
		return sy.reject(asked, from, errors.New("peer sent no piece"))
	}
	return nil
}

// refer takes the nodes of this data centre that a busy peer names for ones that may have its version.
func (sy *Syncer) refer(now time.Time, from netip.AddrPort, version uint64, others [][]byte) {
	neighbours := sy.Neighbours()
	sy.mu.Lock()
	defer sy.mu.Unlock()
	for _, b := range others {
		var a netip.AddrPort
		if a.UnmarshalBinary(b) == nil && a != from && a != sy.Self && slices.Contains(neighbours, a) {
			sy.sources.Refer(now, a, version)
		}
	}
}

// fetchWhole fetches the configuration of a peer whose release knows no pieces, and applies it.
func (sy *Syncer) fetchWhole(ctx context.Context, from netip.AddrPort, r *fetchReport) error {
	asked := time.Now()
	reply, err := sy.ask(ctx, from, question.Configuration, nil, wholeTimeout)
	if err != nil {
		return err
	}
	r.received += len(reply)
	var m peerpb.Configuration
	if err := proto.Unmarshal(reply, &m); err != nil {
		return sy.reject(asked, from, err)
	}
	r.version = m.GetFreshness().GetVersion()
	if len(m.GetValue()) == 0 {
		return errNoNewer
	}
	sy.mu.Lock()
	announced := sy.sources.Announced(from)
	sy.mu.Unlock()
	return sy.applyFetched(&content{value: m.GetValue()}, asked, from, m.GetFreshness(), announced)
}

// ask asks a peer a question, for at most timeout.
func (sy *Syncer) ask(ctx context.Context, to netip.AddrPort, kind question.Kind, payload []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return sy.Mesh.Ask(ctx, to, kind, payload)
}

// reportedAge returns the age of a proof that a peer reports, the greatest one if it is none.
func reportedAge(f *peerpb.Freshness) time.Duration {
	age := time.Duration(f.GetAgeNanos())
	if age < 0 || age > maxReportedAge {
		return maxReportedAge
	}
	return age
}
