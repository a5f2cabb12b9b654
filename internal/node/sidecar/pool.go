package sidecar

import (
	"context"
	"slices"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
)

// healthPath returns the path of health checks of a service. Before the first configuration it
// waits for one.
func (c *Sidecar) healthPath(service string) string {
	if p := pool(c.syncer.Await(context.Background(), configurationTimeout), service); p.Probe.Path != "" {
		return p.Probe.Path
	}
	return set.DefaultProbePath
}

// coldRate implements executor.Executor.ColdRate by the configuration in force.
func (c *Sidecar) coldRate(service string) (float64, bool) {
	s := c.syncer.Snapshot()
	return pool(s, service).ColdRate, s != nil
}

// pool returns the pool of a service, or the zero value if s, which may be nil, has none.
func pool(s *snapshot.Snapshot, service string) set.Pool {
	if s == nil {
		return set.Pool{}
	}
	pools := s.Set().Pools
	if i := slices.IndexFunc(pools, func(p set.Pool) bool { return p.Service == service }); i >= 0 {
		return pools[i]
	}
	return set.Pool{}
}
