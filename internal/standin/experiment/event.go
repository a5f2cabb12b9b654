package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/standin/cluster"
	"filbertturn.example/filbertturn/internal/standin/fault"
	"filbertturn.example/filbertturn/internal/standin/scenario"
)

const (
	floorPercent = 50
	queueWait    = 200 * time.Millisecond
	probeText    = `"Status":"ok"`
)

// events makes happen what the scenario says, at its moments.
func (r *run) events(ctx context.Context) {
	fleet := r.Policy == Fleet
	if fleet && r.Scenario.Event == scenario.StoreAway {
		r.note(cluster.SetStoreOutage(ctx, r.cluster.Store(), true))
	}
	if !pause(ctx, time.Until(r.start.Add(scenario.FaultAt))) {
		return
	}
	for _, b := range r.cluster.BackendServers[:r.Scenario.Faulty] {
		r.note(r.experiment.remote.Set(ctx, b, r.Scenario.Fault))
	}
	last := r.experiment.settings.Nodes - 1
	switch r.Scenario.Event {
	case scenario.Late:
		r.note(r.cluster.StartLate())
	case scenario.Cut:
		if fleet {
			r.note(r.cut(ctx, last))
		}
	case scenario.Freeze:
		if fleet {
			r.note(r.cluster.Node(last).Freeze())
			pause(ctx, scenario.FreezeTime)
			r.note(r.cluster.Node(last).Thaw())
		}
	case scenario.None, scenario.StoreAway:
	}
}

// cut keeps a node from a backend server that it owns.
func (r *run) cut(ctx context.Context, node int) error {
	s, err := cluster.GetStatus(ctx, r.cluster.Admins[node])
	if err != nil {
		return err
	}
	if len(s.BackendServers) == 0 {
		return fmt.Errorf("node %s owns no backend server", r.cluster.Admins[node])
	}
	deaf := fault.Setting{Deaf: []int{r.cluster.NodeID(node)}}
	return r.experiment.remote.Set(ctx, s.BackendServers[0].BackendServer, deaf)
}

func (r *run) note(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, fmt.Errorf("experiment: event: %w", err))
}

// configuration returns the set that the fleet runs in a case.
func configuration(c Case) set.Set {
	s := set.Set{
		Routes: []set.Route{{Name: "crews", Prefix: "/" + service, Pool: service, Timeout: scenario.Timeout}},
		Pools: []set.Pool{{
			Name:      service,
			Service:   service,
			Floor:     floorPercent,
			QueueWait: queueWait,
			Probe:     set.Probe{Contains: probeText},
		}},
	}
	for _, x := range c.Scenario.Customers(c.Deployment) {
		hash := sha256.Sum256([]byte(x.Key))
		s.Customers = append(s.Customers, set.Customer{Name: x.Name, Limit: x.Name})
		s.Keys = append(s.Keys, set.Key{Name: x.Name, Customer: x.Name, Hash: hex.EncodeToString(hash[:])})
		s.Limits = append(s.Limits, set.Limit{Name: x.Name, Rate: x.Limit, Burst: x.Burst})
	}
	return s
}
