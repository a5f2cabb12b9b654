// Package check validates a configuration set.
package check

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode/utf8"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Bounds of a valid set.
const (
	MaxNameSize   = 63  // Maximum length of a name in bytes.
	MaxPrefixSize = 256 // Maximum length of a route's prefix in bytes.
	MaxTextSize   = 256 // Maximum length of a probe's path and text in bytes.
	MaxMethods    = 16  // Maximum number of methods in one list.
	MaxReferences = 256 // Maximum number of names in one list.
	MaxTimeout    = time.Hour
	MaxQueueWait  = time.Minute
	MaxRate       = 1e9 // Requests per second.
	MaxBurst      = 1_000_000_000
	MaxWeight     = 1e9
	MaxAttempts   = 100
	MaxPriority   = 1_000

	MaxRoutes    = 10_000
	MaxCustomers = 100_000
	MaxKeys      = 100_000
	MaxLimits    = 10_000
	MaxPools     = 2_000
	MaxOperators = 2_000
)

// Problem is one validation error.
type Problem struct {
	Kind       string // Kind of the object, such as Route.
	Name       string // Name of the object.
	Field      string // Invalid field.
	Message    string
	Suggestion string `json:",omitempty"` // Likely intended value.
}

// String returns one line, such as: Route orders: Pool: no Pool is named "bil";
// did you mean "bill"?
func (p Problem) String() string {
	line := fmt.Sprintf("%s %s: %s: %s", p.Kind, display(p.Name), p.Field, p.Message)
	if p.Suggestion != "" {
		line += fmt.Sprintf("; did you mean %q?", p.Suggestion)
	}
	return line
}

// Check returns all problems of the set in the order of its objects. The set is
// valid if there are none.
func Check(s set.Set) []Problem {
	c := &checker{hashes: map[string]string{}}
	routes := checkNames(c, "Route", s.Routes, MaxRoutes, func(o set.Route) string { return o.Name })
	customers := checkNames(c, "Customer", s.Customers, MaxCustomers, func(o set.Customer) string { return o.Name })
	checkNames(c, "Key", s.Keys, MaxKeys, func(o set.Key) string { return o.Name })
	limits := checkNames(c, "Limit", s.Limits, MaxLimits, func(o set.Limit) string { return o.Name })
	pools := checkNames(c, "Pool", s.Pools, MaxPools, func(o set.Pool) string { return o.Name })
	checkNames(c, "Operator", s.Operators, MaxOperators, func(o set.Operator) string { return o.Name })

	c.routes(s.Routes, pools)
	for _, o := range s.Customers {
		c.setObject("Customer", o.Name)
		c.reference("Limit", o.Limit, limits)
		c.bound("Routes", len(o.Routes), MaxReferences)
		for _, r := range o.Routes {
			c.reference("Routes", r, routes)
		}
	}
	for _, o := range s.Keys {
		c.setObject("Key", o.Name)
		c.reference("Customer", o.Customer, customers)
		c.hash(o.Hash)
	}
	for _, o := range s.Limits {
		c.setObject("Limit", o.Name)
		c.limit(o)
	}
	for _, o := range s.Pools {
		c.setObject("Pool", o.Name)
		c.pool(o)
	}
	for _, o := range s.Operators {
		c.setObject("Operator", o.Name)
		c.hash(o.Hash)
	}
	return c.problems
}

// checker collects the problems of a set. setObject sets the object to which add
// assigns problems.
type checker struct {
	problems    []Problem
	kind, name  string
	hashes      map[string]string // Kind and name of the object by hash, to find duplicates.
	suggestions int
}

func (c *checker) setObject(kind, name string) { c.kind, c.name = kind, name }

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Kind: c.kind, Name: c.name, Field: field, Message: fmt.Sprintf(format, args...)})
}

// bound adds a problem if a list has more than most entries.
func (c *checker) bound(field string, got, most int) {
	if got > most {
		c.add(field, "has %d entries, at most %d", got, most)
	}
}

// checkNames checks the number of objects of one kind and their names, and returns
// the set of names.
func checkNames[T any](c *checker, kind string, objects []T, most int, name func(T) string) map[string]bool {
	seen := make(map[string]bool, len(objects))
	if len(objects) > most {
		c.setObject(kind, "")
		c.add("Name", "set has %d objects of the kind, at most %d", len(objects), most)
	}
	for i, o := range objects {
		n := name(o)
		c.setObject(kind, n)
		switch {
		case n == "":
			c.add("Name", "is empty at object %d of the kind", i+1)
		case !isSafeName(n):
			c.add("Name", "is not made of at most %d letters, digits, dots, dashes and underscores, the first a letter or digit", MaxNameSize)
		case seen[n]:
			c.add("Name", "is the name of another object of the kind")
		}
		seen[n] = true
	}
	return seen
}

// reference checks that a field names a known object, and suggests a similar name
// otherwise.
func (c *checker) reference(field, name string, known map[string]bool) {
	if known[name] && name != "" {
		return
	}
	if name == "" {
		c.add(field, "is empty")
		return
	}
	c.add(field, "no object is named %s", display(name))
	c.problems[len(c.problems)-1].Suggestion = c.suggest(name, known)
}

// hash checks the format of a hash, and that no other object has the same hash.
func (c *checker) hash(hash string) {
	const size = 64 // Length of a SHA-256 in hexadecimal.
	if len(hash) != size || strings.Trim(hash, "0123456789abcdef") != "" {
		c.add("Hash", "is not a SHA-256 of %d lower-case hexadecimal digits", size)
		return
	}
	if other, used := c.hashes[hash]; used {
		c.add("Hash", "is also the hash of %s", other)
		return
	}
	c.hashes[hash] = c.kind + " " + display(c.name)
}

func (c *checker) limit(o set.Limit) {
	if math.IsNaN(o.Rate) || o.Rate <= 0 || o.Rate > MaxRate {
		c.add("Rate", "is %g requests per second, must be above 0 and at most %g", o.Rate, float64(MaxRate))
	}
	if o.Burst < 1 || o.Burst > MaxBurst {
		c.add("Burst", "is %d, must be from 1 to %d", o.Burst, MaxBurst)
	}
}

func (c *checker) pool(o set.Pool) {
	if !isSafeName(o.Service) {
		c.add("Service", "is not the name of a service")
	}
	if o.Floor < 0 || o.Floor > 100 {
		c.add("Floor", "is %d per cent, must be from 0 to 100", o.Floor)
	}
	if math.IsNaN(o.Threshold) || math.IsInf(o.Threshold, 0) || o.Threshold < 0 {
		c.add("Threshold", "is %g, must not be negative", o.Threshold)
	}
	c.duration("QueueWait", o.QueueWait, MaxQueueWait)
	if o.Probe.Path != "" && !isProbePath(o.Probe.Path) {
		c.add("Probe.Path", "is not a path of at most %d printable characters that begins with /", MaxTextSize)
	}
	if o.ColdRate < 0 || math.IsNaN(o.ColdRate) || math.IsInf(o.ColdRate, 0) {
		c.add("ColdRate", "is not a number of requests from 0")
	}
	if len(o.Probe.Contains) > MaxTextSize || !utf8.ValidString(o.Probe.Contains) {
		c.add("Probe.Contains", "is not a text of at most %d bytes", MaxTextSize)
	}
}

func (c *checker) duration(field string, d, most time.Duration) {
	if d < 0 || d > most {
		c.add(field, "is %s, must be from 0 to %s", d, most)
	}
}

// isSafeName reports whether a name can be written unquoted in paths, logs and
// tables.
func isSafeName(name string) bool {
	if name == "" || len(name) > MaxNameSize {
		return false
	}
	for i, b := range []byte(name) {
		if !alphanumeric(b) && (i == 0 || !strings.ContainsRune("._-", rune(b))) {
			return false
		}
	}
	return true
}

func alphanumeric(b byte) bool {
	return '0' <= b && b <= '9' || 'A' <= b && b <= 'Z' || 'a' <= b && b <= 'z'
}

// isProbePath reports whether a path can be sent as it is in a probe's request. It
// must not be empty.
func isProbePath(path string) bool {
	for _, b := range []byte(path) {
		if b <= ' ' || b > '~' || b == '#' || b == '\\' {
			return false
		}
	}
	return len(path) <= MaxTextSize && path[0] == '/'
}

// display returns a name for messages, quoted and truncated if it is not safe.
func display(name string) string {
	if isSafeName(name) {
		return name
	}
	return fmt.Sprintf("%.*q", MaxNameSize, name)
}
