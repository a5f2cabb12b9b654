// Package set holds the named objects that operators publish together.
package set

import "time"

// Set is one complete configuration. Objects refer to one another by name.
type Set struct {
	Routes    []Route    `json:",omitempty"`
	Customers []Customer `json:",omitempty"`
	Keys      []Key      `json:",omitempty"`
	Limits    []Limit    `json:",omitempty"`
	Pools     []Pool     `json:",omitempty"`
	Operators []Operator `json:",omitempty"`
}

// Route sends requests whose path starts with Prefix to a pool, or to several
// pools by weight. The longest matching prefix of the host wins.
type Route struct {
	Name       string
	Host       string        `json:",omitempty"` // Host served; empty means every host.
	Prefix     string        // Path prefix, matched on whole segments.
	Subtree    bool          `json:",omitempty"` // Serves only what lies below Prefix, not Prefix itself.
	Methods    []string      `json:",omitempty"` // Methods served; empty means all.
	Pool       string        `json:",omitempty"` // Name of the pool; empty where Split names several.
	Split      []Share       `json:",omitempty"` // Pools that share the requests.
	Upload     bool          `json:",omitempty"` // Bodies are large; never sent again.
	Attempts   int           `json:",omitempty"` // Most backend servers that one request is sent to; zero means DefaultAttempts.
	Priority   int           `json:",omitempty"` // Rank; 0 goes first.
	Target     time.Duration `json:",omitempty"` // Time within which an answer is worth most; zero means a quarter of the timeout.
	Open       bool          `json:",omitempty"` // Served without a key.
	Idempotent []string      `json:",omitempty"` // Methods that may be sent again; empty means GET, HEAD and OPTIONS.
	Repeat     string        `json:",omitempty"` // RepeatAlways or RepeatNever; empty means by Idempotent.
	Timeout    time.Duration `json:",omitempty"` // Longest time for a whole answer; zero means DefaultTimeout.
}

// Values of a route's Repeat.
const (
	RepeatAlways = "Always" // Requests may be sent again whatever their method.
	RepeatNever  = "Never"  // Requests run at most once whatever their method.
)

// Share is the part of a route's requests that a pool gets.
type Share struct {
	Pool   string  // Name of the pool.
	Weight float64 // Relative to the sum of the route's weights.
}

// Customer is whom a key acts for. Its limit counts across the whole fleet.
type Customer struct {
	Name     string
	Limit    string   // Name of the limit.
	Routes   []string `json:",omitempty"` // Names of the routes it may use; empty means all.
	Priority int      `json:",omitempty"` // Rank of its requests; goes before the route's unless zero.
}

// Key lets its bearer act as a customer. Only the hash of its secret is kept.
type Key struct {
	Name     string
	Customer string // Name of the customer.
	Hash     string // SHA-256 of the secret, in lower-case hexadecimal.
}

// Limit is a token bucket.
type Limit struct {
	Name  string
	Rate  float64 // Requests per second.
	Burst int     // Requests at once.
}

// Pool is the set of backend servers that announce one service.
type Pool struct {
	Name      string
	Service   string        // Service that backend servers announce.
	Floor     int           // Percentage of the pool that ejections leave in service.
	Threshold float64       `json:",omitempty"` // Evidence needed for an ejection; zero means the default of the health package.
	QueueWait time.Duration `json:",omitempty"` // Longest wait for a free slot; zero means DefaultQueueWait.
	Probe     Probe         `json:",omitzero"`
}

// Probe is a request whose answer is known, sent to each backend server.
type Probe struct {
	Path     string `json:",omitempty"` // Path to get; empty means DefaultProbePath.
	Contains string `json:",omitempty"` // Text that a right answer contains; empty means that any 2xx answer is right.
}

// Operator may publish sets. Only the hash of its token is kept.
type Operator struct {
	Name string
	Hash string // SHA-256 of the token, in lower-case hexadecimal.
}

// Defaults of fields that are zero.
const (
	DefaultTimeout   = 10 * time.Second
	DefaultQueueWait = 100 * time.Millisecond
	DefaultProbePath = "/health"
	DefaultAttempts  = 3
)
