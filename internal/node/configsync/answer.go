package configsync

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/config/piece"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
)

// freeBytes is the length of pieces that any peer gets at any time: those that a small change moves.
const freeBytes = 16 << 10

// AnswerFreshness returns the encoded freshness stamp to a neighbour.
func (sy *Syncer) AnswerFreshness(now time.Time) ([]byte, error) {
	_, f := sy.running(now)
	return proto.Marshal(f)
}

// running returns the configuration in force with its freshness stamp. The content is nil if there is none.
func (sy *Syncer) running(now time.Time) (*content, *peerpb.Freshness) {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	s := sy.tracker.Stamp(now)
	return sy.content, &peerpb.Freshness{Version: s.Version, AgeNanos: int64(s.Age)}
}

// AnswerManifest returns the encoded manifest of the configuration and its freshness stamp to a peer.
func (sy *Syncer) AnswerManifest(now time.Time) ([]byte, error) {
	c, f := sy.running(now)
	m := &peerpb.Manifest{Freshness: f}
	if c != nil {
		list, _ := c.pieces()
		m.Addresses, m.Sizes = piece.JoinAddresses(list.Addresses), list.Sizes
	}
	return proto.Marshal(m)
}

// AnswerPieces returns encoded pieces of the configuration to a peer, or tells it to ask others first.
func (sy *Syncer) AnswerPieces(now time.Time, payload []byte) ([]byte, error) {
	var q peerpb.PieceRequest
	if err := proto.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	asked, err := piece.SplitAddresses(q.GetAddresses())
	if err != nil {
		return nil, err
	}
	c, _ := sy.running(now)
	if c == nil {
		return proto.Marshal(&peerpb.Pieces{})
	}
	raw := c.collect(asked, maxBatch)
	if len(raw) > freeBytes {
		if others, ok := sy.takeTurn(now, &q); !ok {
			sy.count(`configuration_answers_total{outcome="busy"}`)
			return proto.Marshal(&peerpb.Pieces{Busy: true, Others: others})
		}
	}
	packed, err := c.pack(&sy.packer, q.GetAddresses(), raw)
	if err != nil {
		return nil, err
	}
	sy.sent.Add(int64(len(packed)))
	sy.count(`configuration_answers_total{outcome="served"}`)
	return proto.Marshal(&peerpb.Pieces{Content: packed})
}

// takeTurn reports whether the peer that asks for pieces is served, or returns the encoded addresses of others that
// may have them.
func (sy *Syncer) takeTurn(now time.Time, q *peerpb.PieceRequest) (others [][]byte, ok bool) {
	var asker netip.AddrPort
	// Peers whose address cannot be decoded share one turn.
	_ = asker.UnmarshalBinary(q.GetAsker())
	served, ok := sy.Turns.Take(now, asker)
	if !ok {
		return encodeAddresses(served, asker), false
	}
	if q.GetLast() {
		sy.Turns.End(asker)
	}
	return nil, true
}

// encodeAddresses encodes addresses without one of them.
func encodeAddresses(list []netip.AddrPort, without netip.AddrPort) [][]byte {
	var encoded [][]byte
	for _, a := range slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == without }) {
		if b, err := a.MarshalBinary(); err == nil {
			encoded = append(encoded, b)
		}
	}
	return encoded
}

// AnswerConfiguration returns the whole encoded configuration and its freshness stamp to a peer of a release
// that knows no pieces.
func (sy *Syncer) AnswerConfiguration(now time.Time) ([]byte, error) {
	c, f := sy.running(now)
	m := &peerpb.Configuration{Freshness: f}
	if c != nil {
		m.Value = c.value
	}
	sy.sent.Add(int64(len(m.Value)))
	return proto.Marshal(m)
}

// Traffic returns the bytes of configurations that came from peers and went to them.
func (sy *Syncer) Traffic() (received, sent int64) {
	return sy.received.Load(), sy.sent.Load()
}

func (sy *Syncer) count(name string) {
	if sy.Count != nil {
		sy.Count(name)
	}
}
