package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/standin/fault"
)

// Announcement is the heartbeat that a backend server sends to a node.
type Announcement struct {
	BackendServer netip.AddrPort
	Service       string
	DataCentre    string
	Slots         int
	State         string // Starting, Ready or Draining.
	Incarnation   uint64 // Start time in nanoseconds since 1970.
	Sequence      uint64 // Increases with every heartbeat of the incarnation.
}

// StatusError reports that a node rejected a heartbeat with a status other than 2xx.
type StatusError struct {
	Address netip.AddrPort
	Status  int
}

// Error returns the address of the node and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend: send heartbeat to %s: status %d", e.Address, e.Status)
}

// announce sends a heartbeat each announcePeriod and whenever the state changes,
// until ctx ends. It keeps sending to the node that last accepted one.
func (b *Server) announce(ctx context.Context) {
	if len(b.settings.Announce) == 0 {
		return
	}
	if d := b.settings.StartDelay; d > 0 {
		time.AfterFunc(d, b.announceNow)
	}
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	node, sequence := 0, uint64(0)
	for {
		if b.currentFault().Mode != fault.FreezeAnnounce {
			sequence++
			node = b.announceToAny(ctx, node, sequence)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-b.stateChanged:
		}
	}
}

// announceToAny tries each node once, beginning with the index first, and returns the
// index of the node that accepted the heartbeat. If none did, it returns the index
// after first.
func (b *Server) announceToAny(ctx context.Context, first int, sequence uint64) int {
	nodes := b.settings.Announce
	for i := range nodes {
		n := (first + i) % len(nodes)
		if b.sendAnnouncement(ctx, nodes[n], sequence) == nil {
			return n
		}
	}
	return (first + 1) % len(nodes)
}

// sendAnnouncement sends one heartbeat to a node.
func (b *Server) sendAnnouncement(ctx context.Context, to netip.AddrPort, sequence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(Announcement{
		BackendServer: b.Address(),
		Service:       b.settings.Service,
		DataCentre:    b.settings.DataCentre,
		Slots:         b.settings.Slots,
		State:         b.State(),
		Incarnation:   uint64(b.started.UnixNano()),
		Sequence:      sequence,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return &StatusError{to, resp.StatusCode}
	}
	return nil
}

// announceNow triggers a heartbeat without waiting for the period.
func (b *Server) announceNow() {
	select {
	case b.stateChanged <- struct{}{}:
	default:
	}
}
