// Package codec encodes and decodes digests and heads. The size of all input is bounded.
// Decoding returns either a complete value or an error.
package codec

import (
	"net/netip"

	"filbertturn.example/filbertturn/internal/fleet/fleetpb"
	"filbertturn.example/filbertturn/internal/fleet/member"
)

const (
	// MaxMembers is the maximum number of members in one list.
	MaxMembers = 8192

	// MaxPending is the maximum number of pending rosters.
	MaxPending = 256

	// MaxName is the maximum length of the name of a DataCentre or region, and of a
	// content address, in bytes.
	MaxName = 255

	// MaxDigest is the maximum length of an encoded digest, in bytes.
	MaxDigest = 128 << 10

	// MaxHead is the maximum length of an encoded head, in bytes. The store holds
	// values of up to a megabyte.
	MaxHead = 1 << 20
)

// Error reports that a message could not be decoded: which field is invalid, and why.
type Error struct {
	Message string // Name of the message.
	Field   string // Path of the field; empty if the message as a whole is invalid.
	Problem string
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Message + ": " + e.Problem
	}
	return e.Message + "." + e.Field + ": " + e.Problem
}

func memberToWire(m member.Member) *fleetpb.Member {
	return &fleetpb.Member{
		Ip:          m.Address.Addr().AsSlice(),
		Port:        uint32(m.Address.Port()),
		Incarnation: m.Incarnation,
		DataCentre:  m.DataCentre,
		Region:      m.Region,
	}
}

func memberFromWire(message, field string, w *fleetpb.Member) (member.Member, error) {
	ip, ok := netip.AddrFromSlice(w.GetIp())
	switch {
	case !ok:
		return member.Member{}, &Error{message, field + ".ip", "not 4 or 16 bytes"}
	case w.GetPort() > 0xffff:
		return member.Member{}, &Error{message, field + ".port", "above 65535"}
	case len(w.GetDataCentre()) > MaxName || len(w.GetRegion()) > MaxName:
		return member.Member{}, &Error{message, field, "name too long"}
	}
	return member.Member{
		Address:     netip.AddrPortFrom(ip, uint16(w.GetPort())),
		Incarnation: w.GetIncarnation(),
		DataCentre:  w.GetDataCentre(),
		Region:      w.GetRegion(),
	}, nil
}
