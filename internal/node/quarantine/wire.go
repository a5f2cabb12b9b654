package quarantine

import (
	"math"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

// maxServiceName is the length, in bytes, of the longest service name that is taken from a peer.
const maxServiceName = 200

// encode returns the events with their ages at now.
func encode(now time.Time, events []blame.Event) []*peerpb.BlameEvent {
	list := make([]*peerpb.BlameEvent, 0, len(events))
	for _, e := range events {
		// An invalid address has no bytes; the receiver skips the event.
		node, _ := e.Node.MarshalBinary()
		m := &peerpb.BlameEvent{
			Id: e.ID, Crash: e.Crash, Fingerprint: e.Fingerprint[:], BodyBytes: e.BodyBytes, Service: e.Service, Node: node,
			Share: float32(e.Share), AgeMillis: uint32(min(max(now.Sub(e.At).Milliseconds(), 0), math.MaxUint32)), Withdrawn: e.Withdrawn, Trial: e.Trial,
		}
		if !e.Head.IsZero() {
			m.Head = e.Head[:]
		}
		list = append(list, m)
	}
	return list
}

// decode returns the events of a peer's message. It skips those that are malformed, and the
// ones beyond blame.MaxEvents.
func decode(now time.Time, list []*peerpb.BlameEvent) []blame.Event {
	events := make([]blame.Event, 0, min(len(list), blame.MaxEvents))
	for _, m := range list {
		e := blame.Event{
			Request: blame.Request{
				Fingerprint: fingerprint.FromBytes(m.GetFingerprint()), Head: fingerprint.FromBytes(m.GetHead()), BodyBytes: m.GetBodyBytes(),
				Trial: m.GetTrial(),
			},
			ID: m.GetId(), Crash: m.GetCrash(), Service: m.GetService(), Share: float64(m.GetShare()),
			At: now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond), Withdrawn: m.GetWithdrawn(),
		}
		var node netip.AddrPort
		valid := node.UnmarshalBinary(m.GetNode()) == nil && node.IsValid() && !e.Fingerprint.IsZero() && e.ID != 0 &&
			e.BodyBytes >= 0 && len(e.Service) <= maxServiceName && e.Share >= 0 && e.Share <= 1
		if !valid || len(events) == blame.MaxEvents {
			continue
		}
		e.Node = node
		events = append(events, e)
	}
	return events
}
