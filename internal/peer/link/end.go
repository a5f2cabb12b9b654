package link

import (
	"net/netip"
	"time"
)

// EndReason is the reason for which a session ended.
type EndReason int

// The reasons.
const (
	Lost       EndReason = iota // The peer or the network ended it.
	Failed                      // It could not be opened.
	Unanswered                  // Questions got no reply.
	Unwritable                  // No question could be sent, or no stream opened.
	Superseded                  // A peer did not react to a request; a new session took its place.
	Idle                        // It was not used.
	Closed                      // This node closed all its sessions.
	Crowded                     // Streams stayed that only one side had closed.
	Silent                      // Nothing arrived although requests ran and the peer was pinged.
)

var reasonNames = [...]string{
	Lost: "Lost", Failed: "Failed", Unanswered: "Unanswered", Unwritable: "Unwritable", Superseded: "Superseded", Idle: "Idle", Closed: "Closed",
	Crowded: "Crowded", Silent: "Silent",
}

// String returns the name of the reason, as logs and metrics contain it.
func (r EndReason) String() string {
	return reasonNames[r]
}

// SessionEnd describes the end of a session.
type SessionEnd struct {
	Peer     netip.AddrPort // Zero if the peer opened the session and its address is unknown.
	Incoming bool           // The peer opened it.
	Reason   EndReason
	Requests int           // Requests that were under way on it, which it cut.
	Age      time.Duration // Since it was opened.
}
