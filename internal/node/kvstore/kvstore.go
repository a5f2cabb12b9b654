// Package kvstore defines the interface to the platform's key-value store.
package kvstore

import (
	"context"
	"errors"
	"time"
)

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // Revision of the store at the last change of the key.
}

// Result is the result of a read.
type Result struct {
	Items    []Item
	Revision int64     // Revision of the store at the read.
	LeftOut  []OddItem // Items that cannot be used.
}

// OddItem is an item of a list that cannot be used.
type OddItem struct {
	Key      string // Empty if it cannot be told.
	Revision int64  // Zero if it cannot be told.
	Err      error
}

// Lease is a lease. Keys written under it are deleted when it expires.
type Lease struct {
	ID  int64
	TTL time.Duration
	Era int64 // Era of the store that granted it, in which alone the ID names this lease; zero if not known.
}

// Errors of a store, besides those of the connection to it.
var (
	ErrConflict      = errors.New("key was changed since it was read")
	ErrLeaseNotFound = errors.New("lease not found or expired")
)

// Store is a key-value store with leases. Reads are linearizable unless stated otherwise.
type Store interface {
	// Get returns the item of a key, or no item if the key does not exist. It ends once no part of the response has
	// arrived for a while, however long the whole takes.
	Get(ctx context.Context, key string) (Result, error)
	// List returns the items whose keys begin with prefix. A stale list costs less and may
	// be seconds old.
	List(ctx context.Context, prefix string, stale bool) (Result, error)
	// Put writes a key under a lease. It returns ErrLeaseNotFound if the lease has expired.
	Put(ctx context.Context, key string, value []byte, leaseID int64) error
	// Create writes a key that does not exist, without a lease. It returns ErrConflict if the
	// key exists.
	Create(ctx context.Context, key string, value []byte) error
	// Replace writes a key, without a lease, that was last changed at a revision. It returns
	// ErrConflict if the key was changed since.
	Replace(ctx context.Context, key string, value []byte, revision int64) error
	// Delete deletes a key.
	Delete(ctx context.Context, key string) error
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease. It returns an error that is ErrLeaseNotFound if the lease has expired, or the store has
	// come back from a copy since the lease was granted.
	KeepAlive(ctx context.Context, lease Lease) error
}
