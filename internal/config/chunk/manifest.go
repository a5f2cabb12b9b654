// Package chunk splits a configuration set into content-addressed parts, so
// that one change moves one part and the manifest.
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
	// Buckets is the number of chunks of customers, and likewise of keys. With
	// 25,000 of each a chunk of keys is about as long as the manifest, which
	// makes the sum of the two small.
	Buckets = 256

	// RouteBuckets is the number of chunks of routes, chosen likewise for 1,700.
	RouteBuckets = 16

	// MaxSize bounds a chunk and a manifest, in bytes, to the platform's
	// longest value.
	MaxSize = 1 << 20
)

// Manifest lists the addresses of the chunks of a set, each kind in the order
// of its buckets. A kind without objects has no address; neither has an empty
// bucket.
type Manifest struct {
	Limits    Address
	Pools     Address
	Operators Address
	Routes    []Address // None, or RouteBuckets.
	Customers []Address // None, or Buckets.
	Keys      []Address // None, or Buckets.
}

// Split returns the manifest of the set and the contents of its chunks. Equal
// sets, whatever their order, give equal manifests.
func Split(s set.Set) (Manifest, map[Address][]byte) {
	s = s.Canonical()
	chunks := map[Address][]byte{}
	m := Manifest{
		Limits:    add(chunks, s.Limits),
		Pools:     add(chunks, s.Pools),
		Operators: add(chunks, s.Operators),
		Routes:    spread(chunks, s.Routes, RouteBuckets, func(r set.Route) string { return r.Name }),
		Customers: spread(chunks, s.Customers, Buckets, func(c set.Customer) string { return c.Name }),
		Keys:      spread(chunks, s.Keys, Buckets, func(k set.Key) string { return k.Name }),
	}
	return m, chunks
}

// Join reads the chunks of the manifest and returns their set in canonical
// form. It checks every content against its address, and that each object
// stands in its bucket. Its errors are ContentError and those of get.
func Join(m Manifest, get func(Address) ([]byte, error)) (set.Set, error) {
	if err := m.check(); err != nil {
		return set.Set{}, err
	}
	var s set.Set
	err := errors.Join(
		read(&s.Limits, m.Limits, get, nil),
		read(&s.Pools, m.Pools, get, nil),
		read(&s.Operators, m.Operators, get, nil),
		gather(&s.Routes, m.Routes, get, func(r set.Route) string { return r.Name }),
		gather(&s.Customers, m.Customers, get, func(c set.Customer) string { return c.Name }),
		gather(&s.Keys, m.Keys, get, func(k set.Key) string { return k.Name }),
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

// Decode reads a manifest and checks it against its address. Its error is a
// ContentError.
func Decode(content []byte, address Address) (Manifest, error) {
	var m Manifest
	if err := decode(content, address, &m); err != nil {
		return Manifest{}, err
	}
	if err := m.check(); err != nil {
		return Manifest{}, &ContentError{Address: address, Err: err}
	}
	return m, nil
}

// Addresses returns the addresses of the manifest's chunks, each once.
func (m Manifest) Addresses() []Address {
	all := slices.Concat([]Address{m.Limits, m.Pools, m.Operators}, m.Routes, m.Customers, m.Keys)
	slices.SortFunc(all, func(a, b Address) int { return bytes.Compare(a[:], b[:]) })
	all = slices.Compact(all)
	if all[0] == (Address{}) {
		all = all[1:]
	}
	return all
}

// Differing returns the parts of a and b that differ, as two manifests that
// Join turns into the objects of the differing chunks only.
func Differing(a, b Manifest) (Manifest, Manifest) {
	pairs := [][2]*Address{{&a.Limits, &b.Limits}, {&a.Pools, &b.Pools}, {&a.Operators, &b.Operators}}
	for _, lists := range [][2]*[]Address{{&a.Routes, &b.Routes}, {&a.Customers, &b.Customers}, {&a.Keys, &b.Keys}} {
		n := max(len(*lists[0]), len(*lists[1]))
		*lists[0], *lists[1] = padded(*lists[0], n), padded(*lists[1], n)
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

func padded(addresses []Address, n int) []Address {
	p := make([]Address, n)
	copy(p, addresses)
	return p
}

func add[T any](chunks map[Address][]byte, objects []T) Address {
	if len(objects) == 0 {
		return Address{}
	}
	content, _ := json.Marshal(objects) // The kinds hold only what JSON can encode, but for infinite numbers, which check refuses.
	a := AddressOf(content)
	chunks[a] = content
	return a
}

func spread[T any](chunks map[Address][]byte, objects []T, n int, name func(T) string) []Address {
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
		addresses[i] = add(chunks, objects)
	}
	return addresses
}

func gather[T any](all *[]T, addresses []Address, get func(Address) ([]byte, error), name func(T) string) error {
	for i, a := range addresses {
		err := read(all, a, get, func(o T) error {
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

// read appends the objects of one chunk.
func read[T any](all *[]T, a Address, get func(Address) ([]byte, error), check func(T) error) error {
	if a == (Address{}) {
		return nil
	}
	content, err := get(a)
	if err != nil {
		return err
	}
	var objects []T
	if err := decode(content, a, &objects); err != nil {
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

func decode(content []byte, a Address, value any) error {
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

func bucket(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32()) % n
}
