// Package reader reads the head and the configuration chunks from the platform's
// key-value store.
package reader

import (
	"context"
	"errors"
	"fmt"

	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/codec"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
)

// Keys in the store.
const (
	HeadKey     = "/filbertturn/head"
	ChunkPrefix = "/filbertturn/chunk/" // Prefix of chunks and manifests; the address follows.
)

// Getter is the part of store.Client that a Reader uses.
type Getter interface {
	Get(ctx context.Context, key string) (store.Item, bool, error)
}

// Reader reads heads, manifests and sets from Store.
type Reader struct {
	Store Getter
}

// Head reads the head and the store revision of its last write, on which the next
// write can be made conditional. Both are zero if there is no head.
func (r Reader) Head(ctx context.Context) (head.Head, int64, error) {
	item, found, err := r.Store.Get(ctx, HeadKey)
	if err != nil || !found {
		return head.Head{}, 0, err
	}
	h, err := DecodeHead(item.Value)
	return h, item.Revision, err
}

// Chunk reads the content at an address. Its errors are MissingChunkError and those of
// the store. It does not verify the content against the address.
func (r Reader) Chunk(ctx context.Context, address chunk.Address) ([]byte, error) {
	item, found, err := r.Store.Get(ctx, ChunkKey(address))
	if err == nil && !found {
		err = &MissingChunkError{Address: address}
	}
	return item.Value, err
}

// Manifest reads and verifies the manifest at an address in text form. The empty
// address yields the empty manifest. Its errors are those of Chunk, and AddressError
// and ContentError of package chunk.
func (r Reader) Manifest(ctx context.Context, address string) (chunk.Manifest, error) {
	a, err := chunk.ParseAddress(address)
	if err != nil || a == (chunk.Address{}) {
		return chunk.Manifest{}, err
	}
	content, err := r.Chunk(ctx, a)
	if err != nil {
		return chunk.Manifest{}, err
	}
	return chunk.Decode(content, a)
}

// Set reads the whole set of the manifest at an address in text form.
func (r Reader) Set(ctx context.Context, address string) (set.Set, error) {
	m, err := r.Manifest(ctx, address)
	if err != nil {
		return set.Set{}, err
	}
	return r.Join(ctx, m)
}

// Join reads the chunks of a manifest concurrently and joins them to a set.
func (r Reader) Join(ctx context.Context, m chunk.Manifest) (set.Set, error) {
	contents, err := r.chunks(ctx, m.Addresses())
	if err != nil {
		return set.Set{}, err
	}
	return chunk.Join(m, func(a chunk.Address) ([]byte, error) { return contents[a], nil })
}

// DecodeHead decodes the value of HeadKey. Its error is a HeadError.
func DecodeHead(value []byte) (head.Head, error) {
	h, err := codec.UnmarshalHead(value)
	if err != nil {
		return head.Head{}, &HeadError{Err: err}
	}
	if h.Sequence == 0 {
		return head.Head{}, &HeadError{Err: errors.New("sequence number is zero")}
	}
	return h, nil
}

// EncodeHead returns the value of HeadKey. Its error is a HeadError.
func EncodeHead(h head.Head) ([]byte, error) {
	value, err := codec.MarshalHead(h)
	if err != nil {
		return nil, &HeadError{Err: err}
	}
	return value, nil
}

// ChunkKey returns the store key of a chunk or a manifest.
func ChunkKey(a chunk.Address) string { return ChunkPrefix + a.String() }

// HeadError means that the head cannot be decoded or encoded.
type HeadError struct{ Err error }

func (e *HeadError) Error() string { return fmt.Sprintf("reader: head: %v", e.Err) }

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Err }

// MissingChunkError means that the store does not hold a chunk or manifest.
type MissingChunkError struct{ Address chunk.Address }

func (e *MissingChunkError) Error() string {
	return fmt.Sprintf("reader: the store holds no chunk %s", e.Address)
}
