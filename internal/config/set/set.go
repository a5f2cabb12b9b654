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

// Route sends requests whose path starts with Prefix to a pool. The longest
// matching prefix wins.
type Route struct {
	Name       string
	Prefix     string        // Path prefix, matched on whole segments.
	Methods    []string      `json:",omitempty"` // Methods served; empty means all.
	Pool       string        // Name of the pool.
	Open       bool          `json:",omitempty"` // Served without a key.
	Idempotent []string      `json:",omitempty"` // Methods that may be sent again; empty means GET, HEAD and OPTIONS.
	Timeout    time.Duration `json:",omitempty"` // Longest time for a whole answer; zero means DefaultTimeout.
}

// Customer is whom a key acts for. Its limit counts across the whole fleet.
type Customer struct {
	Name   string
	Limit  string   // Name of the limit.
	Routes []string `json:",omitempty"` // Names of the routes it may use; empty means all.
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
)
