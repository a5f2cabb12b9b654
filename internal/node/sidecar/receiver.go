package sidecar

import (
	"time"

	"filbertturn.example/filbertturn/internal/backend/incarnation"
)

// HeartbeatReceiver receives the heartbeats and the deregistration of the backend server
// beside the node.
type HeartbeatReceiver interface {
	Heartbeat(a incarnation.Announcement)
	Deregister(instance string, born time.Time)
}
