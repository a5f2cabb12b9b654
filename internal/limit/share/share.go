// Package share splits a customer's limit over its homes.
package share

import (
	"github.com/cespare/xxhash/v2"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Share is the part of a limit that one home hands out. The zero value hands
// out nothing.
type Share struct {
	Rate  float64 // Tokens per second.
	Burst int     // Tokens at once.
}

// Split divides a limit over a number of homes. Neither the rates nor the
// bursts of the shares add up to more than the limit. Every share that is not
// zero has a burst of one or more: where the burst is smaller than the number
// of homes, only as many homes as the burst get a share, and the hash of the
// customer's name selects them, so that small customers spread over the homes.
// The same customer, limit and number give the same shares. With the same
// number, a larger burst makes no share's burst smaller.
func Split(customer string, l set.Limit, homes int) []Share {
	if homes <= 0 {
		return nil
	}
	shares := make([]Share, homes)
	if l.Burst <= 0 || !(l.Rate > 0) {
		return shares
	}
	holders := min(l.Burst, homes)
	first := int(xxhash.Sum64String(customer) % uint64(homes))
	for i := range holders {
		burst := l.Burst / homes
		if i < l.Burst%homes {
			burst++
		}
		shares[(first+i)%homes] = Share{Rate: l.Rate / float64(holders), Burst: burst}
	}
	return shares
}

// Min returns the smaller of each part of two shares.
func (s Share) Min(o Share) Share {
	return Share{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}

// IsZero reports whether the share hands out nothing.
func (s Share) IsZero() bool {
	return s.Burst <= 0 || !(s.Rate > 0)
}
