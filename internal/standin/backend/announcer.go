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

// Announcement is the message by which a backend server makes itself known.
type Announcement struct {
	BackendServer netip.AddrPort
	Service       string
	DataCentre    string
	Slots         int
	State         string // Starting, Ready or Draining.
	Incarnation   uint64 // Start time in nanoseconds since 1970.
	Sequence      uint64 // Grows with every announcement of the incarnation.
}

// StatusError reports a node that answered with another status than 2xx.
type StatusError struct {
	Address netip.AddrPort
	Status  int
}

// Error returns the address and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend: announcement to %s: status %d", e.Address, e.Status)
}

// announce sends the announcement each period and whenever the state changes.
// It stays with the node that accepted it last.
func (b *Server) announce(ctx context.Context) {
	if len(b.settings.Announce) == 0 {
		return
	}
	if d := b.settings.StartDelay; d > 0 {
		time.AfterFunc(d, b.notify)
	}
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	node, sequence := 0, uint64(0)
	for {
		if b.current().Mode != fault.FreezeAnnounce {
			sequence++
			node = b.deliver(ctx, node, sequence)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-b.changed:
		}
	}
}

// deliver tries each node once, beginning with first, and returns the one that
// accepted the announcement.
func (b *Server) deliver(ctx context.Context, first int, sequence uint64) int {
	nodes := b.settings.Announce
	for i := range nodes {
		n := (first + i) % len(nodes)
		if b.post(ctx, nodes[n], sequence) == nil {
			return n
		}
	}
	return (first + 1) % len(nodes)
}

func (b *Server) post(ctx context.Context, to netip.AddrPort, sequence uint64) error {
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

// notify makes the announcer send at once.
func (b *Server) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}
