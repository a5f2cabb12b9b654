// Package share divides a customer's limit into the shares of its homes.
package share

import (
	"github.com/cespare/xxhash/v2"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Share is the part of a customer's limit that one home lends. The zero value
// lends nothing.
type Share struct {
	Rate  float64 // Tokens per second.
	Burst int     // Most tokens at once.
}

// Split divides a limit over a number of homes. Neither the rates nor the
// bursts of the shares add up to more than the limit. Every share that is not
// zero has a burst of at least one: if the burst is smaller than the number of
// homes, only that many homes get a share. They are selected by the hash of the
// customer's name, so that small customers spread over the homes. The result
// depends on the arguments only, and for the same number of homes, a larger burst
// makes no share's burst smaller.
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

// Min returns the smaller rate and the smaller burst of two shares.
func (s Share) Min(o Share) Share {
	return Share{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}

// IsZero reports whether the share lends nothing, because its rate or its burst
// isn't positive.
func (s Share) IsZero() bool {
	return s.Burst <= 0 || !(s.Rate > 0)
}
