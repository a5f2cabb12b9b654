// Package snapshot holds a configuration set in the form that requests are
// looked up in.
package snapshot

import (
	"encoding/hex"
	"slices"
	"strings"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Hash is the SHA-256 of a secret.
type Hash = [32]byte

// Snapshot is one revision of the configuration. It does not change, so that
// goroutines may share it. The zero value is an empty configuration.
type Snapshot struct {
	revision  uint64
	set       set.Set
	routes    map[string][]int32 // Indices of the routes of a prefix.
	hosts     map[string]map[string][]int32
	depth     int              // Most segments of a prefix.
	named     map[string]int32 // Indices of routes by name.
	customers map[string]int32
	limits    map[string]int32
	pools     map[string]int32
	keys      map[Hash]int32
	operators map[Hash]int32
}

// Compile indexes a set that has been checked. It keeps the set in canonical
// form; what check refuses is left out of the indices or found as it stands.
func Compile(s set.Set, revision uint64) *Snapshot {
	s = s.Canonical()
	n := &Snapshot{
		revision:  revision,
		set:       s,
		routes:    make(map[string][]int32, len(s.Routes)),
		named:     index(s.Routes, func(o set.Route) (string, bool) { return o.Name, true }),
		customers: index(s.Customers, func(o set.Customer) (string, bool) { return o.Name, true }),
		limits:    index(s.Limits, func(o set.Limit) (string, bool) { return o.Name, true }),
		pools:     index(s.Pools, func(o set.Pool) (string, bool) { return o.Name, true }),
		keys:      index(s.Keys, func(o set.Key) (Hash, bool) { return parseHash(o.Hash) }),
		operators: index(s.Operators, func(o set.Operator) (Hash, bool) { return parseHash(o.Hash) }),
	}
	n.hosts = make(map[string]map[string][]int32)
	for i, r := range s.Routes {
		if n.hosts[r.Host] == nil {
			n.hosts[r.Host] = make(map[string][]int32)
		}
		n.hosts[r.Host][r.Prefix] = append(n.hosts[r.Host][r.Prefix], int32(i))
		n.routes[r.Prefix] = append(n.routes[r.Prefix], int32(i))
		n.depth = max(n.depth, strings.Count(r.Prefix, "/"))
	}
	return n
}

// Revision returns the number of the revision.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Set returns the whole set. Its lists must not be changed.
func (s *Snapshot) Set() set.Set { return s.set }

// NamedRoute returns a route by its name.
func (s *Snapshot) NamedRoute(name string) (set.Route, bool) {
	r, found := s.named[name]
	if !found {
		return set.Route{}, false
	}
	return s.set.Routes[r], true
}

// Customer returns the customer that a secret acts for, and the key, by the
// hash of the secret.
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

// Limit returns the limit of a customer by the customer's name.
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

// Operator returns the operator by the hash of the token.
func (s *Snapshot) Operator(hash Hash) (set.Operator, bool) {
	o, found := s.operators[hash]
	if !found {
		return set.Operator{}, false
	}
	return s.set.Operators[o], true
}

// Allows says whether a customer may use a route.
func Allows(c set.Customer, r set.Route) bool {
	return r.Open || len(c.Routes) == 0 || slices.Contains(c.Routes, r.Name)
}

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
