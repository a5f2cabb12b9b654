package membership

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"runtime/debug"
	"time"

	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/codec"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/keyvalue/reader"
	"filbertturn.example/filbertturn/internal/peer/question"
)

// loadTimeout is the timeout for fetching a whole configuration.
const loadTimeout = 10 * time.Second

var errNoSource = errors.New("neither the store nor a peer returned the newest head")

func (m *Membership) wakeLoader() {
	select {
	case m.load <- struct{}{}:
	default:
	}
}

// loadLoop loads newer heads whenever one becomes known, one at a time, until ctx ends.
func (m *Membership) loadLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.load:
		}
		for m.behind() && ctx.Err() == nil {
			if err := m.loadNewest(ctx); err != nil {
				m.Log.Debug().Err(err).Msg("cannot load the newest head")
				break
			}
			m.gossip(ctx, time.Now())
		}
	}
}

// behind reports whether a newer head than the running one is known.
func (m *Membership) behind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Newest() > m.state.Head().Sequence
}

// loadNewest fetches the newest head and its configuration and makes the node run them.
func (m *Membership) loadNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	h, sources, err := m.fetchHead(ctx)
	if err != nil {
		return err
	}
	chunks, config, err := m.fetchConfig(ctx, h, sources)
	if err != nil {
		return err
	}
	same := config == m.Snapshot()
	if err := m.setHead(h, chunks, config); err != nil || same {
		return err
	}
	// Decoding leaves garbage of several times the size of the configuration.
	debug.FreeOSMemory()
	return nil
}

// fetchHead returns a head newer than the running one, from the last read of the store or
// from a peer, and the peers that are known to have it.
func (m *Membership) fetchHead(ctx context.Context) (head.Head, []netip.AddrPort, error) {
	m.mu.Lock()
	running, stored, sources := m.state.Head().Sequence, m.storedHead, m.sources
	m.sources = nil
	m.mu.Unlock()
	if stored.Sequence > running {
		return stored, sources, nil
	}
	for _, from := range sources {
		h, err := m.askHead(ctx, from)
		if err == nil && h.Sequence > running {
			return h, sources, nil
		}
	}
	return head.Head{}, nil, errNoSource
}

func (m *Membership) askHead(ctx context.Context, from netip.AddrPort) (head.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	text, err := m.Mesh.Ask(ctx, from, question.Head, nil)
	if err != nil {
		return head.Head{}, err
	}
	return codec.UnmarshalHead(text)
}

// fetchConfig returns the chunks and the configuration of a head. Chunks that the node
// already has are not fetched again.
func (m *Membership) fetchConfig(ctx context.Context, h head.Head, sources []netip.AddrPort) (map[chunk.Address][]byte, *snapshot.Snapshot, error) {
	if h.Manifest == "" {
		return nil, nil, nil
	}
	m.mu.Lock()
	known := m.chunks
	same := m.state.Head().Manifest == h.Manifest
	m.mu.Unlock()
	if old := m.Snapshot(); same && old != nil && old.Revision() == h.Revision {
		return known, old, nil
	}
	address, err := chunk.ParseAddress(h.Manifest)
	if err != nil {
		return nil, nil, err
	}
	chunks := make(map[chunk.Address][]byte)
	get := func(a chunk.Address) ([]byte, error) {
		if b, ok := known[a]; ok {
			chunks[a] = b
			return b, nil
		}
		b, err := m.fetchChunk(ctx, a, sources)
		if err == nil {
			chunks[a] = b
		}
		return b, err
	}
	text, err := get(address)
	if err != nil {
		return nil, nil, err
	}
	manifest, err := chunk.Decode(text, address)
	if err != nil {
		return nil, nil, err
	}
	for _, a := range manifest.Addresses() {
		if _, err := get(a); err != nil {
			return nil, nil, err
		}
	}
	s, err := m.assemble(manifest, chunks)
	if err != nil {
		return nil, nil, err
	}
	return chunks, snapshot.Compile(s, h.Revision), nil
}

// assemble decodes the set of a manifest. Only chunks that differ from those of the running
// configuration are decoded.
func (m *Membership) assemble(to chunk.Manifest, chunks map[chunk.Address][]byte) (set.Set, error) {
	get := func(a chunk.Address) ([]byte, error) { return chunks[a], nil }
	m.mu.Lock()
	from, known := m.runningManifest()
	m.mu.Unlock()
	if old := m.Snapshot(); known && old != nil {
		return chunk.Update(old.Set(), from, to, get)
	}
	return chunk.Join(to, get)
}

// runningManifest returns the manifest of the running configuration, if there is one. The
// caller must hold m.mu.
func (m *Membership) runningManifest() (chunk.Manifest, bool) {
	address, err := chunk.ParseAddress(m.state.Head().Manifest)
	if err != nil {
		return chunk.Manifest{}, false
	}
	manifest, err := chunk.Decode(m.chunks[address], address)
	return manifest, err == nil
}

// fetchChunk fetches a chunk from the peers that have the head, or else from the store.
func (m *Membership) fetchChunk(ctx context.Context, a chunk.Address, sources []netip.AddrPort) ([]byte, error) {
	for _, from := range sources {
		b, err := m.askChunk(ctx, from, a)
		if err == nil && chunk.AddressOf(b) == a {
			return b, nil
		}
	}
	return reader.Reader{Store: m.Store}.Chunk(ctx, a)
}

func (m *Membership) askChunk(ctx context.Context, from netip.AddrPort, a chunk.Address) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return m.Mesh.Ask(ctx, from, question.Chunk, a[:])
}

// AnswerChunk returns a chunk of the running configuration to a peer. The payload is the
// chunk's address.
func (m *Membership) AnswerChunk(payload []byte) ([]byte, error) {
	var a chunk.Address
	if len(payload) != len(a) {
		return nil, fmt.Errorf("chunk address of %d bytes", len(payload))
	}
	copy(a[:], payload)
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.chunks[a]
	if !ok {
		return nil, fmt.Errorf("no chunk %s", a)
	}
	return b, nil
}

// setHead makes h the running head if it is newer than the present one. The
// configuration is visible to requests before the head counts, so that no request is
// attributed to a newer head than the one that it was checked against.
func (m *Membership) setHead(h head.Head, chunks map[chunk.Address][]byte, config *snapshot.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	old, oldConfig := m.state.Head(), m.Snapshot()
	if h.Sequence <= old.Sequence {
		return nil
	}
	m.snapshot.Store(config)
	if err := m.state.SetHead(now, h); err != nil {
		m.snapshot.Store(oldConfig)
		return err
	}
	m.sequence.Store(h.Sequence)
	m.chunks = chunks
	m.headSince = now
	m.Log.Info().Uint64("Sequence", h.Sequence).Uint64("Revision", h.Revision).Uint64("Epoch", h.Epoch).
		Int("Members", len(h.Roster)).Msg("running head")
	if m.OnHeadChange != nil {
		m.OnHeadChange(Change{Old: old, New: h, OldConfig: oldConfig, NewConfig: config})
	}
	return nil
}
