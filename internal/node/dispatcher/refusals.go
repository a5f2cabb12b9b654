package dispatcher

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/order"
)

// refusals is the cause of the failure of a request that no node accepted. It has one
// line for each offer.
type refusals struct {
	lines   []string
	serving bool // At least one node has a backend server in service.
}

// add appends the reply to an offer.
func (r *refusals) add(to netip.AddrPort, level order.Level, reply transport.OfferResult) {
	line := fmt.Sprintf("%s level %d: %s", to, level, failure.From(reply.Err).Kind)
	if l := reply.Load; l != nil {
		r.serving = r.serving || l.Serving
		line += fmt.Sprintf(", serving %t, %d+%d of %d slots, failing %.2f", l.Serving, l.Running, l.Waiting, l.Slots, l.FailureProbability)
		if l.LimitInterval > 0 {
			line += fmt.Sprintf(", next start by its limit in %s", l.LimitDelay.Round(time.Millisecond))
		}
	}
	r.lines = append(r.lines, line)
}

// Error implements the error interface.
func (r *refusals) Error() string {
	return strings.Join(r.lines, "; ")
}

// noBackendServerError reports that none of the nodes asked has a backend server of the
// service in service, or that no such node is known.
type noBackendServerError struct{ refusals *refusals }

// Error implements the error interface.
func (e *noBackendServerError) Error() string {
	if len(e.refusals.lines) == 0 {
		return "no backend server of the service is known"
	}
	return e.refusals.Error()
}
