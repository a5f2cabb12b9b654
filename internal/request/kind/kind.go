// Package kind defines the kinds of errors that a caller can receive, and the table that
// maps each of them to a response.
package kind

import "net/http"

// Kind is a kind of error. Its zero value is Internal, so that an error that was not
// classified never claims that a request was not run.
type Kind uint32

// The kinds. Their numbers are sent between nodes of different releases: new kinds are
// appended, and no number is reused.
const (
	Internal Kind = iota
	MalformedRequest
	UncleanPath
	MissingKey
	AmbiguousKey
	UnknownKey
	ForbiddenRoute
	UnknownRoute
	LimitReached
	LimitUnavailable
	NotCurrent
	NoConfiguration
	NoCapacity
	UnreachableBackendServer
	ShedByBackendServer
	DeadlineBeforeRun
	DeadlineDuringRun
	BrokenAnswer
	ForeignAnswer
	LostPeer
	UnreachablePeer
	WithdrawnKey
	CancelledByCaller
	BrokenRequestBody
	LapsedAuthority
	OtherIncarnation
	Overloaded
	CrashedBackendServer
	Suspected
	Quarantined
	QuarantinedDuringRun
	EndedProcess
	SupersededAttempt
	StoppingNode
	count
)

// Outcome says whether a request that got no complete response may have run.
type Outcome string

const (
	// NotRun means that no byte of the request reached a backend server, or
	// that the backend server said it did not run the request.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
)

// Response is the response that a caller receives for a kind.
type Response struct {
	Name      string
	Status    int
	Outcome   Outcome
	Retryable bool   // A retry can succeed; the response carries Retry-After.
	Title     string // One sentence for the problem document.
}

// Problem types.
const (
	blankType      = "about:blank"                         // Says no more than the status.
	quarantineType = "urn:filbertturn:problem:quarantined" // The request is held back for good.
)

var table = [count]Response{
	Internal:                 {"Internal", http.StatusInternalServerError, Unknown, false, "The node failed while it handled the request."},
	MalformedRequest:         {"MalformedRequest", http.StatusBadRequest, NotRun, false, "The request is malformed."},
	UncleanPath:              {"UncleanPath", http.StatusBadRequest, NotRun, false, "The path contains dot segments, empty segments or escaped separators."},
	MissingKey:               {"MissingKey", http.StatusUnauthorized, NotRun, false, "The route needs a key."},
	AmbiguousKey:             {"AmbiguousKey", http.StatusBadRequest, NotRun, false, "The request carries more than one key."},
	UnknownKey:               {"UnknownKey", http.StatusUnauthorized, NotRun, false, "The key is unknown or has been withdrawn."},
	ForbiddenRoute:           {"ForbiddenRoute", http.StatusForbidden, NotRun, false, "The customer may not use the route."},
	UnknownRoute:             {"UnknownRoute", http.StatusNotFound, NotRun, false, "No route matches the path and the method."},
	LimitReached:             {"LimitReached", http.StatusTooManyRequests, NotRun, true, "The customer's limit is reached."},
	LimitUnavailable:         {"LimitUnavailable", http.StatusServiceUnavailable, NotRun, true, "The homes of the customer's limit do not answer."},
	NotCurrent:               {"NotCurrent", http.StatusServiceUnavailable, NotRun, true, "The node cannot prove that its configuration is current."},
	NoConfiguration:          {"NoConfiguration", http.StatusServiceUnavailable, NotRun, true, "The node has no configuration."},
	NoCapacity:               {"NoCapacity", http.StatusServiceUnavailable, NotRun, true, "No backend server has a free slot."},
	UnreachableBackendServer: {"UnreachableBackendServer", http.StatusBadGateway, NotRun, true, "No connection to a backend server could be opened."},
	ShedByBackendServer:      {"ShedByBackendServer", http.StatusServiceUnavailable, NotRun, true, "The backend server shed the request without running it."},
	DeadlineBeforeRun:        {"DeadlineBeforeRun", http.StatusGatewayTimeout, NotRun, true, "The deadline passed before the request was sent to a backend server."},
	DeadlineDuringRun:        {"DeadlineDuringRun", http.StatusGatewayTimeout, Unknown, false, "The deadline passed while a backend server had the request."},
	BrokenAnswer:             {"BrokenAnswer", http.StatusBadGateway, Unknown, false, "The backend server's answer was malformed or cut short."},
	ForeignAnswer:            {"ForeignAnswer", http.StatusBadGateway, Unknown, false, "The backend server answered with the identifier of another request."},
	LostPeer:                 {"LostPeer", http.StatusBadGateway, Unknown, false, "The connection between two nodes broke while the request was under way."},
	UnreachablePeer:          {"UnreachablePeer", http.StatusBadGateway, NotRun, true, "The owner of the backend server could not be reached."},
	WithdrawnKey:             {"WithdrawnKey", http.StatusUnauthorized, Unknown, false, "The key was withdrawn while the request was under way."},
	CancelledByCaller:        {"CancelledByCaller", http.StatusRequestTimeout, Unknown, false, "The caller closed its connection."},
	BrokenRequestBody:        {"BrokenRequestBody", http.StatusBadRequest, Unknown, false, "The body of the request ended early."},
	OtherIncarnation:         {"OtherIncarnation", http.StatusServiceUnavailable, NotRun, true, "Another incarnation has the backend server's address."},
	Overloaded:               {"Overloaded", http.StatusServiceUnavailable, NotRun, true, "A service that the request depends on has no room."},
	CrashedBackendServer:     {"CrashedBackendServer", http.StatusBadGateway, Unknown, false, "The backend server crashed while it ran the request."},
	Suspected:                {"Suspected", http.StatusServiceUnavailable, NotRun, true, "A backend server crashed while it ran the same request, which may run again only alone."},
	Quarantined:              {"Quarantined", http.StatusServiceUnavailable, NotRun, false, "The same request has crashed several backend servers."},
	QuarantinedDuringRun:     {"QuarantinedDuringRun", http.StatusBadGateway, Unknown, false, "The request was stopped, because the same request has crashed several backend servers."},
	EndedProcess:             {"EndedProcess", http.StatusBadGateway, Unknown, false, "The process of a node ended while the request was under way."},
	SupersededAttempt:        {"SupersededAttempt", http.StatusBadGateway, Unknown, false, "Another attempt at the request answered first."},
	StoppingNode:             {"StoppingNode", http.StatusServiceUnavailable, NotRun, true, "The node stops before a backend server would answer."},
	LapsedAuthority:          {"LapsedAuthority", http.StatusServiceUnavailable, Unknown, false, "The node ceased to be current while the request was under way."},
}

// Type returns the problem type of k as in RFC 9457.
func (k Kind) Type() string {
	switch k {
	case Quarantined, QuarantinedDuringRun:
		return quarantineType
	default:
		return blankType
	}
}

// Response returns the response for k. Kinds that this release does not know map to
// Internal.
func (k Kind) Response() Response {
	if k >= count {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's name as problem documents contain it.
func (k Kind) String() string {
	return k.Response().Name
}

// NotRun reports whether a request that failed with k certainly did not run.
func (k Kind) NotRun() bool {
	return k.Response().Outcome == NotRun
}

// All returns every kind in the order of its number.
func All() []Kind {
	kinds := make([]Kind, 0, count)
	for k := range count {
		kinds = append(kinds, k)
	}
	return kinds
}
