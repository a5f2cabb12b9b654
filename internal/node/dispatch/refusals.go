package dispatch

import (
	"fmt"
	"net/netip"
	"strings"

	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/order"
)

// refusals is the cause of a request that no node took: what each of them said.
type refusals struct {
	lines   []string
	serving bool // One of them has a backend server in service.
}

// add notes the end of an offer.
func (r *refusals) add(to netip.AddrPort, level order.Level, reply courier.Reply) {
	line := fmt.Sprintf("%s level %d: %s", to, level, failure.From(reply.Err).Kind)
	if l := reply.Load; l != nil {
		r.serving = r.serving || l.Serving
		line += fmt.Sprintf(", serving %t, %d+%d of %d slots, failing %.2f", l.Serving, l.Running, l.Waiting, l.Slots, l.FailureProbability)
	}
	r.lines = append(r.lines, line)
}

// Error implements the error interface.
func (r *refusals) Error() string {
	return strings.Join(r.lines, "; ")
}

// absentError says that no node that was asked has a backend server of the service in
// service, or that none is known.
type absentError struct{ told *refusals }

// Error implements the error interface.
func (e *absentError) Error() string {
	if len(e.told.lines) == 0 {
		return "no backend server of the service is known"
	}
	return e.told.Error()
}
