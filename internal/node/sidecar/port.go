package sidecar

import (
	"time"

	"filbertturn.example/filbertturn/internal/backend/tenure"
)

// BackendServer takes in what the backend server beside the node says of itself.
type BackendServer interface {
	Announce(now time.Time, a tenure.Announcement)
	Deregister(now time.Time, instance string, born time.Time)
}
