package membership

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/codec"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/quorum"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

// gossip requests the digests of a few peers. Only replies count as proofs, since the time
// of the request bounds their age.
func (m *Membership) gossip(ctx context.Context, now time.Time) {
	for _, to := range m.pickPeers(now) {
		go m.askDigest(ctx, to)
	}
}

// gossipFast gossips at the shorter interval until the running head is known to be
// accepted, since a publish waits for that.
func (m *Membership) gossipFast(ctx context.Context, now time.Time) {
	m.mu.Lock()
	due := m.state.Accepted() < m.state.Head().Sequence && now.Sub(m.headSince) < fastGossipTime
	m.mu.Unlock()
	if due {
		m.gossip(ctx, now)
	}
}

// askDigest requests the digest of a peer and applies it.
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

// observe applies the digest of a peer, which proves its state at the time of the request.
// It ignores a digest whose sender is not the peer that was asked.
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

// AnswerDigest returns this node's digest to a peer. The address of a peer outside the
// roster is remembered, so that this node asks it in turn. A peer that runs a newer head
// is asked at once, so that heads spread faster than by the periodic requests.
func (m *Membership) AnswerDigest(payload []byte) ([]byte, error) {
	var q peerpb.DigestQuestion
	if err := proto.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	from, err := netip.ParseAddrPort(q.GetFrom())
	if err != nil {
		return nil, err
	}
	if !member.IsAddress(from) {
		return nil, fmt.Errorf("question of %s, which is the address of no node", from)
	}
	m.mu.Lock()
	now := time.Now()
	m.checkClock(now)
	if !m.inRoster(from) && len(m.unlisted) < maxUnlisted {
		m.unlisted[from] = now
	}
	d := m.state.Digest(now)
	m.mu.Unlock()
	if q.GetNewest() > d.Sequence {
		go m.askDigest(m.ctx, from)
	}
	return codec.EncodeDigest(d)
}

// inRoster reports whether a live member of the roster has the address.
func (m *Membership) inRoster(a netip.AddrPort) bool {
	for _, p := range m.state.Head().Roster {
		// A restarted node asks from the address of the member that it replaces, which is silent.
		if p.Address == a && !m.isSilent(a) {
			return true
		}
	}
	return false
}

func (m *Membership) isSilent(a netip.AddrPort) bool {
	for _, p := range m.state.Silent(time.Now(), liveTimeout) {
		if p.Address == a {
			return true
		}
	}
	return false
}

// AnswerHead returns the encoded head that this node runs.
func (m *Membership) AnswerHead() ([]byte, error) {
	return codec.MarshalHead(m.Head())
}
