// Package message defines the paths and JSON messages of the administration API.
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

// URL paths of the API.
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

// Publish is a request to publish a set.
type Publish struct {
	Base      uint64          // Revision that the set was made from.
	PublishID string          // Chosen by the client; a retry of the request has the same.
	Set       json.RawMessage // The set as a document.
}

// Published is the response to a change that was stored.
type Published struct {
	Revision uint64
	Sequence uint64
	InForce  bool // Every node that is current runs the revision.
	Changes  []diff.Change
}

// Ended is a request that asserts that members have stopped permanently.
type Ended struct {
	Members []member.Member
}

// Status is a node's view of the fleet, of the store and of the backend servers that
// it owns.
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
	Newest         uint64 // Highest sequence that the node has heard of.
	Roster         []member.Member
	Pending        []member.Member `json:",omitempty"` // Members that changes still wait for, in the current roster or not.
	Live           int             // Members of the roster that the node has heard of recently.
	StoreError     string          `json:",omitempty"`
	StoreBehind    bool            `json:",omitempty"` // The store was restored to an older state; see config reinstate.
	StoreAt        time.Time       // Last successful read of the store by this node; zero if there was none.
	BackendServers []owner.Status
	Owners         int // Owners whose summaries this node has.
}

// Error is the body of an error response. Base, Current and Changes are set for a
// Conflict, Problems for an invalid set, Syntax for a malformed document.
type Error struct {
	Code     Code
	Message  string
	Base     uint64             `json:",omitempty"`
	Current  uint64             `json:",omitempty"`
	Changes  []diff.Change      `json:",omitempty"` // What changed between Base and Current.
	Problems []check.Problem    `json:",omitempty"` // Configuration objects that are not valid.
	Syntax   []document.Problem `json:",omitempty"` // Places in the document that cannot be read.
}

// Code classifies an error response.
type Code string

// Codes of error responses.
const (
	Malformed    Code = "Malformed"
	UnknownToken Code = "UnknownToken"
	Invalid      Code = "Invalid"     // The set has problems; nothing was published.
	Conflict     Code = "Conflict"    // Another revision was published first; nothing was published.
	Unpublished  Code = "Unpublished" // Nothing was published, for example because the store is unavailable.
	Unknown      Code = "Unknown"     // The outcome is unknown; a retry with the same PublishID finds it.
	Unavailable  Code = "Unavailable" // Nothing was done; the request may succeed later.
)

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}
