// Package piece splits an encoded configuration into content-addressed pieces. The boundaries
// follow the content, so that a small change leaves most pieces as they were, and a node that has
// an older configuration fetches only the others.
package piece

import (
	"fmt"
	"slices"

	"filbertturn.example/filbertturn/internal/config/chunk"
)

const (
	minSize = 1 << 10  // Minimum length of a piece in bytes, except the last.
	maxSize = 16 << 10 // Maximum length of a piece in bytes.

	// boundaryBits makes one of 2^boundaryBits positions beyond minSize a boundary: a piece has 5 KB on
	// average, so that the manifest of a megabyte is not longer than the pieces that a small change moves.
	boundaryBits = 12

	// windowSize is the number of bytes that decide whether there is a boundary behind them.
	windowSize = 64

	// MaxTotal is the maximum length of a value in bytes that a manifest describes: twice what the
	// platform's store holds.
	MaxTotal = 2 << 20
)

// Manifest lists the pieces of a value in their order. The zero value is that of an empty value.
type Manifest struct {
	Addresses []chunk.Address
	Sizes     []uint32 // Length of each piece in bytes.
}

// Split returns the manifest of a value.
func Split(value []byte) Manifest {
	var m Manifest
	for len(value) > 0 {
		n := boundary(value)
		m.Addresses = append(m.Addresses, chunk.AddressOf(value[:n]))
		m.Sizes = append(m.Sizes, uint32(n))
		value = value[n:]
	}
	return m
}

// boundary returns the length of the first piece of a value.
func boundary(value []byte) int {
	end := min(len(value), maxSize)
	var hash uint64
	for i := minSize - windowSize; i < end; i++ {
		// A byte is shifted out of the hash after windowSize steps.
		hash = hash<<1 + gear[value[i]]
		if i+1 >= minSize && hash>>(64-boundaryBits) == 0 {
			return i + 1
		}
	}
	return end
}

// gear maps each byte to a random number. Nodes of different releases must have the same, or they
// share no pieces.
var gear = newGear()

// newGear returns the first outputs of SplitMix64 with the seed 0.
func newGear() (table [256]uint64) {
	var state uint64
	for i := range table {
		state += 0x9e3779b97f4a7c15
		z := state
		z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		table[i] = z ^ z>>31
	}
	return table
}

// Size returns the length of the value in bytes.
func (m Manifest) Size() int {
	total := 0
	for _, n := range m.Sizes {
		total += int(n)
	}
	return total
}

// Index returns the pieces of the value that the manifest describes by their addresses. They share
// the memory of the value.
func (m Manifest) Index(value []byte) map[chunk.Address][]byte {
	index := make(map[chunk.Address][]byte, len(m.Addresses))
	for i, a := range m.Addresses {
		n := m.Sizes[i]
		index[a] = value[:n:n]
		value = value[n:]
	}
	return index
}

// Check returns an error for a manifest that Split cannot have returned for a value of at most MaxTotal
// bytes.
func (m Manifest) Check() error {
	if len(m.Addresses) != len(m.Sizes) {
		return fmt.Errorf("piece: manifest has %d addresses and %d sizes", len(m.Addresses), len(m.Sizes))
	}
	sizes := make(map[chunk.Address]uint32, len(m.Sizes))
	for i, n := range m.Sizes {
		if n == 0 || n > maxSize {
			return fmt.Errorf("piece: manifest has a piece of %d bytes, want 1 to %d", n, maxSize)
		}
		// Pieces that repeat would otherwise make the value longer than the sizes say.
		if known, ok := sizes[m.Addresses[i]]; ok && known != n {
			return fmt.Errorf("piece: manifest has one piece as %d and as %d bytes", known, n)
		}
		sizes[m.Addresses[i]] = n
	}
	// The sum cannot overflow: a message has less than 2^32 pieces, each of at most maxSize bytes.
	if total := m.Size(); total > MaxTotal {
		return fmt.Errorf("piece: manifest has %d bytes, want at most %d", total, MaxTotal)
	}
	return nil
}

// JoinAddresses returns addresses one after the other, as messages carry them.
func JoinAddresses(list []chunk.Address) []byte {
	var b []byte
	for _, a := range list {
		b = append(b, a[:]...)
	}
	return b
}

// SplitAddresses is the inverse of JoinAddresses.
func SplitAddresses(b []byte) ([]chunk.Address, error) {
	const size = len(chunk.Address{})
	if len(b)%size != 0 {
		return nil, fmt.Errorf("piece: %d bytes are no list of addresses", len(b))
	}
	list := make([]chunk.Address, 0, len(b)/size)
	for c := range slices.Chunk(b, size) {
		list = append(list, chunk.Address(c))
	}
	return list, nil
}
