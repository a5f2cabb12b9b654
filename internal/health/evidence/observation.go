package evidence

import "time"

// Observation is one observation of a backend server: Answered, Failed or Probed. A
// response by which the backend server sheds load, and a request that its caller
// cancelled, are not observations.
type Observation interface {
	isObservation()
}

// Answered is a complete response to a caller's request.
type Answered struct {
	ID      uint64 // Identifier given to Ledger.Start; zero if there was none.
	Route   string
	Latency time.Duration // From the first byte sent to the last byte received.
}

// Failed is a caller's request that failed because of the backend server.
type Failed struct {
	ID    uint64
	Route string
	Kind  Kind
}

// Kind is a kind of failure.
type Kind uint8

// Kinds of failures.
const (
	Connect Kind = iota // The connection could not be opened.
	Error               // The response had an error status.
	Cut                 // The response was truncated.
	Timeout             // No response came within the timeout of the route.
	Wrong               // The response was complete, but its content was wrong.
)

// Probed is the end of a probe.
type Probed struct {
	ID      uint64
	Latency time.Duration
	OK      bool // A complete response with status 2xx arrived.
	Wrong   bool // The response was complete, but not the expected one.
	Connect bool // The connection could not be opened.
}

func (Answered) isObservation() {}
func (Failed) isObservation()   {}
func (Probed) isObservation()   {}
