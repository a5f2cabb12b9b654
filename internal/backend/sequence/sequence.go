// Package sequence tells which calls of a backend server continue earlier ones. A
// call names no request that it is made for, but a request that makes its calls one
// after the other makes the next as soon as it has the answer.
package sequence

import (
	"slices"
	"time"
)

// pause is the longest time between an answer and the call that follows it: both only
// cross the loopback of the VM.
const pause = 5 * time.Millisecond

// answer is that of a call which no other has continued yet.
type answer struct {
	at    time.Time
	steps int // Calls answered in this sequence.
}

// Sequence follows the calls of one backend server. Its zero value has seen none.
// It is not safe for use by several goroutines at once.
type Sequence struct {
	answers []answer // In the order in which they came, for up to pause.
}

// Begin notes a call, and returns how many calls of the same request were answered
// before it, as far as can be told.
func (s *Sequence) Begin(now time.Time) int {
	s.forget(now)
	if len(s.answers) == 0 {
		return 0
	}
	last := len(s.answers) - 1
	steps := s.answers[last].steps
	s.answers = slices.Delete(s.answers, last, last+1)
	return steps
}

// Answered notes that a call was answered which Begin returned steps for. A request
// whose call fails makes no other.
func (s *Sequence) Answered(now time.Time, steps int) {
	s.forget(now)
	s.answers = append(s.answers, answer{at: now, steps: steps + 1})
}

// forget drops the answers that are too old to be continued.
func (s *Sequence) forget(now time.Time) {
	s.answers = slices.DeleteFunc(s.answers, func(a answer) bool { return now.Sub(a.at) > pause })
}
