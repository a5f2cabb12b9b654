// Package callchain correlates the calls that a backend server sends to other services:
// it tells which calls were made one after the other for the same parent request. A call
// does not name its parent request, but a request that makes its calls one after the
// other sends the next one as soon as it has the response to the last.
package callchain

import (
	"slices"
	"time"
)

// maxGap is the longest time between a response and the call that follows it. It is
// short because both only cross the loopback interface of the VM.
const maxGap = 5 * time.Millisecond

// response is the response to a call that no other call has followed yet.
type response struct {
	at    time.Time
	steps int // Calls answered for the parent request, this one included.
}

// Tracker tracks the calls of one backend server. Its zero value has seen none. It is
// not safe for concurrent use.
type Tracker struct {
	responses []response // In the order of arrival, kept for maxGap.
}

// CallStarted records the start of a call. It returns an estimate of the number of calls
// already answered for the same parent request. The call is taken to follow the newest
// response, if that is recent enough.
func (t *Tracker) CallStarted(now time.Time) int {
	t.dropExpired(now)
	if len(t.responses) == 0 {
		return 0
	}
	last := len(t.responses) - 1
	steps := t.responses[last].steps
	t.responses = slices.Delete(t.responses, last, last+1)
	return steps
}

// CallAnswered records the response to a call for which CallStarted returned steps. Failed calls
// need not be recorded, since a request whose call fails makes no other.
func (t *Tracker) CallAnswered(now time.Time, steps int) {
	t.dropExpired(now)
	t.responses = append(t.responses, response{at: now, steps: steps + 1})
}

// dropExpired drops the responses that are too old to be followed by a call.
func (t *Tracker) dropExpired(now time.Time) {
	t.responses = slices.DeleteFunc(t.responses, func(a response) bool { return now.Sub(a.at) > maxGap })
}
