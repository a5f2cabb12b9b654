package report

import "fmt"

// Error is returned for a message with an invalid field.
type Error struct {
	Field   string
	Index   int // Position in a repeated field, or -1.
	Problem string
}

// Error returns the field, its position and the problem.
func (e *Error) Error() string {
	if e.Index < 0 {
		return fmt.Sprintf("health message: %s: %s", e.Field, e.Problem)
	}
	return fmt.Sprintf("health message: %s[%d]: %s", e.Field, e.Index, e.Problem)
}
