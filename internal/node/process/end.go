package process

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// endTimeout is the time in which callers and other nodes are told that the runs end which
// are under way when the process ends.
const endTimeout = 200 * time.Millisecond

// endRuns ends the requests that are under way here, as entry and as owner, because the process
// ends, and waits until those have been told that wait for them.
func (p *Process) endRuns() {
	ended := failure.New(kind.EndedProcess, "", nil)
	p.endRequests(ended)
	p.owner.EndRuns(ended)
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	// An error means that callers have not read their responses in time.
	_ = p.servers[len(p.servers)-1].Shutdown(ctx)
	p.forwarder.Transport.AwaitNotices(ctx)
	p.mesh.AwaitDelivery(ctx)
}

// logSessionEnd counts the ends of sessions with other nodes, and logs those that cut requests of this
// node. Of other nodes' requests that are cut there is a line each.
func (p *Process) logSessionEnd(e link.SessionEnd) {
	p.metrics.IncrementCounter(fmt.Sprintf("peer_session_ends_total{reason=%q,incoming=%q}", e.Reason, strconv.FormatBool(e.Incoming)))
	if e.Requests > 0 && !e.Incoming {
		p.log.Info().Stringer("Peer", e.Peer).Stringer("Reason", e.Reason).Int("Requests", e.Requests).
			Dur("Age", e.Age).Msg("session to a node ended with requests under way")
	}
}
