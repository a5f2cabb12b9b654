package membership

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/codec"
	"filbertturn.example/filbertturn/internal/fleet/quorum"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

// gossip asks a few peers what they run and know. Only answers count: their age
// is bounded by the time of the question.
func (m *Membership) gossip(ctx context.Context, now time.Time) {
	for _, to := range m.pickPeers(now) {
		go m.askDigest(ctx, to)
	}
}

// spread asks more often until the head is known to be accepted, since a publish
// waits for that.
func (m *Membership) spread(ctx context.Context, now time.Time) {
	m.mu.Lock()
	due := m.state.Accepted() < m.state.Head().Sequence && now.Sub(m.ranAt) < spreadTime
	m.mu.Unlock()
	if due {
		m.gossip(ctx, now)
	}
}

func (m *Membership) askDigest(ctx context.Context, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	asked := time.Now()
	q, err := proto.Marshal(&peerpb.DigestQuestion{From: m.Self.Address.String(), Newest: m.Sequence()})
	if err != nil {
		return
	}
	payload, err := m.Mesh.Ask(ctx, to, question.Digest, q)
	if err != nil {
		m.Log.Debug().Err(err).Stringer("Peer", to).Msg("peer did not answer")
		return
	}
	d, err := codec.DecodeDigest(payload)
	if err != nil {
		m.Log.Warn().Err(err).Stringer("Peer", to).Msg("peer sent a malformed digest")
		return
	}
	m.observe(asked, to, d)
}

func (m *Membership) observe(asked time.Time, from netip.AddrPort, d quorum.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.checkClock(now)
	if d.From.Address != from {
		return
	}
	m.state.ObservePeer(asked, now, d)
	if d.Sequence > m.state.Head().Sequence {
		m.sources = append(m.sources, from)
	}
	m.wakeLoader()
}

// AnswerDigest answers a peer's question. The address of a peer that is not in
// the roster is remembered, so that this node asks it in turn. A peer that runs
// a newer head is asked at once, so that heads spread faster than by the
// regular questions.
func (m *Membership) AnswerDigest(payload []byte) ([]byte, error) {
	var q peerpb.DigestQuestion
	if err := proto.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	from, err := netip.ParseAddrPort(q.GetFrom())
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	now := time.Now()
	m.checkClock(now)
	if !m.listed(from) && len(m.strangers) < maxStrangers {
		m.strangers[from] = now
	}
	d := m.state.Digest(now)
	m.mu.Unlock()
	if q.GetNewest() > d.Sequence {
		go m.askDigest(m.running, from)
	}
	return codec.EncodeDigest(d)
}

func (m *Membership) listed(a netip.AddrPort) bool {
	for _, p := range m.state.Head().Roster {
		// A restarted node asks from the address of the member it replaces.
		if p.Address == a && !m.silent(a) {
			return true
		}
	}
	return false
}

func (m *Membership) silent(a netip.AddrPort) bool {
	for _, p := range m.state.Silent(time.Now(), liveAfter) {
		if p.Address == a {
			return true
		}
	}
	return false
}

// AnswerHead returns the text of the head that this node runs.
func (m *Membership) AnswerHead() ([]byte, error) {
	return codec.MarshalHead(m.Head())
}
