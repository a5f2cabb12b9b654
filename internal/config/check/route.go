package check

import (
	"math"
	"path"
	"slices"
	"strings"

	"filbertturn.example/filbertturn/internal/config/set"
)

// routes checks the routes, and that no two of them match the same request.
func (c *checker) routes(routes []set.Route, pools map[string]bool) {
	prefixes := map[string][]set.Route{}
	for _, o := range routes {
		c.setObject("Route", o.Name)
		c.prefix(o.Prefix)
		c.methods("Methods", o.Methods)
		c.methods("Idempotent", o.Idempotent)
		for _, m := range o.Idempotent {
			if len(o.Methods) > 0 && !slices.Contains(o.Methods, m) {
				c.add("Idempotent", "has %s, which is not among Methods", display(m))
			}
		}
		c.destination(o, pools)
		c.duration("Timeout", o.Timeout, MaxTimeout)
		for _, other := range prefixes[o.Host+o.Prefix] {
			if overlap(o.Methods, other.Methods) {
				c.add("Prefix", "serves the same requests as Route %s", display(other.Name))
				break
			}
		}
		prefixes[o.Host+o.Prefix] = append(prefixes[o.Host+o.Prefix], o)
	}
}

// destination checks that the route names one pool, or several with weights, and
// the fields that control how requests are sent to it.
func (c *checker) destination(o set.Route, pools map[string]bool) {
	c.duration("Target", o.Target, MaxTimeout)
	switch o.Repeat {
	case "", set.RepeatAlways, set.RepeatNever:
	default:
		c.add("Repeat", "is %s, must be %s, %s or empty", display(o.Repeat), set.RepeatAlways, set.RepeatNever)
	}
	if o.Attempts < 0 || o.Attempts > MaxAttempts {
		c.add("Attempts", "is %d, must be from 0 to %d", o.Attempts, MaxAttempts)
	}
	if o.Priority < 0 || o.Priority > MaxPriority {
		c.add("Priority", "is %d, must be from 0 to %d", o.Priority, MaxPriority)
	}
	if len(o.Split) == 0 {
		c.reference("Pool", o.Pool, pools)
		return
	}
	if o.Pool != "" {
		c.add("Pool", "is set beside Split")
	}
	c.bound("Split", len(o.Split), MaxReferences)
	sum := 0.0
	for _, s := range o.Split {
		c.reference("Split", s.Pool, pools)
		if math.IsNaN(s.Weight) || s.Weight < 0 || s.Weight > MaxWeight {
			c.add("Split", "has the weight %g, must be from 0 to %g", s.Weight, float64(MaxWeight))
		}
		sum += s.Weight
	}
	if sum <= 0 {
		c.add("Split", "has no weight above 0")
	}
}

// PlatformOnlyFields returns a problem for each field in use that only nodes on a platform
// support. Fleets that publish their own sets reject such sets: their nodes would
// ignore, for example, a host or a split, and so send requests to another pool than
// the operator configured.
func PlatformOnlyFields(s set.Set) []Problem {
	c := &checker{}
	const message = "is served by nodes on a platform only"
	for _, o := range s.Routes {
		c.setObject("Route", o.Name)
		for _, f := range []struct {
			name string
			set  bool
		}{
			{"Host", o.Host != ""}, {"Subtree", o.Subtree}, {"Split", len(o.Split) > 0}, {"Repeat", o.Repeat != ""}, {"Upload", o.Upload},
			{"Attempts", o.Attempts != 0}, {"Priority", o.Priority != 0}, {"Target", o.Target != 0},
		} {
			if f.set {
				c.add(f.name, message)
			}
		}
	}
	for _, o := range s.Customers {
		c.setObject("Customer", o.Name)
		if o.Priority != 0 {
			c.add("Priority", message)
		}
	}
	return c.problems
}

// prefix allows only characters that have a single form in a URL, so that no other
// spelling of a path can bypass the route.
func (c *checker) prefix(prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.add("Prefix", "does not begin with /")
	case len(prefix) > MaxPrefixSize:
		c.add("Prefix", "has %d bytes, at most %d", len(prefix), MaxPrefixSize)
	case path.Clean(prefix) != prefix:
		c.add("Prefix", "is not in its clean form")
		c.problems[len(c.problems)-1].Suggestion = path.Clean(prefix)
	case strings.IndexFunc(prefix, func(r rune) bool {
		return r > '~' || !alphanumeric(byte(r)) && !strings.ContainsRune("/-._~", r)
	}) >= 0:
		c.add("Prefix", "has a character other than letters, digits and / - . _ ~")
	}
}

// methods checks a list of HTTP methods.
func (c *checker) methods(field string, methods []string) {
	c.bound(field, len(methods), MaxMethods)
	for i, m := range methods {
		switch {
		case !isSafeName(m) || strings.ToUpper(m) != m:
			c.add(field, "has %s, which is not a method in upper case", display(m))
		case m == "CONNECT" || m == "TRACE":
			c.add(field, "has %s, which is not forwarded", m)
		case slices.Contains(methods[:i], m):
			c.add(field, "has %s twice", m)
		}
	}
}

// overlap reports whether two method lists have a method in common. An empty list
// stands for all methods.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}
