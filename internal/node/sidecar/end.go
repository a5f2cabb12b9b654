package sidecar

import (
	"context"
	"time"

	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// endTimeout is the time in which callers and other nodes are told that the runs end which
// are under way when the process ends.
const endTimeout = 200 * time.Millisecond

// unfinishedNotice is how long before the end of the grace period a stopping node says what it
// still waits for.
const unfinishedNotice = 100 * time.Millisecond

// logUnfinished says what is lost if the process is killed now, as it may be at the end of the
// grace period.
func (c *Sidecar) logUnfinished() {
	callers, runs, unread := c.dispatcher.UnderWay(), c.executor.InFlight(), c.mesh.Undelivered()
	if callers+runs+unread == 0 {
		return
	}
	c.log.Warn().Int("RequestsOfCallers", callers).Int("RequestsAtBackendServer", runs).Int("ResponsesToPeers", unread).
		Msg("requests are under way at the end of the grace period")
}

// endRuns ends the requests that are under way here, as entry and as owner, because the process
// ends, and waits until those have been told that wait for them.
func (c *Sidecar) endRuns() {
	ended := failure.New(kind.EndedProcess, "", nil)
	c.endRequests(ended)
	c.executor.EndRuns(ended)
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	// An error means that callers have not read their responses in time.
	_ = c.servers[0].Shutdown(ctx)
	c.dispatcher.Transport.AwaitNotices(ctx)
	c.mesh.AwaitDelivery(ctx)
}
