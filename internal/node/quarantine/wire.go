package quarantine

import (
	"errors"
	"math"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/nodetable"
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
			Share: float32(e.Share), AgeMillis: millis(now.Sub(e.At)), RanMillis: millis(e.Ran), Withdrawn: e.Withdrawn, Trial: e.Trial,
		}
		if !e.Head.IsZero() {
			m.Head = e.Head[:]
		}
		list = append(list, m)
	}
	return list
}

// millis returns a duration in milliseconds, as far as they fit into a message.
func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// errMalformedEvent reports an event that cannot be used.
var errMalformedEvent = errors.New("report of a crash without a fingerprint, an identifier or a node, or with a number out of its range")

// decode returns the events of a peer's message, and an error if it skipped any that are malformed. It
// leaves out the ones beyond blame.MaxEvents too.
func decode(now time.Time, list []*peerpb.BlameEvent) ([]blame.Event, error) {
	events := make([]blame.Event, 0, min(len(list), blame.MaxEvents))
	var err error
	for _, m := range list {
		e := blame.Event{
			Request: blame.Request{
				Fingerprint: fingerprint.FromBytes(m.GetFingerprint()), Head: fingerprint.FromBytes(m.GetHead()), BodyBytes: m.GetBodyBytes(),
				Ran: time.Duration(m.GetRanMillis()) * time.Millisecond, Trial: m.GetTrial(),
			},
			ID: m.GetId(), Crash: m.GetCrash(), Service: m.GetService(), Share: float64(m.GetShare()),
			At: now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond), Withdrawn: m.GetWithdrawn(),
		}
		node, nodeErr := nodetable.ParseAddress(m.GetNode())
		valid := nodeErr == nil && !e.Fingerprint.IsZero() && e.ID != 0 &&
			e.BodyBytes >= 0 && len(e.Service) <= maxServiceName && e.Share >= 0 && e.Share <= 1
		if !valid {
			err = errMalformedEvent
			continue
		}
		if len(events) < blame.MaxEvents {
			e.Node = node
			events = append(events, e)
		}
	}
	return events, err
}
