package quorum

import "fmt"

// SequenceError reports that a head was refused because the node runs a later head,
// or a different head of the same sequence.
type SequenceError struct {
	Running uint64 // Sequence of the head that the node runs.
	Offered uint64 // Sequence of the head that was refused.
}

// Error implements the error interface.
func (e *SequenceError) Error() string {
	if e.Running == e.Offered {
		return fmt.Sprintf("head %d differs from the running head of the same sequence", e.Offered)
	}
	return fmt.Sprintf("head %d is older than the running head %d", e.Offered, e.Running)
}
