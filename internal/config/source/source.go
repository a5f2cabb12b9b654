// Package source decides which peer a node fetches a newer configuration from.
package source

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxPeers bounds the memory. One of many is enough to fetch from.
	maxPeers = 64

	// lifetime is the time for which an announcement counts. A peer announces its version again with
	// each of its replies.
	lifetime = 5 * time.Second
)

// Sources remembers which peers announced which version. The zero value is ready for use. It is not safe
// for concurrent use.
type Sources struct {
	peers map[netip.AddrPort]peer
	left  map[netip.AddrPort]time.Time // Ends of the times for which peers are left out.
}

// peer is the latest announcement of a peer.
type peer struct {
	version uint64
	heard   time.Time
	hearsay bool // Another peer said so.
}

// Announce records that a peer says that it has a version.
func (s *Sources) Announce(now time.Time, a netip.AddrPort, version uint64) {
	s.add(now, a, peer{version, now, false})
}

// Refer records that another peer says that a peer may have a version.
func (s *Sources) Refer(now time.Time, a netip.AddrPort, version uint64) {
	if version > s.peers[a].version {
		s.add(now, a, peer{version, now, true})
	}
}

// Announced returns the version that a peer says that it has; zero if it said nothing.
func (s *Sources) Announced(a netip.AddrPort) uint64 {
	if p := s.peers[a]; !p.hearsay {
		return p.version
	}
	return 0
}

func (s *Sources) add(now time.Time, a netip.AddrPort, p peer) {
	if s.peers == nil {
		s.peers = make(map[netip.AddrPort]peer)
	}
	s.peers[a] = p
	maps.DeleteFunc(s.peers, func(_ netip.AddrPort, p peer) bool { return now.Sub(p.heard) > lifetime })
	if len(s.peers) > maxPeers {
		delete(s.peers, s.oldest())
	}
}

// oldest returns the peer with the oldest version, or of several the one that was heard first.
func (s *Sources) oldest() (oldest netip.AddrPort) {
	var least *peer
	for a, p := range s.peers {
		if least == nil || p.version < least.version || p.version == least.version && p.heard.Before(least.heard) {
			oldest, least = a, &p
		}
	}
	return oldest
}

// LeaveOut lets Choose pass over a peer until a time, unless it is passed over for longer already.
func (s *Sources) LeaveOut(now time.Time, a netip.AddrPort, until time.Time) {
	if s.left == nil {
		s.left = make(map[netip.AddrPort]time.Time)
	}
	maps.DeleteFunc(s.left, func(_ netip.AddrPort, end time.Time) bool { return !now.Before(end) })
	if until.After(s.left[a]) {
		s.left[a] = until
	}
}

// IsLeftOut reports whether a peer is passed over at a time.
func (s *Sources) IsLeftOut(now time.Time, a netip.AddrPort) bool {
	return now.Before(s.left[a])
}

// Choose returns a peer that has a version newer than the given one. Those with the newest come first, then those
// in near, the nodes of this data centre; pick draws one of the n that are equally good. It returns false if
// there is none.
func (s *Sources) Choose(now time.Time, than uint64, near []netip.AddrPort, pick func(n int) int) (a netip.AddrPort, isNear, ok bool) {
	var newest uint64
	var list, nearList []netip.AddrPort
	for a, p := range s.peers {
		if p.version <= than || p.version < newest || now.Sub(p.heard) > lifetime || s.IsLeftOut(now, a) {
			continue
		}
		if p.version > newest {
			newest, list, nearList = p.version, nil, nil
		}
		list = append(list, a)
		if slices.Contains(near, a) {
			nearList = append(nearList, a)
		}
	}
	if len(nearList) > 0 {
		list, isNear = nearList, true
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false, false
	}
	// The order of a map would make the choice depend on more than pick.
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list[pick(len(list))], isNear, true
}
