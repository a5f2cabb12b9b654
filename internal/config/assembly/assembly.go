// Package assembly puts a value together from pieces that arrive in any number of parts.
package assembly

import (
	"errors"
	"fmt"

	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/piece"
)

// Assembly is a value of which some pieces may be missing. Use New to create one. It is not safe
// for concurrent use.
type Assembly struct {
	manifest piece.Manifest
	pieces   map[chunk.Address][]byte // Those that are there.
}

// New returns the value that a manifest describes, which Manifest.Check must accept. The function known
// returns a piece that is there already, or nil.
func New(m piece.Manifest, known func(chunk.Address) []byte) *Assembly {
	a := &Assembly{manifest: m, pieces: make(map[chunk.Address][]byte, len(m.Addresses))}
	for i, address := range m.Addresses {
		if p := known(address); len(p) == int(m.Sizes[i]) {
			a.pieces[address] = p
		}
	}
	return a
}

// Missing returns the first of the missing pieces, of limit bytes together or a single one that is longer.
func (a *Assembly) Missing(limit int) []chunk.Address {
	var list []chunk.Address
	seen := map[chunk.Address]bool{}
	for i, address := range a.manifest.Addresses {
		if a.pieces[address] != nil || seen[address] {
			continue
		}
		if limit -= int(a.manifest.Sizes[i]); limit < 0 && len(list) > 0 {
			break
		}
		seen[address] = true
		list = append(list, address)
	}
	return list
}

// MissingCount returns the number of missing pieces.
func (a *Assembly) MissingCount() int {
	missing := map[chunk.Address]bool{}
	for _, address := range a.manifest.Addresses {
		if a.pieces[address] == nil {
			missing[address] = true
		}
	}
	return len(missing)
}

// errNoPiece is the cause of the error for content that is shorter than the piece at its beginning.
var errNoPiece = errors.New("content is too short")

// Add adds the content of pieces that were asked for, which may be the first of them only. Pieces before one
// that is wrong are kept. Its error is a chunk.ContentError, or one for content behind the last piece.
func (a *Assembly) Add(asked []chunk.Address, content []byte) error {
	sizes := make(map[chunk.Address]int, len(a.manifest.Sizes))
	for i, address := range a.manifest.Addresses {
		sizes[address] = int(a.manifest.Sizes[i])
	}
	for _, address := range asked {
		n := sizes[address]
		switch {
		case len(content) == 0:
			return nil
		case n == 0 || n > len(content):
			return &chunk.ContentError{Address: address, Err: errNoPiece}
		case chunk.AddressOf(content[:n]) != address:
			return &chunk.ContentError{Address: address, Err: errors.New("content is of another address")}
		}
		a.pieces[address], content = content[:n:n], content[n:]
	}
	if len(content) > 0 {
		return fmt.Errorf("assembly: %d bytes behind the pieces that were asked for", len(content))
	}
	return nil
}

// Value returns the value once no piece is missing.
func (a *Assembly) Value() (value []byte, complete bool) {
	value = make([]byte, 0, a.manifest.Size())
	for _, address := range a.manifest.Addresses {
		p := a.pieces[address]
		if p == nil {
			return nil, false
		}
		value = append(value, p...)
	}
	return value, true
}

// Piece returns a piece that is there, or nil.
func (a *Assembly) Piece(address chunk.Address) []byte {
	return a.pieces[address]
}
