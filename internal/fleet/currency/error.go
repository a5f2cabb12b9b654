package currency

import "fmt"

// SequenceError says that a head was refused because the node runs a later one,
// or another head of the same number.
type SequenceError struct {
	Running uint64 // Sequence of the head that runs.
	Offered uint64 // Sequence of the head that was refused.
}

// Error returns the text for logs.
func (e *SequenceError) Error() string {
	if e.Running == e.Offered {
		return fmt.Sprintf("head %d differs from the head of the same number that runs", e.Offered)
	}
	return fmt.Sprintf("head %d is older than head %d, which runs", e.Offered, e.Running)
}
