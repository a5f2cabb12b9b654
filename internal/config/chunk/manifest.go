// Package chunk splits a configuration set into content-addressed chunks, so that
// a small change transfers only the manifest and one chunk.
package chunk

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"

	"filbertturn.example/filbertturn/internal/config/set"
)

const (
	// Buckets is the number of hash buckets, each one chunk, of the customers, and
	// likewise of the keys. With 25,000 of each, a chunk of keys is about as long
	// as the manifest, which keeps the sum of the two small.
	Buckets = 256

	// RouteBuckets is the number of hash buckets of the routes, chosen in the same
	// way for 1,700 routes.
	RouteBuckets = 16

	// MaxSize is the maximum length of a chunk and of a manifest in bytes, which is
	// the platform's limit for a value.
	MaxSize = 1 << 20
)

// Manifest lists the addresses of the chunks of a set, for each kind of object in
// the order of its buckets. A kind without objects, like an empty bucket, has the
// zero address or none.
type Manifest struct {
	Limits    Address
	Pools     Address
	Operators Address
	Routes    []Address // Empty, or of length RouteBuckets.
	Customers []Address // Empty, or of length Buckets.
	Keys      []Address // Empty, or of length Buckets.
}

// Split returns the manifest of the set and the contents of its chunks by address.
// Sets that differ only in the order of their objects have equal manifests.
func Split(s set.Set) (Manifest, map[Address][]byte) {
	s = s.Canonical()
	chunks := map[Address][]byte{}
	m := Manifest{
		Limits:    addChunk(chunks, s.Limits),
		Pools:     addChunk(chunks, s.Pools),
		Operators: addChunk(chunks, s.Operators),
		Routes:    splitIntoBuckets(chunks, s.Routes, RouteBuckets, func(r set.Route) string { return r.Name }),
		Customers: splitIntoBuckets(chunks, s.Customers, Buckets, func(c set.Customer) string { return c.Name }),
		Keys:      splitIntoBuckets(chunks, s.Keys, Buckets, func(k set.Key) string { return k.Name }),
	}
	return m, chunks
}

// Join reads the chunks of the manifest with get and returns their set in canonical
// form. It verifies every chunk against its address, and that each object is in the
// bucket of its name. Its errors are ContentError, those of get, and an error for a
// manifest with a wrong number of buckets.
func Join(m Manifest, get func(Address) ([]byte, error)) (set.Set, error) {
	if err := m.check(); err != nil {
		return set.Set{}, err
	}
	var s set.Set
	err := errors.Join(
		appendChunk(&s.Limits, m.Limits, get, nil),
		appendChunk(&s.Pools, m.Pools, get, nil),
		appendChunk(&s.Operators, m.Operators, get, nil),
		joinBuckets(&s.Routes, m.Routes, get, func(r set.Route) string { return r.Name }),
		joinBuckets(&s.Customers, m.Customers, get, func(c set.Customer) string { return c.Name }),
		joinBuckets(&s.Keys, m.Keys, get, func(k set.Key) string { return k.Name }),
	)
	if err != nil {
		return set.Set{}, err
	}
	return s.Canonical(), nil
}

// Encode returns the manifest as JSON and its address.
func (m Manifest) Encode() ([]byte, Address) {
	content, _ := json.Marshal(m) // No value of a Manifest fails to encode.
	return content, AddressOf(content)
}

// Decode decodes a manifest and verifies it against its address. Its error is a
// ContentError.
func Decode(content []byte, address Address) (Manifest, error) {
	var m Manifest
	if err := decodeChecked(content, address, &m); err != nil {
		return Manifest{}, err
	}
	if err := m.check(); err != nil {
		return Manifest{}, &ContentError{Address: address, Err: err}
	}
	return m, nil
}

// Addresses returns the distinct addresses of the manifest's chunks, sorted.
func (m Manifest) Addresses() []Address {
	all := slices.Concat([]Address{m.Limits, m.Pools, m.Operators}, m.Routes, m.Customers, m.Keys)
	slices.SortFunc(all, func(a, b Address) int { return bytes.Compare(a[:], b[:]) })
	all = slices.Compact(all)
	if all[0] == (Address{}) {
		all = all[1:]
	}
	return all
}

// DiffManifests returns copies of a and b without the addresses that both have. Join of
// such a manifest returns only the objects of the differing chunks.
func DiffManifests(a, b Manifest) (Manifest, Manifest) {
	pairs := [][2]*Address{{&a.Limits, &b.Limits}, {&a.Pools, &b.Pools}, {&a.Operators, &b.Operators}}
	for _, lists := range [][2]*[]Address{{&a.Routes, &b.Routes}, {&a.Customers, &b.Customers}, {&a.Keys, &b.Keys}} {
		n := max(len(*lists[0]), len(*lists[1]))
		*lists[0], *lists[1] = extend(*lists[0], n), extend(*lists[1], n)
		for i := range n {
			pairs = append(pairs, [2]*Address{&(*lists[0])[i], &(*lists[1])[i]})
		}
	}
	for _, p := range pairs {
		if *p[0] == *p[1] {
			*p[0], *p[1] = Address{}, Address{}
		}
	}
	return a, b
}

func (m Manifest) check() error {
	lists := []struct{ got, want int }{
		{len(m.Routes), RouteBuckets}, {len(m.Customers), Buckets}, {len(m.Keys), Buckets},
	}
	for _, l := range lists {
		if l.got != 0 && l.got != l.want {
			return fmt.Errorf("chunk: manifest has %d buckets of a kind, want %d", l.got, l.want)
		}
	}
	return nil
}

// extend returns a copy of length n, filled up with zero addresses.
func extend(addresses []Address, n int) []Address {
	p := make([]Address, n)
	copy(p, addresses)
	return p
}

// addChunk encodes the objects as one chunk, adds it to chunks and returns its
// address, or the zero address without objects.
func addChunk[T any](chunks map[Address][]byte, objects []T) Address {
	if len(objects) == 0 {
		return Address{}
	}
	content, _ := json.Marshal(objects) // Cannot fail: JSON encodes all fields but infinite numbers, which package check rejects.
	a := AddressOf(content)
	chunks[a] = content
	return a
}

// splitIntoBuckets adds one chunk for each of n buckets, in which the objects are
// put by the hash of their name, and returns the addresses of the buckets.
func splitIntoBuckets[T any](chunks map[Address][]byte, objects []T, n int, name func(T) string) []Address {
	if len(objects) == 0 {
		return nil
	}
	buckets := make([][]T, n)
	for _, o := range objects {
		b := bucket(name(o), n)
		buckets[b] = append(buckets[b], o)
	}
	addresses := make([]Address, n)
	for i, objects := range buckets {
		addresses[i] = addChunk(chunks, objects)
	}
	return addresses
}

// joinBuckets appends the objects of all buckets and checks that each object is in
// the bucket of its name.
func joinBuckets[T any](all *[]T, addresses []Address, get func(Address) ([]byte, error), name func(T) string) error {
	for i, a := range addresses {
		err := appendChunk(all, a, get, func(o T) error {
			if bucket(name(o), len(addresses)) != i {
				return fmt.Errorf("object %q is not of bucket %d", name(o), i)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// appendChunk reads one chunk and appends its objects, each passed to check before
// unless check is nil.
func appendChunk[T any](all *[]T, a Address, get func(Address) ([]byte, error), check func(T) error) error {
	if a == (Address{}) {
		return nil
	}
	content, err := get(a)
	if err != nil {
		return err
	}
	var objects []T
	if err := decodeChecked(content, a, &objects); err != nil {
		return err
	}
	for _, o := range objects {
		if check == nil {
			break
		}
		if err := check(o); err != nil {
			return &ContentError{Address: a, Err: err}
		}
	}
	*all = append(*all, objects...)
	return nil
}

// decodeChecked decodes JSON after it checked the content's length and address.
func decodeChecked(content []byte, a Address, value any) error {
	switch {
	case len(content) > MaxSize:
		return &ContentError{Address: a, Err: fmt.Errorf("%d bytes, at most %d", len(content), MaxSize)}
	case AddressOf(content) != a:
		return &ContentError{Address: a, Err: errors.New("content is of another address")}
	}
	if err := json.Unmarshal(content, value); err != nil {
		return &ContentError{Address: a, Err: err}
	}
	return nil
}

// bucket returns the bucket of a name out of n. Changing the hash would move every
// object, and make Join reject stored chunks.
func bucket(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32()) % n
}
