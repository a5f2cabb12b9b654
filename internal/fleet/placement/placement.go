// Package placement chooses members for keys by rendezvous hashing. All nodes
// with the same members choose alike, and a member that joins or leaves moves
// only the keys that it gains or loses.
package placement

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"filbertturn.example/filbertturn/internal/fleet/member"
)

// scored is the place of a member in a list, with its score for one key.
type scored struct {
	score uint64
	place int
}

// scores returns the score of each member for key, in the given order. The score
// depends on the address alone, so that a restart moves no key.
func scores(key string, members []member.Member) []scored {
	buf := make([]byte, 0, len(key)+18)
	buf = append(buf, key...)
	out := make([]scored, len(members))
	for i, m := range members {
		address := m.Address.Addr().As16()
		buf = append(buf[:len(key)], address[:]...)
		buf = binary.BigEndian.AppendUint16(buf, m.Address.Port())
		out[i] = scored{score: xxhash.Sum64(buf), place: i}
	}
	return out
}

// compare puts the higher score first; equal scores go by Member.Compare.
func compare(members []member.Member, a, b scored) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return members[a.place].Compare(members[b.place])
}

// Rank returns the members in the order of preference for key. The order does
// not depend on the order of members.
func Rank(key string, members []member.Member) []member.Member {
	all := scores(key, members)
	slices.SortFunc(all, func(a, b scored) int { return compare(members, a, b) })
	out := make([]member.Member, len(all))
	for i, s := range all {
		out[i] = members[s.place]
	}
	return out
}

// Nearest returns the members of dataCentre in the order of Rank, followed by
// all others in the order of Rank.
func Nearest(key, dataCentre string, members []member.Member) []member.Member {
	ranked := Rank(key, members)
	out := make([]member.Member, 0, len(ranked))
	for _, near := range []bool{true, false} {
		for _, m := range ranked {
			if (m.DataCentre == dataCentre) == near {
				out = append(out, m)
			}
		}
	}
	return out
}

// Homes returns the first member of Rank in each DataCentre of the roster,
// sorted by the name of the DataCentre.
func Homes(key string, roster []member.Member) []member.Member {
	best := make(map[string]scored)
	for _, s := range scores(key, roster) {
		dataCentre := roster[s.place].DataCentre
		have, ok := best[dataCentre]
		if !ok || compare(roster, s, have) < 0 {
			best[dataCentre] = s
		}
	}
	out := make([]member.Member, 0, len(best))
	for _, s := range best {
		out = append(out, roster[s.place])
	}
	slices.SortFunc(out, func(a, b member.Member) int {
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	return out
}
