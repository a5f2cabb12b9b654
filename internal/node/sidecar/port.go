package sidecar

import (
	"time"

	"filbertturn.example/filbertturn/internal/backend/tenure"
)

// BackendServer receives the heartbeats and the deregistration of the backend server beside
// the node.
type BackendServer interface {
	Announce(a tenure.Announcement)
	Deregister(instance string, born time.Time)
}
