package limiter

import (
	"slices"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/placement"
	"filbertturn.example/filbertturn/internal/limit/home"
	"filbertturn.example/filbertturn/internal/limit/share"
	"filbertturn.example/filbertturn/internal/node/membership"
)

// Changed tells the homes of a new head.
func (l *Limiter) Changed(c membership.Change) {
	step := home.Step{Sequence: c.New.Sequence, Epoch: c.New.Epoch, From: c.Old.Epoch}
	if c.Old.Sequence > 0 && c.New.Epoch <= c.Old.Epoch+1 {
		step.Kept = l.kept(c)
		step.Resized = resized(c)
	}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.home.Begin(step)
		s.sequence = c.New.Sequence
		s.mu.Unlock()
	}
}

// tenure is what decides whether this node had a share of a customer's limit
// under one head. It does not hold on to the configuration.
type tenure struct {
	roster []member.Member

	// bursts holds the customers of which some homes may have no share.
	bursts map[string]int
}

// kept returns whether this node had a share before and after a change.
func (l *Limiter) kept(c membership.Change) func(string) bool {
	before := tenure{c.Old.Roster, smallBursts(c.OldConfig, c.NewConfig, dataCentres(c.Old.Roster))}
	after := tenure{c.New.Roster, smallBursts(c.NewConfig, c.OldConfig, dataCentres(c.New.Roster))}
	return func(customer string) bool {
		return before.held(l.Self, customer) && after.held(l.Self, customer)
	}
}

func (t tenure) held(self member.Member, customer string) bool {
	homes := placement.PerDataCentre(customer, t.roster)
	i := slices.Index(homes, self)
	if i < 0 {
		return false
	}
	burst, small := t.bursts[customer]
	if !small {
		return true
	}
	// Whether a share is zero does not depend on how high the rate is.
	return !share.Split(customer, set.Limit{Rate: 1, Burst: burst}, len(homes))[i].IsZero()
}

// smallBursts returns the customers of a configuration whose burst is smaller
// than the number of homes, and with a burst of zero those that only the other
// configuration has.
func smallBursts(config, other *snapshot.Snapshot, homes []string) map[string]int {
	bursts := make(map[string]int)
	if other != nil && other != config {
		for _, customer := range other.Set().Customers {
			bursts[customer.Name] = 0
		}
	}
	if config == nil {
		return bursts
	}
	for _, customer := range config.Set().Customers {
		limit, ok := config.Limit(customer.Name)
		if ok && limit.Burst >= len(homes) {
			delete(bursts, customer.Name)
			continue
		}
		bursts[customer.Name] = limit.Burst
	}
	return bursts
}

// resized returns whether a customer's share may differ from that before a
// change. The returned function does not hold on to the configurations.
func resized(c membership.Change) func(string) bool {
	skipped := c.New.Revision > c.Old.Revision+1
	if skipped || !slices.Equal(dataCentres(c.Old.Roster), dataCentres(c.New.Roster)) {
		return func(string) bool { return true }
	}
	if c.OldConfig == c.NewConfig {
		return nil
	}
	changed := make(map[string]bool)
	if c.NewConfig != nil {
		for _, customer := range c.NewConfig.Set().Customers {
			after, _ := c.NewConfig.Limit(customer.Name)
			var before set.Limit
			if c.OldConfig != nil {
				before, _ = c.OldConfig.Limit(customer.Name)
			}
			if before.Rate != after.Rate || before.Burst != after.Burst {
				changed[customer.Name] = true
			}
		}
	}
	return func(customer string) bool { return changed[customer] }
}

func dataCentres(roster []member.Member) []string {
	names := make([]string, 0, len(roster))
	for _, m := range roster {
		names = append(names, m.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
