// Package snapshot holds a configuration set with indices for looking up the route,
// customer and limit of a request.
package snapshot

import (
	"encoding/hex"
	"slices"
	"strings"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Hash is the SHA-256 of a key's secret or of an operator's token.
type Hash = [32]byte

// Snapshot is one revision of the configuration. It is immutable and safe for
// concurrent use. The zero value is an empty configuration.
type Snapshot struct {
	revision       uint64
	set            set.Set
	routesByPrefix map[string][]int32 // Indices of routes by prefix.
	routesByHost   map[string]map[string][]int32
	maxDepth       int              // Maximum number of segments of a prefix.
	routesByName   map[string]int32 // Indices of routes by name.
	customers      map[string]int32
	limits         map[string]int32
	pools          map[string]int32
	keys           map[Hash]int32
	operators      map[Hash]int32
}

// Compile indexes a set that package check accepts, and stores it in canonical form.
// Invalid hashes are left out of the indices; other invalid objects are indexed
// as they are.
func Compile(s set.Set, revision uint64) *Snapshot {
	s = s.Canonical()
	n := &Snapshot{
		revision:       revision,
		set:            s,
		routesByPrefix: make(map[string][]int32, len(s.Routes)),
		routesByName:   index(s.Routes, func(o set.Route) (string, bool) { return o.Name, true }),
		customers:      index(s.Customers, func(o set.Customer) (string, bool) { return o.Name, true }),
		limits:         index(s.Limits, func(o set.Limit) (string, bool) { return o.Name, true }),
		pools:          index(s.Pools, func(o set.Pool) (string, bool) { return o.Name, true }),
		keys:           index(s.Keys, func(o set.Key) (Hash, bool) { return parseHash(o.Hash) }),
		operators:      index(s.Operators, func(o set.Operator) (Hash, bool) { return parseHash(o.Hash) }),
	}
	n.routesByHost = make(map[string]map[string][]int32)
	for i, r := range s.Routes {
		if n.routesByHost[r.Host] == nil {
			n.routesByHost[r.Host] = make(map[string][]int32)
		}
		n.routesByHost[r.Host][r.Prefix] = append(n.routesByHost[r.Host][r.Prefix], int32(i))
		n.routesByPrefix[r.Prefix] = append(n.routesByPrefix[r.Prefix], int32(i))
		n.maxDepth = max(n.maxDepth, strings.Count(r.Prefix, "/"))
	}
	return n
}

// Revision returns the revision that was passed to Compile.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Set returns the whole set. The caller must not modify its lists.
func (s *Snapshot) Set() set.Set { return s.set }

// NamedRoute returns a route by its name.
func (s *Snapshot) NamedRoute(name string) (set.Route, bool) {
	r, found := s.routesByName[name]
	if !found {
		return set.Route{}, false
	}
	return s.set.Routes[r], true
}

// Customer returns the customer and the key that belong to the hash of a secret.
func (s *Snapshot) Customer(hash Hash) (set.Customer, set.Key, bool) {
	k, found := s.keys[hash]
	if !found {
		return set.Customer{}, set.Key{}, false
	}
	key := s.set.Keys[k]
	c, found := s.customers[key.Customer]
	if !found {
		return set.Customer{}, set.Key{}, false
	}
	return s.set.Customers[c], key, true
}

// Limit returns the limit that applies to the named customer.
func (s *Snapshot) Limit(customer string) (set.Limit, bool) {
	c, found := s.customers[customer]
	if !found {
		return set.Limit{}, false
	}
	l, found := s.limits[s.set.Customers[c].Limit]
	if !found {
		return set.Limit{}, false
	}
	return s.set.Limits[l], true
}

// Pool returns a pool by its name.
func (s *Snapshot) Pool(name string) (set.Pool, bool) {
	p, found := s.pools[name]
	if !found {
		return set.Pool{}, false
	}
	return s.set.Pools[p], true
}

// Operator returns the operator that belongs to the hash of a token.
func (s *Snapshot) Operator(hash Hash) (set.Operator, bool) {
	o, found := s.operators[hash]
	if !found {
		return set.Operator{}, false
	}
	return s.set.Operators[o], true
}

// Allows reports whether a customer may use a route: the route is open, or the
// customer lists it or lists none.
func Allows(c set.Customer, r set.Route) bool {
	return r.Open || len(c.Routes) == 0 || slices.Contains(c.Routes, r.Name)
}

// index maps the key of each object to the object's index, for valid keys.
func index[K comparable, T any](objects []T, key func(T) (K, bool)) map[K]int32 {
	m := make(map[K]int32, len(objects))
	for i, o := range objects {
		if k, valid := key(o); valid {
			m[k] = int32(i)
		}
	}
	return m
}

func parseHash(text string) (Hash, bool) {
	var h Hash
	if len(text) != hex.EncodedLen(len(h)) {
		return Hash{}, false
	}
	_, err := hex.Decode(h[:], []byte(text))
	return h, err == nil
}
