// Package placement ranks the members of a roster for a key by rendezvous (highest
// random weight) hashing. Nodes with the same members compute the same ranking, and a
// member that joins or leaves moves only the keys that it gains or loses.
package placement

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"filbertturn.example/filbertturn/internal/fleet/member"
)

// candidate is a member, by its index in a list, with its score for one key.
type candidate struct {
	score uint64
	index int
}

// candidates returns the members with their scores for key, in the given order. The
// score depends on the key and the address alone, so that a restart of a member moves
// no key.
func candidates(key string, members []member.Member) []candidate {
	buf := make([]byte, 0, len(key)+18)
	buf = append(buf, key...)
	out := make([]candidate, len(members))
	for i, m := range members {
		address := m.Address.Addr().As16()
		buf = append(buf[:len(key)], address[:]...)
		buf = binary.BigEndian.AppendUint16(buf, m.Address.Port())
		out[i] = candidate{score: xxhash.Sum64(buf), index: i}
	}
	return out
}

// compare orders candidates by falling score; ties are broken by Member.Compare.
func compare(members []member.Member, a, b candidate) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return members[a.index].Compare(members[b.index])
}

// Rank returns the members in the order of preference for key, which does not
// depend on the order of the argument.
func Rank(key string, members []member.Member) []member.Member {
	all := candidates(key, members)
	slices.SortFunc(all, func(a, b candidate) int { return compare(members, a, b) })
	out := make([]member.Member, len(all))
	for i, s := range all {
		out[i] = members[s.index]
	}
	return out
}

// Nearest returns the members of dataCentre in the order of Rank, followed by all
// other members in the order of Rank.
func Nearest(key, dataCentre string, members []member.Member) []member.Member {
	ranked := Rank(key, members)
	out := make([]member.Member, 0, len(ranked))
	for _, local := range []bool{true, false} {
		for _, m := range ranked {
			if (m.DataCentre == dataCentre) == local {
				out = append(out, m)
			}
		}
	}
	return out
}

// PerDataCentre returns the first member of Rank in each DataCentre of the roster, sorted by
// the name of the DataCentre.
func PerDataCentre(key string, roster []member.Member) []member.Member {
	best := make(map[string]candidate)
	for _, s := range candidates(key, roster) {
		dataCentre := roster[s.index].DataCentre
		previous, ok := best[dataCentre]
		if !ok || compare(roster, s, previous) < 0 {
			best[dataCentre] = s
		}
	}
	out := make([]member.Member, 0, len(best))
	for _, s := range best {
		out = append(out, roster[s.index])
	}
	slices.SortFunc(out, func(a, b member.Member) int {
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	return out
}
