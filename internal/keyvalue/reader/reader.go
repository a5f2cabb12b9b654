// Package reader reads the records that the project keeps in the platform's
// store: the head and the chunks of configurations.
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

// Keys of the store.
const (
	HeadKey     = "/filbertturn/head"
	ChunkPrefix = "/filbertturn/chunk/" // Chunks and manifests, by address.
)

// Getter is the part of the store's client that a Reader uses.
type Getter interface {
	Get(ctx context.Context, key string) (store.Item, bool, error)
}

// Reader reads from Store.
type Reader struct {
	Store Getter
}

// Head reads the head and the store's revision of its last write, to compare
// with at the next. Without a head both are zero.
func (r Reader) Head(ctx context.Context) (head.Head, int64, error) {
	item, found, err := r.Store.Get(ctx, HeadKey)
	if err != nil || !found {
		return head.Head{}, 0, err
	}
	h, err := DecodeHead(item.Value)
	return h, item.Revision, err
}

// Chunk reads the content at an address. Its errors are MissingError and
// those of the store. The content is not checked.
func (r Reader) Chunk(ctx context.Context, address chunk.Address) ([]byte, error) {
	item, found, err := r.Store.Get(ctx, ChunkKey(address))
	if err == nil && !found {
		err = &MissingError{Address: address}
	}
	return item.Value, err
}

// Manifest reads the manifest at an address in text form; the empty address is
// of the empty manifest.
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

// Set reads the whole set of a manifest.
func (r Reader) Set(ctx context.Context, address string) (set.Set, error) {
	m, err := r.Manifest(ctx, address)
	if err != nil {
		return set.Set{}, err
	}
	return r.Join(ctx, m)
}

// Join reads the chunks of a manifest, several at once, and joins them.
func (r Reader) Join(ctx context.Context, m chunk.Manifest) (set.Set, error) {
	contents, err := r.chunks(ctx, m.Addresses())
	if err != nil {
		return set.Set{}, err
	}
	return chunk.Join(m, func(a chunk.Address) ([]byte, error) { return contents[a], nil })
}

// DecodeHead reads the value of the head's key. Its error is a HeadError.
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

// EncodeHead returns the value of the head's key.
func EncodeHead(h head.Head) ([]byte, error) {
	value, err := codec.MarshalHead(h)
	if err != nil {
		return nil, &HeadError{Err: err}
	}
	return value, nil
}

// ChunkKey returns the store's key of a chunk or a manifest.
func ChunkKey(a chunk.Address) string { return ChunkPrefix + a.String() }

// HeadError says that the head cannot be read or written.
type HeadError struct{ Err error }

func (e *HeadError) Error() string { return fmt.Sprintf("reader: head: %v", e.Err) }

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Err }

// MissingError says that the store does not hold a chunk.
type MissingError struct{ Address chunk.Address }

func (e *MissingError) Error() string {
	return fmt.Sprintf("reader: the store holds no chunk %s", e.Address)
}
