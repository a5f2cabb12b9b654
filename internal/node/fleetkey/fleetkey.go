// Package fleetkey keeps the key of the fingerprints of requests, which all nodes of a fleet
// share. It is drawn at random by the first node that needs it and lasts in the store. Nodes get it
// from their super-peer, so that the calls of the store do not grow with the fleet, and from
// other neighbours while the store is away.
package fleetkey

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/node/kvstore"
	"filbertturn.example/filbertturn/internal/node/leftout"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

const (
	// storeKey is the key of the store that holds it.
	storeKey = "filbertturn/fingerprint-key"

	storeTimeout = 500 * time.Millisecond
	peerTimeout  = 150 * time.Millisecond

	// retryInterval is the time between two attempts to get the key.
	retryInterval = 100 * time.Millisecond

	// superPeerTries is the number of attempts at the super-peer and other neighbours before a node asks the
	// store itself.
	superPeerTries = 5

	// maxNeighbours is the number of neighbours that are asked in an attempt.
	maxNeighbours = 3
)

// errNoKey reports that a neighbour, or the store, has no key yet.
var errNoKey = errors.New("neighbour has no key")

// LengthError reports a value that is no key.
type LengthError struct {
	Length   int
	revision int64 // Of the key in the store.
}

// Error implements the error interface.
func (e *LengthError) Error() string {
	return fmt.Sprintf("key of the fingerprints has %d bytes, not %d", e.Length, fingerprint.KeySize)
}

// Keeper holds the key of a node. The exported fields must be set before Run.
type Keeper struct {
	Self       netip.AddrPort
	Store      kvstore.Store
	Mesh       *link.Mesh
	Neighbours func() []netip.AddrPort // Nodes of the data centre with this one; the first is the super-peer.
	Joined     func() bool             // Whether the neighbours are known.
	Log        zerolog.Logger
	LeftOut    *leftout.Reporter // Of values that are no keys; nil for none.

	key atomic.Pointer[fingerprint.Key]
}

// Start returns the digest of a request without its body, or nil while the key is not known.
func (k *Keeper) Start(method, host, target, customer string) *fingerprint.Digest {
	key := k.key.Load()
	if key == nil {
		return nil
	}
	return key.Start(method, host, target, customer)
}

// Run gets the key, and returns once it is known or ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for !k.Joined() && ctx.Err() == nil {
		timer.Sleep(ctx, retryInterval/2)
	}
	for n := 0; ctx.Err() == nil; n++ {
		key, from, err := k.get(ctx, n)
		if err == nil {
			k.key.Store(&key)
			k.Log.Info().Str("From", from).Msg("key of the fingerprints of requests is known")
			return
		}
		if n%(10*superPeerTries) == superPeerTries {
			k.Log.Warn().Err(err).Msg("key of the fingerprints of requests is not known; requests that crash backend servers are not recognised")
		}
		timer.Sleep(ctx, retryInterval)
	}
}

// get makes the nth attempt to get the key, and tells where it came from.
func (k *Keeper) get(ctx context.Context, n int) (fingerprint.Key, string, error) {
	neighbours := k.Neighbours()
	isSuperPeer := len(neighbours) == 0 || neighbours[0] == k.Self
	readErr := errNoKey
	if isSuperPeer {
		var key fingerprint.Key
		if key, readErr = k.read(ctx); readErr == nil {
			return key, "store", nil
		}
	}
	for _, to := range neighbours[:min(len(neighbours), maxNeighbours)] {
		if to == k.Self {
			continue
		}
		if key, err := k.ask(ctx, to); err == nil {
			k.repair(ctx, readErr, key)
			return key, to.String(), nil
		}
	}
	if isSuperPeer {
		return k.create(ctx, readErr)
	}
	if n < superPeerTries {
		return fingerprint.Key{}, "", errNoKey
	}
	key, err := k.read(ctx)
	if err != nil {
		return k.create(ctx, err)
	}
	return key, "store", nil
}

// repair replaces what the store has in place of a key, as readErr tells, by the key of the
// fleet.
func (k *Keeper) repair(ctx context.Context, readErr error, key fingerprint.Key) {
	var odd *LengthError
	if !errors.As(readErr, &odd) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := k.Store.Replace(ctx, storeKey, key[:], odd.revision); err != nil {
		k.Log.Warn().Err(err).Msg("cannot write the key of the fingerprints of requests to the store")
	}
}

// read reads the key from the store. The error is errNoKey if it has none.
func (k *Keeper) read(ctx context.Context) (fingerprint.Key, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r, err := k.Store.Get(ctx, storeKey)
	if err != nil {
		return fingerprint.Key{}, err
	}
	if len(r.Items) == 0 {
		return fingerprint.Key{}, errNoKey
	}
	item := r.Items[0]
	key, err := parse(item.Value)
	if err != nil {
		err = &LengthError{Length: len(item.Value), revision: item.Revision}
		k.LeftOut.Report(time.Now(), "key of the fingerprints", storeKey, item.Revision, err)
	}
	return key, err
}

// create draws a key and writes it to the store, unless another node was faster. The reason is that
// the store has none, or a value that is none and is replaced; any other one is returned.
func (k *Keeper) create(ctx context.Context, reason error) (fingerprint.Key, string, error) {
	var key fingerprint.Key
	var odd *LengthError
	isOdd := errors.As(reason, &odd)
	if !isOdd && !errors.Is(reason, errNoKey) {
		return key, "", reason
	}
	if _, err := rand.Read(key[:]); err != nil {
		return key, "", err
	}
	writeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// After an error, the next attempt reads which key the store has.
	if isOdd {
		return key, "this node", k.Store.Replace(writeCtx, storeKey, key[:], odd.revision)
	}
	return key, "this node", k.Store.Create(writeCtx, storeKey, key[:])
}

func (k *Keeper) ask(ctx context.Context, to netip.AddrPort) (fingerprint.Key, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := k.Mesh.Ask(ctx, to, question.FleetKey, nil)
	if err != nil {
		return fingerprint.Key{}, err
	}
	return parse(reply)
}

func parse(b []byte) (fingerprint.Key, error) {
	var key fingerprint.Key
	if len(b) != len(key) {
		return key, &LengthError{Length: len(b)}
	}
	copy(key[:], b)
	return key, nil
}

// Answer returns the key to another node, which is as far trusted as with the configuration.
func (k *Keeper) Answer() ([]byte, error) {
	key := k.key.Load()
	if key == nil {
		return nil, errNoKey
	}
	return key[:], nil
}
