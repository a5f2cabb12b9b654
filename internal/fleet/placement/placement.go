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

// scored is a member with its score for one key.
type scored struct {
	member member.Member
	score  uint64
}

// compare puts the higher score first; equal scores go by Member.Compare.
func (s scored) compare(o scored) int {
	if c := cmp.Compare(o.score, s.score); c != 0 {
		return c
	}
	return s.member.Compare(o.member)
}

// scores returns the members with their scores for key, in the given order.
// The score depends on the address alone, so that a restart moves no key.
func scores(key string, members []member.Member) []scored {
	buf := make([]byte, 0, len(key)+18)
	buf = append(buf, key...)
	out := make([]scored, len(members))
	for i, m := range members {
		address := m.Address.Addr().As16()
		buf = append(buf[:len(key)], address[:]...)
		buf = binary.BigEndian.AppendUint16(buf, m.Address.Port())
		out[i] = scored{member: m, score: xxhash.Sum64(buf)}
	}
	return out
}

func ordered(in []scored) []member.Member {
	out := make([]member.Member, len(in))
	for i, s := range in {
		out[i] = s.member
	}
	return out
}

// Rank returns the members in the order of preference for key. The order does
// not depend on the order of members.
func Rank(key string, members []member.Member) []member.Member {
	all := scores(key, members)
	slices.SortFunc(all, scored.compare)
	return ordered(all)
}

// Nearest returns the members of dataCentre in the order of Rank, followed by
// all others in the order of Rank.
func Nearest(key, dataCentre string, members []member.Member) []member.Member {
	all := scores(key, members)
	slices.SortFunc(all, func(a, b scored) int {
		near, far := a.member.DataCentre == dataCentre, b.member.DataCentre == dataCentre
		switch {
		case near && !far:
			return -1
		case far && !near:
			return 1
		}
		return a.compare(b)
	})
	return ordered(all)
}

// Homes returns the first member of Rank in each DataCentre of the roster,
// sorted by the name of the DataCentre.
func Homes(key string, roster []member.Member) []member.Member {
	best := make(map[string]scored)
	for _, s := range scores(key, roster) {
		have, ok := best[s.member.DataCentre]
		if !ok || s.compare(have) < 0 {
			best[s.member.DataCentre] = s
		}
	}
	out := make([]member.Member, 0, len(best))
	for _, s := range best {
		out = append(out, s.member)
	}
	slices.SortFunc(out, func(a, b member.Member) int {
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	return out
}
