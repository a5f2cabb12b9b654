// Package follower keeps the configuration that a node runs in step with the
// depot. It never goes back to an older version.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/node/depot"
)

const (
	// watchWait is the longest that a watch waits. Each waiting watch is a call.
	watchWait = 10 * time.Second

	// answerTime is the time in which the depot must answer, beyond the wait.
	answerTime = 1500 * time.Millisecond

	// retryPause is the pause after a failed call, and jitter is added to it.
	retryPause = 200 * time.Millisecond
	jitter     = 200 * time.Millisecond
)

// Follower follows one key of the depot.
type Follower struct {
	Depot  depot.Depot
	Key    string                                                    // Key of the configuration.
	Decode func(value []byte) (version uint64, s set.Set, err error) // Reads its value.
	Log    zerolog.Logger

	snapshot atomic.Pointer[snapshot.Snapshot]
	read     atomic.Int64 // Time of the last answer of the depot, in nanoseconds since 1970.
}

// Snapshot returns the configuration, or nil before the first was read.
func (f *Follower) Snapshot() *snapshot.Snapshot {
	return f.snapshot.Load()
}

// Age returns the time since the depot last answered.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.read.Load()))
}

// Run follows the key until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if reachable && !errors.Is(err, depot.ErrCompacted) {
			f.Log.Warn().Err(err).Msg("configuration store lost")
			reachable = false
		}
		pause(ctx, retryPause+rand.N(jitter))
		if f.readOnce(ctx) == nil && !reachable {
			f.Log.Info().Msg("configuration store regained")
			reachable = true
		}
	}
}

// follow reads the key and then its changes, until a call fails.
func (f *Follower) follow(ctx context.Context) error {
	revision, err := f.get(ctx)
	for err == nil {
		revision, err = f.watch(ctx, revision)
	}
	return err
}

func (f *Follower) readOnce(ctx context.Context) error {
	_, err := f.get(ctx)
	return err
}

func (f *Follower) get(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	page, err := f.Depot.Get(ctx, f.Key)
	if err != nil {
		return 0, err
	}
	f.take(page)
	return page.Revision, nil
}

func (f *Follower) watch(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+answerTime)
	defer cancel()
	page, err := f.Depot.Watch(ctx, f.Key, after, watchWait)
	if err != nil {
		return 0, err
	}
	f.take(page)
	return max(page.Revision, after), nil
}

func (f *Follower) take(page depot.Page) {
	f.read.Store(time.Now().UnixNano())
	for _, item := range page.Items {
		if item.Key != f.Key || item.Deleted {
			continue
		}
		version, s, err := f.Decode(item.Value)
		if err != nil {
			f.Log.Error().Err(err).Int64("Revision", item.Revision).Msg("configuration cannot be read; the last one stays in force")
			continue
		}
		f.run(version, s, item.Revision)
	}
}

func (f *Follower) run(version uint64, s set.Set, revision int64) {
	old := f.snapshot.Load()
	if old != nil && version <= old.Revision() {
		return
	}
	f.snapshot.Store(snapshot.Compile(s, version))
	f.Log.Info().Uint64("Version", version).Int64("Revision", revision).Int("Routes", len(s.Routes)).
		Int("Customers", len(s.Customers)).Msg("configuration in force")
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
