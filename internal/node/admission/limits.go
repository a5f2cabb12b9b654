// Package admission bounds the memory and the descriptors that connections to a node take, and what clients may
// send on them. The decisions are those of internal/limit/budget.
package admission

import (
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/limit/budget"
)

// The smallest VM of the platform, for settings that do not name their VM.
const (
	SmallestMemory      = 184 << 20
	SmallestDescriptors = 4100
)

// What connections and requests take, in bytes.
const (
	connBytes    = 12<<10 + bufferFactor*narrowBuffer // Goroutine and buffers of a connection without a request.
	sessionBytes = 32<<10 + bufferFactor*narrowBuffer // Those of a session of another node.
	requestBytes = 32 << 10                           // Goroutines and buffers of a request that is handled.
	lineBytes    = 256                                // A line of a head, with the copy that is sent to an owner.
	headFactor   = 4                                  // Copies of the bytes of a head.
	bodyFactor   = 3                                  // Copies of a body that is kept to be sent again, and room in which it grows.
	keptBody     = 64 << 10                           // Bytes of a body that are kept at most.

	shortResponse = 8 << 10   // Longest response that requestBytes includes.
	keptResponse  = 64 << 10  // Bytes of a response that are kept outside of a stream at most while its client does not read.
	streamWindow  = 256 << 10 // Bytes of a response that another node may send before any are read.
)

// Limits of what clients may send where the configuration names none.
const (
	defaultHead          = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 5 * time.Minute // Callers close idle connections sooner.

	// headSlack is what a head may be longer than its limit, as in net/http.
	headSlack = 4 << 10

	// maxHead bounds the limit of heads that the configuration may name.
	maxHead = 1 << 20
)

const (
	// fixedBytes is the memory that a node takes without connections.
	fixedBytes = 32 << 20

	// unreadBodyTimeout is the time for which the rest of a body is awaited that was not read, before its
	// response is sent on a connection that then ends.
	unreadBodyTimeout = time.Second

	// duplexTimeout is the time for which a client may go on sending the body of a request whose response has begun.
	duplexTimeout = time.Minute

	// writeTimeout is the time for which a client may read nothing of a response that does not fit into the buffers of
	// the connection.
	writeTimeout = 30 * time.Second

	// See budget.Limits.
	grace     = 500 * time.Millisecond
	idleGrace = 5 * time.Second
	share     = 128 << 10
	stall     = time.Second
)

// MemoryLimit returns the limit for the Go runtime on a VM with the given memory, or the smallest one's if that is zero.
// The program itself and the stacks of the kernel take the rest.
func MemoryLimit(memory int64) int64 {
	return orDefault(memory, SmallestMemory) / 10 * 7
}

// NewLimits returns the limits of the budget on a VM, or the smallest one's for zeros. Half of the memory that a node
// does not need for itself is for connections, since the collector needs room, and three quarters of the
// descriptors, since the node opens connections too.
func NewLimits(memory, descriptors int64) budget.Limits {
	memory, descriptors = orDefault(memory, SmallestMemory), orDefault(descriptors, SmallestDescriptors)
	total := budget.Amount{Files: descriptors - max(descriptors/4, 32), Bytes: max(memory-fixedBytes, memory/4) / 2}
	l := budget.Limits{Total: total, Grace: grace, IdleGrace: idleGrace, StallGrace: stall, Share: share}
	for p, fraction := range map[budget.Part]int64{
		budget.Callers: 4, budget.Beside: 8, budget.Nodes: 4, budget.Readiness: 32, budget.Heartbeats: 32, budget.Operator: 32,
	} {
		l.Reserved[p] = budget.Amount{Files: total.Files / fraction, Bytes: total.Bytes / fraction}
	}
	return l
}

func orDefault(n, otherwise int64) int64 {
	if n <= 0 {
		return otherwise
	}
	return n
}

// complete returns limits with the defaults for those that are not named.
func complete(c set.Clients) set.Clients {
	c.MaxHead = min(orDefault(c.MaxHead, defaultHead), maxHead) + headSlack
	c.HeaderTimeout = time.Duration(orDefault(int64(c.HeaderTimeout), int64(defaultHeaderTimeout)))
	c.IdleTimeout = time.Duration(orDefault(int64(c.IdleTimeout), int64(defaultIdleTimeout)))
	return c
}
