package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/node/depot"
)

// Prefix is that of the records in the depot.
const Prefix = "filbertturn/nodes/"

const (
	recordTTL = 12 * time.Second // Three renewals.
	renewal   = 4 * time.Second  // Time between two renewals of the record's lease.
	callTime  = 1500 * time.Millisecond

	review     = 10 * time.Second // Time between two reads of all records by a super-peer.
	reviewLife = 2 * review       // Time for which a read tells who there is.

	// doubtPause is the least time between two reads for the sake of nodes that
	// are silent.
	doubtPause = 3 * time.Second
)

// Start joins the fleet and keeps the record until ctx ends.
func (d *Discovery) Start(ctx context.Context, timers *timer.Service) {
	go d.join(ctx)
	timers.Subscribe(renewal, func(timer.Tick) { d.renew(ctx) })
	timers.Subscribe(review+rand.N(renewal), func(t timer.Tick) { d.review(ctx, t.Now) })
}

func (d *Discovery) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.register(ctx)
		if err == nil {
			err = d.readAfterRegister(ctx)
		}
		if err == nil {
			d.joined.Store(true)
			d.Log.Info().Int("Nodes", d.Nodes()).Msg("joined the fleet")
			d.Announce(ctx)
			return
		}
		d.Log.Warn().Err(err).Msg("cannot join the fleet yet")
		if d.Nodes() > 1 && d.joined.CompareAndSwap(false, true) {
			d.Log.Warn().Int("Nodes", d.Nodes()).Msg("joined the fleet through other nodes; the store is away")
		}
		timer.Sleep(ctx, askPause/2+rand.N(askPause/2))
	}
}

// register writes the record under a new lease.
func (d *Discovery) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	lease, err := d.Depot.Grant(ctx, recordTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(d.Self)
	if err != nil {
		return err
	}
	if err := d.Depot.Put(ctx, Prefix+d.Self.Name, value, lease.ID); err != nil {
		return err
	}
	d.mu.Lock()
	d.lease = lease.ID
	d.mu.Unlock()
	return nil
}

func (d *Discovery) renew(ctx context.Context) {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	if lease == 0 || d.leaving.Load() {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTime)
	err := d.Depot.Keep(call, lease)
	cancel()
	if !errors.Is(err, depot.ErrNoLease) {
		return
	}
	d.Log.Warn().Msg("the lease of this node's record has ended; it is written again")
	if err := d.register(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("cannot write this node's record")
	}
}

// withdraw removes the record.
func (d *Discovery) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if err := d.Depot.Remove(ctx, Prefix+d.Self.Name); err != nil {
		d.Log.Warn().Err(err).Msg("cannot remove this node's record; its lease will end")
	}
}

// review lets the node that the others of the data centre consult read all records,
// for nodes that no bulletin tells of and for those that are gone.
func (d *Discovery) review(ctx context.Context, now time.Time) {
	if d.Joined() && !d.leaving.Load() && d.Leads() {
		d.reread(ctx, now, true)
	}
}

// Doubt reads all records because a node is silent, so that one which is gone is
// soon forgotten.
func (d *Discovery) Doubt(ctx context.Context, now time.Time) {
	d.mu.Lock()
	due := now.Sub(d.doubted) >= doubtPause
	if due {
		d.doubted = now
	}
	d.mu.Unlock()
	if due && d.Joined() && !d.leaving.Load() {
		d.reread(ctx, now, false)
	}
}

// readAfterRegister reads the records of those that registered before this node. Any
// two nodes find each other, since the later one sees the record of the other. A
// stale list does as well if it has the record that this node wrote before.
func (d *Discovery) readAfterRegister(ctx context.Context) error {
	found, err := d.read(ctx, time.Now(), true)
	if err == nil && !found {
		_, err = d.read(ctx, time.Now(), false)
	}
	return err
}

func (d *Discovery) reread(ctx context.Context, now time.Time, stale bool) {
	if _, err := d.read(ctx, now, stale); err != nil {
		d.Log.Debug().Err(err).Msg("records of the nodes cannot be read")
	}
}

// read takes in all records, and reports whether that of this incarnation is among
// them. Whatever they lack for a while is gone.
func (d *Discovery) read(ctx context.Context, now time.Time, stale bool) (bool, error) {
	call, cancel := context.WithTimeout(ctx, callTime)
	page, err := d.Depot.List(call, Prefix, stale)
	cancel()
	if err != nil {
		return false, err
	}
	found := false
	var list []nodetable.Presence
	for _, item := range page.Items {
		var r nodetable.Record
		if err := json.Unmarshal(item.Value, &r); err != nil || !r.Address.IsValid() {
			continue
		}
		list = append(list, nodetable.Presence{Record: r})
		found = found || r == d.Self
	}
	d.learn(list, func(p nodetable.Presence) bool { return d.table.AddRecord(p.Record) })
	d.Complete(now, nodetable.StoreList, "", addresses(list))
	d.mu.Lock()
	d.reviewed = now
	d.mu.Unlock()
	return found, nil
}
