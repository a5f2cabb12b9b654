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

// readHead reads the head from the store if a read is due, and applies it.
func (m *Membership) readHead(ctx context.Context, now time.Time) {
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
		m.Log.Info().AnErr("Error", err).Msg("reachability of the store changed")
	}
	m.storeErr = err
	if err != nil {
		return
	}
	m.storeAt = asked
	m.state.ObserveStore(asked, h)
	if h.Sequence < m.state.Head().Sequence {
		// Unless StoreBehind is set, the reply was merely late.
		if m.state.StoreBehind() && !m.storeBehindLogged {
			m.storeBehindLogged = true
			m.Log.Error().Uint64("Stored", h.Sequence).Uint64("Running", m.state.Head().Sequence).
				Msg("store holds an older head than the running one; not reverting")
		}
		return
	}
	m.storeBehindLogged = false
	m.storedHead, m.storedRevision = h, revision
	m.wakeLoader()
}

// Refresh reads the head at once, after this node has written one.
func (m *Membership) Refresh(ctx context.Context) {
	m.mu.Lock()
	m.readAt = time.Time{}
	m.mu.Unlock()
	m.readHead(ctx, time.Now())
}

// readDue reports whether a read is due, and if so records its time. The first nodes of each
// data centre read at every interval and the others get their proofs from peers, so that
// the load on the store does not grow with the fleet.
func (m *Membership) readDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank := m.readerRank(now)
	v := m.state.Current(now)
	interval := sparseInterval
	if rank >= 0 && rank < readersPerDC || m.state.Head().Sequence == 0 {
		interval = 0
	} else if rank < 0 || !v.Current || v.Until.Sub(now) < minProofLeft {
		interval = time.Second + rand.N(time.Second)
	}
	if now.Sub(m.readAt) < interval {
		return false
	}
	m.readAt = now
	return true
}

// reconcile commits the roster change that the reconciler proposes, if any.
func (m *Membership) reconcile(ctx context.Context, now time.Time) {
	h, revision, ok := m.proposal(now)
	if !ok {
		return
	}
	value, err := reader.EncodeHead(h)
	if err != nil {
		m.Log.Error().Err(err).Msg("cannot encode the head")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err = m.Store.Commit(ctx, store.Compare{Key: reader.HeadKey, Revision: revision}, []store.Put{{Key: reader.HeadKey, Value: value}})
	m.Log.Info().AnErr("Error", err).Uint64("Sequence", h.Sequence).Int("Members", len(h.Roster)).Msg("roster change proposed")
	// Whatever the reply was, only a read shows what the store holds.
	m.Refresh(ctx)
}

// proposal returns the head that the reconciler proposes, and the revision that it is to
// replace. There is none unless a recent read of the store returned the running head.
func (m *Membership) proposal(now time.Time) (head.Head, int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	running := m.state.Head()
	if m.storeErr != nil || m.storeAt.IsZero() || m.storedHead.Sequence != running.Sequence || now.Sub(m.storeAt) > 2*readInterval+sparseInterval {
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
		return e.Head, m.storedRevision, true
	default:
		return head.Head{}, 0, false
	}
}

// reconcilerRank returns this node's rank among the nodes that may propose roster changes,
// or -1 if it may not. Readers of the store come first. Nodes outside the roster come after
// them, so that a fleet in which every member was replaced can form a roster again.
func (m *Membership) reconcilerRank(now time.Time) int {
	rank := m.readerRank(now)
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
