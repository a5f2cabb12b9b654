package sidecar

import (
	"time"

	"filbertturn.example/filbertturn/internal/backend/incarnation"
)

// BackendServer takes in what the backend server beside the node says of itself.
type BackendServer interface {
	Heartbeat(a incarnation.Announcement)
	Deregister(instance string, born time.Time)
}
