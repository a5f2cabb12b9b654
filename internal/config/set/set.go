// Package set defines the configuration set: the named objects that operators
// publish together. The names of its fields are those of the operators' document
// and of stored data.
package set

import "time"

// Set is one complete configuration. Its objects refer to each other by name.
type Set struct {
	Routes    []Route    `json:",omitempty"`
	Customers []Customer `json:",omitempty"`
	Keys      []Key      `json:",omitempty"`
	Limits    []Limit    `json:",omitempty"`
	Pools     []Pool     `json:",omitempty"`
	Operators []Operator `json:",omitempty"`
	Clients   Clients    `json:",omitzero"`
}

// Clients are the limits of what clients may send. Zero values mean the defaults of the nodes.
type Clients struct {
	MaxHead       int64         `json:",omitempty"` // Bytes of the head of a request.
	MaxBody       int64         `json:",omitempty"` // Bytes of its body.
	HeaderTimeout time.Duration `json:",omitempty"` // Time in which the head has to arrive.
	IdleTimeout   time.Duration `json:",omitempty"` // Time for which a connection may be kept without a request.
}

// Route sends requests whose path starts with Prefix to a pool, or to several
// pools by weight. The longest matching prefix of the host wins.
type Route struct {
	Name       string
	Host       string        `json:",omitempty"` // Host served; empty means every host.
	Prefix     string        // Path prefix, matched on whole segments.
	Subtree    bool          `json:",omitempty"` // Serves only paths below Prefix, not Prefix itself.
	Methods    []string      `json:",omitempty"` // Methods served; empty means all.
	Pool       string        `json:",omitempty"` // Name of the pool; empty where Split names several.
	Split      []Share       `json:",omitempty"` // Pools among which requests are divided by weight.
	Upload     bool          `json:",omitempty"` // Request bodies are large; requests are never retried.
	Attempts   int           `json:",omitempty"` // Maximum number of backend servers that one request is sent to; zero means DefaultAttempts.
	Priority   int           `json:",omitempty"` // Priority of its requests; 0 is the highest.
	Target     time.Duration `json:",omitempty"` // Target response time; zero means a quarter of the timeout.
	Open       bool          `json:",omitempty"` // Serves requests without a key.
	Idempotent []string      `json:",omitempty"` // Methods whose requests may be retried; empty means GET, HEAD and OPTIONS.
	Repeat     string        `json:",omitempty"` // Retry policy: RepeatAlways, RepeatNever, or empty for the methods of Idempotent.
	Timeout    time.Duration `json:",omitempty"` // Timeout of the whole response; zero means DefaultTimeout.
}

// Values of Route.Repeat.
const (
	RepeatAlways = "Always" // Requests may be retried whatever their method.
	RepeatNever  = "Never"  // Requests are never retried whatever their method.
)

// Share is the share of a route's requests that a pool gets.
type Share struct {
	Pool   string  // Name of the pool.
	Weight float64 // Relative to the sum of the route's weights.
}

// Customer is the party on whose behalf the bearers of its keys send requests. Its
// limit is enforced across the whole fleet.
type Customer struct {
	Name     string
	Limit    string   // Name of the limit.
	Routes   []string `json:",omitempty"` // Names of the routes that it may use; empty means all.
	Priority int      `json:",omitempty"` // Priority of its requests; overrides that of the route unless zero.
}

// Key authenticates its bearer as a customer. Only the hash of its secret is stored.
type Key struct {
	Name     string
	Customer string // Name of the customer.
	Hash     string // SHA-256 of the secret, in lower-case hexadecimal.
}

// Limit is a rate limit, enforced as a token bucket.
type Limit struct {
	Name  string
	Rate  float64 // Requests per second.
	Burst int     // Capacity of the bucket in requests.
}

// Pool consists of the backend servers that announce one service.
type Pool struct {
	Name      string
	Service   string        // Name of the service that its backend servers announce.
	Floor     int           // Minimum percentage of the pool that ejections leave in service.
	Threshold float64       `json:",omitempty"` // Evidence required for an ejection; zero means the default of the health package.
	QueueWait time.Duration `json:",omitempty"` // Maximum wait for a free slot; zero means DefaultQueueWait.
	Probe     Probe         `json:",omitzero"`
	ColdRate  float64       `json:",omitempty"` // Requests per second that a backend server takes during its cold start; zero means no limit.
}

// Probe is the health check of a pool: a GET request with a known response, sent to
// each backend server.
type Probe struct {
	Path     string `json:",omitempty"` // Request path; empty means DefaultProbePath.
	Contains string `json:",omitempty"` // Text that a healthy response contains; empty means that any 2xx response is healthy.
}

// Operator is allowed to publish sets. Only the hash of its token is stored.
type Operator struct {
	Name string
	Hash string // SHA-256 of the token, in lower-case hexadecimal.
}

// Defaults of fields with the zero value.
const (
	DefaultTimeout   = 10 * time.Second
	DefaultQueueWait = 100 * time.Millisecond
	DefaultProbePath = "/health"
	DefaultAttempts  = 3
)
