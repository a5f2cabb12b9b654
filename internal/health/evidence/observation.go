package evidence

import "time"

// Observation is one thing that an owner saw of a backend server: Answered,
// Failed or Probed. An answer by which the backend server sheds load, and a
// request that its caller gave up, are no observations.
type Observation interface {
	isObservation()
}

// Answered is a whole answer to a caller's request.
type Answered struct {
	ID      uint64 // Identifier given to Ledger.Start; zero if there was none.
	Route   string
	Latency time.Duration // From the first byte sent to the last byte received.
}

// Failed is a caller's request that came to nothing by the backend server's doing.
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
	Error               // The answer had an error status.
	Cut                 // The answer was cut short.
	Timeout             // No answer came within the route's timeout.
	Wrong               // The answer was whole, but its content was wrong.
)

// Probed is the end of a probe.
type Probed struct {
	ID      uint64
	Latency time.Duration
	OK      bool // A whole answer with status 2xx arrived.
	Wrong   bool // The answer was whole, but not the known one.
	Connect bool // The connection could not be opened.
}

func (Answered) isObservation() {}
func (Failed) isObservation()   {}
func (Probed) isObservation()   {}
