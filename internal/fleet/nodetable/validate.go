package nodetable

import (
	"fmt"
	"net/netip"

	"filbertturn.example/filbertturn/internal/fleet/member"
)

const (
	// maxNameBytes is the length of the longest name in a record. Messages between nodes
	// contain all names, and have a maximum length.
	maxNameBytes = 255

	// maxIncarnation is the start of the year 2100 in Unix nanoseconds. A higher incarnation
	// would outlast all true ones.
	maxIncarnation = 4_102_444_800_000_000_000
)

// RecordError reports a record that describes no node.
type RecordError struct {
	Field   string
	Problem string
}

// Error implements the error interface.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record of a node: %s %s", e.Field, e.Problem)
}

// Validate returns a RecordError if r cannot be the record of a node.
func (r Record) Validate() error {
	for _, name := range []struct {
		field, value string
		optional     bool
	}{{"Name", r.Name, true}, {"DataCentre", r.DataCentre, false}, {"Service", r.Service, false}} {
		switch {
		case name.value == "" && !name.optional:
			return &RecordError{name.field, "is missing"}
		case len(name.value) > maxNameBytes:
			return &RecordError{name.field, fmt.Sprintf("has %d bytes, at most %d", len(name.value), maxNameBytes)}
		}
	}
	switch {
	case !member.IsAddress(r.Address):
		return &RecordError{"Address", fmt.Sprintf("is %s, which no node can have", r.Address)}
	case r.Incarnation > maxIncarnation:
		return &RecordError{"Incarnation", fmt.Sprintf("is %d, at most %d", r.Incarnation, uint64(maxIncarnation))}
	}
	return nil
}

// maxAddressBytes is the length of the longest encoded address of a node: IPv6 and a port.
const maxAddressBytes = 18

// ParseAddress returns the address of a node that netip.AddrPort.MarshalBinary has encoded. It returns a
// RecordError for what no node can have.
func ParseAddress(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if len(b) > maxAddressBytes || a.UnmarshalBinary(b) != nil || !member.IsAddress(a) {
		return netip.AddrPort{}, &RecordError{"Address", fmt.Sprintf("is %.40x in binary, which no node can have", b)}
	}
	return a, nil
}
