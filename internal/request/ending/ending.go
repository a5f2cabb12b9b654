// Package ending is the list of all that may end a run that is under way without a complete
// answer. A deadline, the caller, the backend server and the end of a process are expected to;
// every other way out is a reason of its own.
package ending

import (
	"fmt"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/request/kind"
)

// Reason is why a run ended. Its zero value is Fault.
type Reason uint8

// The reasons.
const (
	Fault            Reason = iota // A fault of a node that nobody has classified.
	Deadline                       // The deadline of the request, or the time of its route, passed.
	Caller                         // The caller left.
	BackendServer                  // The backend server did not answer, or refused.
	ProcessEnd                     // The process of a node ended, and told so.
	SessionLost                    // The stream between entry and owner ended without a word.
	Superseded                     // Another attempt at the request answered.
	Quarantined                    // The same request has crashed several backend servers.
	OtherIncarnation               // Another incarnation has the backend server's address.
	BrokenBody                     // The body of the request ended early.
	Revoked                        // The key was withdrawn, or the node ceased to be current.
	reasonCount
)

var reasonNames = [reasonCount]string{
	"Fault", "Deadline", "Caller", "BackendServer", "ProcessEnd", "SessionLost", "Superseded", "Quarantined", "OtherIncarnation", "BrokenBody", "Revoked",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return fmt.Sprintf("Reason(%d)", uint8(r))
	}
	return reasonNames[r]
}

// Expected reports whether r is one of the reasons for which runs are meant to end.
func (r Reason) Expected() bool {
	switch r {
	case Deadline, Caller, BackendServer, ProcessEnd:
		return true
	default:
		return false
	}
}

// Reasons returns all reasons.
func Reasons() []Reason {
	list := make([]Reason, 0, reasonCount)
	for r := range reasonCount {
		list = append(list, r)
	}
	return list
}

// reasons has all kinds of failures with which a run that is under way may end. The others
// refuse a request before it runs.
var reasons = map[kind.Kind]Reason{
	kind.Internal:                 Fault,
	kind.DeadlineBeforeRun:        Deadline,
	kind.DeadlineDuringRun:        Deadline,
	kind.CancelledByCaller:        Caller,
	kind.BrokenAnswer:             BackendServer,
	kind.ForeignAnswer:            BackendServer,
	kind.CrashedBackendServer:     BackendServer,
	kind.ShedByBackendServer:      BackendServer,
	kind.UnreachableBackendServer: BackendServer,
	kind.EndedProcess:             ProcessEnd,
	kind.LostPeer:                 SessionLost,
	kind.SupersededAttempt:        Superseded,
	kind.QuarantinedDuringRun:     Quarantined,
	kind.OtherIncarnation:         OtherIncarnation,
	kind.BrokenRequestBody:        BrokenBody,
	kind.WithdrawnKey:             Revoked,
	kind.LapsedAuthority:          Revoked,
}

// Of returns the reason of a run that failed with k, or false if k refuses a request before
// it runs.
func Of(k kind.Kind) (Reason, bool) {
	r, ok := reasons[k]
	// A release that is newer may name a kind that is unknown here.
	return r, ok || !k.NotRun()
}

// Party is one of those that can give up a run. Its zero value means that it is not known.
type Party uint8

// The parties.
const (
	PartyUnknown Party = iota
	PartyEntry
	PartyOwner
	PartyBackendServer
	PartySession // The session between entry and owner; who closed it is in the lines about sessions.
	partyCount
)

var partyNames = [partyCount]string{"unknown", "entry", "owner", "backend server", "session"}

// String returns the name of the party in logs and metrics.
func (p Party) String() string {
	if p >= partyCount {
		return fmt.Sprintf("Party(%d)", uint8(p))
	}
	return partyNames[p]
}

// FirstParty returns who gave up first a run that ended for r, if nothing else is known. at
// is the node that says so.
func (r Reason) FirstParty(at Party) Party {
	switch r {
	case BackendServer, OtherIncarnation:
		return PartyBackendServer
	case SessionLost:
		return PartySession
	case Caller, Superseded, BrokenBody:
		return PartyEntry
	default:
		return at
	}
}

// Ending is how a run ended, as one of its nodes sees it. It adds its fields to log lines.
type Ending struct {
	At     Party // PartyEntry or PartyOwner.
	By     Party // Who gave the run up first.
	Reason Reason
}

// Counter returns the name of the counter of such endings.
func (e Ending) Counter() string {
	return fmt.Sprintf("runs_ended_early_total{at=%q,by=%q,reason=%q}", e.At, e.By, e.Reason)
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (e Ending) MarshalZerologObject(line *zerolog.Event) {
	line.Stringer("Reason", e.Reason).Stringer("By", e.By).Bool("Expected", e.Reason.Expected())
}
