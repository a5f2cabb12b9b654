package configsync

import (
	"sync"

	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/piece"
	"filbertturn.example/filbertturn/internal/peer/pack"
)

// maxPacked bounds the replies that are kept for nodes that ask for the same pieces.
const maxPacked = 128

// content is an encoded configuration, as the operator wrote it, with its pieces. All replies to
// peers share it.
type content struct {
	value []byte

	split    sync.Once
	manifest piece.Manifest // Known before the split if the value came in pieces.
	index    map[chunk.Address][]byte

	mu     sync.Mutex
	packed map[string][]byte // Packed pieces by the addresses asked for.
}

// pieces returns the manifest of the value and its pieces by address.
func (c *content) pieces() (piece.Manifest, map[chunk.Address][]byte) {
	c.split.Do(func() {
		if len(c.manifest.Addresses) == 0 {
			c.manifest = piece.Split(c.value)
		}
		c.index = c.manifest.Index(c.value)
	})
	return c.manifest, c.index
}

// collect returns the first of the pieces that are asked for, of limit bytes together, one after the other.
func (c *content) collect(asked []chunk.Address, limit int) []byte {
	_, index := c.pieces()
	var all []byte
	for _, a := range asked {
		p := index[a]
		if p == nil || len(all) > 0 && len(all)+len(p) > limit {
			break
		}
		all = append(all, p...)
	}
	return all
}

// pack returns the packed form of pieces, which are those of the addresses that were asked for.
func (c *content) pack(p *pack.Packer, addresses, pieces []byte) ([]byte, error) {
	if len(pieces) == 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if packed := c.packed[string(addresses)]; packed != nil {
		return packed, nil
	}
	packed, err := p.Pack(pieces)
	if err != nil {
		return nil, err
	}
	if c.packed == nil {
		c.packed = make(map[string][]byte)
	}
	if len(c.packed) < maxPacked {
		c.packed[string(addresses)] = packed
	}
	return packed, nil
}
