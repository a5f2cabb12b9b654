// Package message holds the JSON messages of the administration API.
package message

import (
	"encoding/json"
	"fmt"
	"time"

	"filbertturn.example/filbertturn/internal/config/check"
	"filbertturn.example/filbertturn/internal/config/diff"
	"filbertturn.example/filbertturn/internal/config/document"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/node/owner"
)

// Paths of the API.
const (
	StatusPath    = "/status"
	MetricsPath   = "/metrics"
	ConfigPath    = "/config"
	CheckPath     = "/config/check"
	ReinstatePath = "/config/reinstate"
	AuditPath     = "/audit"
	EndedPath     = "/members/ended"
)

// Config is the configuration that a node runs.
type Config struct {
	Revision uint64
	Set      json.RawMessage // The set as a document.
}

// Publish asks to publish a set.
type Publish struct {
	Base      uint64          // Revision that the set was made from.
	PublishID string          // Chosen by the caller; a repeated request has the same.
	Set       json.RawMessage // The set as a document.
}

// Published tells the outcome of a publish.
type Published struct {
	Revision uint64
	Sequence uint64
	InForce  bool // Every node that is current runs the revision.
	Changes  []diff.Change
}

// Ended asserts that members have stopped for ever.
type Ended struct {
	Members []member.Member
}

// Status is a node's view.
type Status struct {
	Member         member.Member
	Current        bool
	CurrentBy      string `json:",omitempty"` // What makes the node current: store or attestations.
	Reason         string `json:",omitempty"` // Why the node is not current.
	Sequence       uint64
	Revision       uint64
	Epoch          uint64
	Accepted       uint64 // Highest sequence known to be accepted.
	InForce        uint64 // Highest sequence for which no current node runs an older one.
	Newest         uint64 // Highest sequence heard of.
	Roster         []member.Member
	Pending        []member.Member `json:",omitempty"` // Members that changes still wait for, in the roster or not.
	Live           int             // Members of the roster that were heard of lately.
	StoreError     string          `json:",omitempty"`
	StoreBehind    bool            `json:",omitempty"` // The store was restored to an older state; see config reinstate.
	StoreAt        time.Time       // Last good read of the store by this node; zero if there was none.
	BackendServers []owner.Status
	Owners         int // Owners whose summaries this node has.
}

// Error is the body of a refusal by the API. The fields that apply are set.
type Error struct {
	Code     Code
	Message  string
	Base     uint64             `json:",omitempty"`
	Current  uint64             `json:",omitempty"`
	Changes  []diff.Change      `json:",omitempty"` // What changed between Base and Current.
	Problems []check.Problem    `json:",omitempty"` // Objects that are wrong.
	Syntax   []document.Problem `json:",omitempty"` // Places in the document that cannot be read.
}

// Code is a kind of refusal.
type Code string

// The codes.
const (
	Malformed    Code = "Malformed"
	UnknownToken Code = "UnknownToken"
	Invalid      Code = "Invalid"     // The set has problems; nothing was published.
	Conflict     Code = "Conflict"    // Another revision was published first; nothing was published.
	Unpublished  Code = "Unpublished" // Nothing was published, for example because the store is away.
	Unknown      Code = "Unknown"     // The same request with the same PublishID finds the outcome out.
	Unavailable  Code = "Unavailable" // Nothing was done; it may work later.
)

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}
