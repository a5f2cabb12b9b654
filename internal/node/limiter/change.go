package limiter

import (
	"slices"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/placement"
	"filbertturn.example/filbertturn/internal/limit/lender"
	"filbertturn.example/filbertturn/internal/limit/share"
	"filbertturn.example/filbertturn/internal/node/membership"
)

// ApplyChange applies a change of the head to the shards of this node's homes.
func (l *Limiter) ApplyChange(c membership.Change) {
	change := lender.HeadChange{Sequence: c.New.Sequence, Epoch: c.New.Epoch, FromEpoch: c.Old.Epoch}
	if c.Old.Sequence > 0 && c.New.Epoch <= c.Old.Epoch+1 {
		change.KeptShare = l.keptShare(c)
		change.ResizedShare = resizedShare(c)
	}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.lender.ApplyHead(change)
		s.sequence = c.New.Sequence
		s.mu.Unlock()
	}
}

// holderView decides whether this node had a share of a customer's limit under one
// head. It keeps no reference to the configuration, so that old configurations can
// be garbage-collected.
type holderView struct {
	roster []member.Member

	// smallBursts holds the bursts of the customers for which some homes may have
	// no share, because the burst is smaller than the number of homes.
	smallBursts map[string]int
}

// keptShare returns a function that reports whether this node has a share of a
// customer's limit both before and after a change.
func (l *Limiter) keptShare(c membership.Change) func(string) bool {
	before := holderView{c.Old.Roster, smallBursts(c.OldConfig, c.NewConfig, dataCentres(c.Old.Roster))}
	after := holderView{c.New.Roster, smallBursts(c.NewConfig, c.OldConfig, dataCentres(c.New.Roster))}
	return func(customer string) bool {
		return before.holdsShare(l.Self, customer) && after.holdsShare(l.Self, customer)
	}
}

func (v holderView) holdsShare(self member.Member, customer string) bool {
	homes := placement.PerDataCentre(customer, v.roster)
	i := slices.Index(homes, self)
	if i < 0 {
		return false
	}
	burst, small := v.smallBursts[customer]
	if !small {
		return true
	}
	// Any positive rate will do: whether a share is zero depends on the burst only.
	return !share.Split(customer, set.Limit{Rate: 1, Burst: burst}, len(homes))[i].IsZero()
}

// smallBursts returns the bursts of the customers of a configuration whose burst
// is smaller than the number of homes. Customers that only the other configuration
// has are included with a burst of zero.
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

// resizedShare returns a function that reports whether the size of a customer's
// share may have changed, or nil if no share did. Like holderView, the function
// keeps no reference to the configurations.
func resizedShare(c membership.Change) func(string) bool {
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
