package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/node/kvstore"
)

// KeyPrefix is the prefix of the keys of the nodes' records in the store.
const KeyPrefix = "filbertturn/nodes/"

const (
	recordTTL     = 12 * time.Second        // Time to live of the lease of a record: three renewals.
	renewInterval = 4 * time.Second         // Interval between two renewals of the lease.
	storeTimeout  = 1500 * time.Millisecond // Timeout of one call of the store.

	refreshInterval = 10 * time.Second    // Interval between two reads of all records by a super-peer.
	viewLifetime    = 2 * refreshInterval // Time for which the view of the fleet counts as complete after a read.

	// minRecheckInterval is the minimum time between two reads caused by silent nodes.
	minRecheckInterval = 3 * time.Second
)

// Start joins the fleet in the background, and renews the lease of this node's record
// until timers stops or ctx ends.
func (d *Discovery) Start(ctx context.Context, timers *timer.Service) {
	go d.join(ctx)
	timers.Subscribe(renewInterval, func(timer.Tick) { d.renew(ctx) })
	timers.Subscribe(refreshInterval+rand.N(renewInterval), func(t timer.Tick) { d.refresh(ctx, t.Now) })
}

// join registers this node and reads the records of the others, until that succeeds or
// ctx ends. While the store is unavailable, a node that has learnt of others from peers
// counts as joined.
func (d *Discovery) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.register(ctx)
		if err == nil {
			err = d.readAfterRegister(ctx)
		}
		if err == nil {
			d.joined.Store(true)
			d.Log.Info().Int("Nodes", d.NodeCount()).Msg("joined the fleet")
			d.Announce(ctx)
			return
		}
		d.Log.Warn().Err(err).Msg("cannot join the fleet yet; retrying")
		if d.NodeCount() > 1 && d.joined.CompareAndSwap(false, true) {
			d.Log.Warn().Int("Nodes", d.NodeCount()).Msg("joined the fleet through other nodes; the store is unavailable")
		}
		timer.Sleep(ctx, introductionPause/2+rand.N(introductionPause/2))
	}
}

// register writes this node's record under a new lease.
func (d *Discovery) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := d.Store.Grant(ctx, recordTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(d.Self)
	if err != nil {
		return err
	}
	if err := d.Store.Put(ctx, KeyPrefix+d.Self.Name, value, lease.ID); err != nil {
		return err
	}
	d.mu.Lock()
	d.lease = lease
	d.mu.Unlock()
	return nil
}

// renew renews the lease of this node's record, and registers the node again if the
// lease has expired.
func (d *Discovery) renew(ctx context.Context) {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	if lease.ID == 0 || d.leaving.Load() {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	err := d.Store.KeepAlive(call, lease)
	cancel()
	if !errors.Is(err, kvstore.ErrLeaseNotFound) {
		return
	}
	d.Log.Warn().Err(err).Msg("lease of the record of this node is gone; registering again")
	if err := d.register(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("cannot write the record of this node")
	}
}

// Deregister deletes this node's record, so that other nodes send it no more requests.
func (d *Discovery) Deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.Store.Delete(ctx, KeyPrefix+d.Self.Name); err != nil {
		d.Log.Warn().Err(err).Msg("cannot delete the record of this node; it remains until its lease expires")
	}
}

// refresh lets the super-peer of the data centre read all records, so that nodes that no
// gossip message mentions are found and failed nodes are removed.
func (d *Discovery) refresh(ctx context.Context, now time.Time) {
	if d.Joined() && !d.leaving.Load() && d.IsSuperPeer() {
		d.tryReadRecords(ctx, now, true)
	}
}

// recheckRecords reads all records because a node is silent, so that a failed node is
// removed soon. It reads at most once in minRecheckInterval.
func (d *Discovery) recheckRecords(ctx context.Context, now time.Time) {
	d.mu.Lock()
	due := now.Sub(d.lastRecheck) >= minRecheckInterval
	if due {
		d.lastRecheck = now
	}
	d.mu.Unlock()
	if due && d.Joined() && !d.leaving.Load() {
		d.tryReadRecords(ctx, now, false)
	}
}

// readAfterRegister reads the records of the nodes that registered before this one. It
// makes any two nodes find each other, since the one that registers later sees the record
// of the other. A stale list, which costs less, is enough if it contains the record that
// this node has just written; otherwise a linearizable one is read.
func (d *Discovery) readAfterRegister(ctx context.Context) error {
	found, err := d.readRecords(ctx, time.Now(), true)
	if err == nil && !found {
		_, err = d.readRecords(ctx, time.Now(), false)
	}
	return err
}

// tryReadRecords reads all records and logs an error.
func (d *Discovery) tryReadRecords(ctx context.Context, now time.Time, stale bool) {
	if _, err := d.readRecords(ctx, now, stale); err != nil {
		d.Log.Debug().Err(err).Msg("cannot read the records of the nodes")
	}
}

// leaveOutRecord reports a record that cannot be used. This node writes its own again.
func (d *Discovery) leaveOutRecord(ctx context.Context, now time.Time, item kvstore.Item, problem error) {
	d.LeftOut.Report(now, "node record", item.Key, item.Revision, problem)
	if item.Key != KeyPrefix+d.Self.Name || !d.Joined() || d.leaving.Load() {
		return
	}
	if err := d.register(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("cannot write the record of this node")
	}
}

// readRecords reads and applies all records, and reports whether the record of this
// incarnation is among them. Nodes whose records have been missing for the removal timeout
// are removed. A record that cannot be used counts as missing: what nodes report themselves
// keeps those that live.
func (d *Discovery) readRecords(ctx context.Context, now time.Time, stale bool) (bool, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	result, err := d.Store.List(call, KeyPrefix, stale)
	cancel()
	if err != nil {
		return false, err
	}
	for _, o := range result.LeftOut {
		d.LeftOut.Report(now, "item of the store", o.Key, o.Revision, o.Err)
	}
	found := false
	var list []nodetable.Presence
	for _, item := range result.Items {
		r, err := decodeRecord(item)
		if err != nil {
			d.leaveOutRecord(ctx, now, item, err)
			continue
		}
		list = append(list, nodetable.Presence{Record: r})
		found = found || r == d.Self
	}
	d.merge(list, func(p nodetable.Presence) bool { return d.table.AddRecord(p.Record) })
	d.ApplyList(now, nodetable.StoreList, "", addresses(list))
	d.mu.Lock()
	d.lastRead = now
	d.mu.Unlock()
	return found, nil
}
