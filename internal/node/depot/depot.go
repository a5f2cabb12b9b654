// Package depot is the port to the platform's key-value service.
package depot

import (
	"context"
	"errors"
	"time"
)

// Item is one key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // Revision of the last change.
}

// Page is what a read returns.
type Page struct {
	Items    []Item
	Revision int64 // Revision of the service at the read.
}

// Lease is a lease on keys.
type Lease struct {
	ID  int64
	TTL time.Duration
}

// Errors of a depot besides those of its connection.
var (
	ErrConflict = errors.New("a key has changed since it was read")
	ErrNoLease  = errors.New("the lease has ended")
)

// Depot is the key-value service. Its answers are linearizable unless a read
// asks for less.
type Depot interface {
	// Get returns the item of a key, or none.
	Get(ctx context.Context, key string) (Page, error)
	// List returns the items whose keys begin with prefix. A stale list costs
	// less and may be seconds old.
	List(ctx context.Context, prefix string, stale bool) (Page, error)
	// Put writes a key under a lease.
	Put(ctx context.Context, key string, value []byte, lease int64) error
	// Remove deletes a key.
	Remove(ctx context.Context, key string) error
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Keep renews a lease.
	Keep(ctx context.Context, lease int64) error
}
