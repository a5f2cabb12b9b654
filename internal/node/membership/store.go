package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/reconciler"
	"filbertturn.example/filbertturn/internal/keyvalue/reader"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
)

// read asks the store for the head, if this node is to do so now.
func (m *Membership) read(ctx context.Context, now time.Time) {
	if !m.readDue(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := time.Now()
	h, revision, err := reader.Reader{Store: m.Store}.Head(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkClock(time.Now())
	if (err == nil) != (m.storeErr == nil) || m.storeAt.IsZero() {
		m.Log.Info().AnErr("Error", err).Msg("store answers changed")
	}
	m.storeErr = err
	if err != nil {
		return
	}
	m.storeAt = asked
	m.state.ObserveStore(asked, h)
	if h.Sequence < m.state.Head().Sequence {
		// Without StoreBehind the answer was merely late.
		if m.state.StoreBehind() && !m.reverted {
			m.reverted = true
			m.Log.Error().Uint64("Stored", h.Sequence).Uint64("Running", m.state.Head().Sequence).
				Msg("store is older than the head that runs; nothing is reverted")
		}
		return
	}
	m.reverted = false
	m.stored, m.revision = h, revision
	m.wakeLoader()
}

// Refresh reads the head at once, after this node has written one.
func (m *Membership) Refresh(ctx context.Context) {
	m.mu.Lock()
	m.readAt = time.Time{}
	m.mu.Unlock()
	m.read(ctx, time.Now())
}

// readDue decides whether to read. A few nodes of each data centre read at every
// interval and the others get their proofs from peers, so that the calls on the
// store do not grow with the fleet.
func (m *Membership) readDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank := m.rank(now)
	v := m.state.Current(now)
	interval := sparseInterval
	if rank >= 0 && rank < readersPerDC || m.state.Head().Sequence == 0 {
		interval = 0
	} else if rank < 0 || !v.Current || v.Until.Sub(now) < wantProof {
		interval = time.Second + rand.N(time.Second)
	}
	if now.Sub(m.readAt) < interval {
		return false
	}
	m.readAt = now
	return true
}

// manage lets the reconciler change the roster.
func (m *Membership) manage(ctx context.Context, now time.Time) {
	h, revision, ok := m.proposal(now)
	if !ok {
		return
	}
	value, err := reader.EncodeHead(h)
	if err != nil {
		m.Log.Error().Err(err).Msg("head cannot be written")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err = m.Store.Commit(ctx, store.Compare{Key: reader.HeadKey, Revision: revision}, []store.Put{{Key: reader.HeadKey, Value: value}})
	m.Log.Info().AnErr("Error", err).Uint64("Sequence", h.Sequence).Int("Members", len(h.Roster)).Msg("roster change proposed")
	// Whatever the answer was, only a read tells what the store holds.
	m.Refresh(ctx)
}

func (m *Membership) proposal(now time.Time) (head.Head, int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	running := m.state.Head()
	if m.storeErr != nil || m.storeAt.IsZero() || m.stored.Sequence != running.Sequence || now.Sub(m.storeAt) > 2*readInterval+sparseInterval {
		return head.Head{}, 0, false
	}
	in := reconciler.Input{
		Head:     running,
		Accepted: m.state.Accepted() >= running.Sequence,
		Silent:   m.state.Silent(now, reconciler.SilenceTimeout),
		Joining:  m.state.Joining(now),
		Resigned: m.state.Resigned(),
		Rank:     m.reconcilerRank(now),
	}
	switch e := m.reconciler.Decide(now, in).(type) {
	case reconciler.Propose:
		return e.Head, m.revision, true
	default:
		return head.Head{}, 0, false
	}
}

// reconcilerRank places the readers of the store first. A node outside the roster
// comes after them, so that a fleet of which every member was replaced can form
// a roster again.
func (m *Membership) reconcilerRank(now time.Time) int {
	rank := m.rank(now)
	if rank >= 0 && rank < readersPerDC {
		return rank
	}
	if rank >= 0 {
		return -1
	}
	if len(m.state.Head().Roster) == 0 {
		return 0
	}
	for i, j := range m.state.Joining(now) {
		if j == m.Self {
			return readersPerDC + i
		}
	}
	return -1
}
