package codec

import (
	"encoding/json"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/fleetpb"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
)

const headMessage = "Head"

// Record is the JSON form of a head in the store. It lists each member once, since most
// are in several rosters; the rosters hold indexes into Members.
type Record struct {
	Sequence uint64
	Revision uint64
	Manifest string
	Epoch    uint64
	Members  []member.Member
	Roster   []uint32
	Pending  [][]uint32
	Ended    []uint32
}

// NewRecord returns the record of h.
func NewRecord(h head.Head) Record {
	members := slices.Concat(append([][]member.Member{h.Roster, h.Ended}, h.Pending...)...)
	slices.SortFunc(members, member.Member.Compare)
	members = slices.Compact(members)
	indexes := make(map[member.Member]uint32, len(members))
	for i, m := range members {
		indexes[m] = uint32(i)
	}
	indexesOf := func(list []member.Member) []uint32 {
		out := make([]uint32, len(list))
		for i, m := range list {
			out[i] = indexes[m]
		}
		return out
	}
	r := Record{
		Sequence: h.Sequence, Revision: h.Revision, Manifest: h.Manifest, Epoch: h.Epoch,
		Members: members, Roster: indexesOf(h.Roster), Ended: indexesOf(h.Ended),
	}
	for _, roster := range h.Pending {
		r.Pending = append(r.Pending, indexesOf(roster))
	}
	return r
}

// Head returns the head that r represents. It returns an *Error if r is invalid.
func (r Record) Head() (head.Head, error) {
	h := head.Head{Sequence: r.Sequence, Revision: r.Revision, Manifest: r.Manifest, Epoch: r.Epoch}
	switch {
	case len(r.Members) > MaxMembers:
		return head.Head{}, &Error{headMessage, "Members", "too many"}
	case len(r.Pending) > MaxPending:
		return head.Head{}, &Error{headMessage, "Pending", "too many"}
	case len(r.Manifest) > MaxName:
		return head.Head{}, &Error{headMessage, "Manifest", "too long"}
	}
	for i, m := range r.Members {
		if !m.Address.IsValid() || i > 0 && r.Members[i-1].Compare(m) >= 0 {
			return head.Head{}, &Error{headMessage, fmt.Sprintf("Members[%d]", i), "without address or out of order"}
		}
	}
	var err error
	if h.Roster, err = r.resolve("Roster", r.Roster); err != nil {
		return head.Head{}, err
	}
	if h.Ended, err = r.resolve("Ended", r.Ended); err != nil {
		return head.Head{}, err
	}
	for i, indexes := range r.Pending {
		roster, err := r.resolve(fmt.Sprintf("Pending[%d]", i), indexes)
		if err != nil {
			return head.Head{}, err
		}
		h.Pending = append(h.Pending, roster)
	}
	return h, nil
}

// resolve returns the members at the given indexes, which must be strictly increasing,
// so that no member is listed twice and the order is that of Member.Compare.
func (r Record) resolve(field string, indexes []uint32) ([]member.Member, error) {
	var out []member.Member
	for i, p := range indexes {
		if int64(p) >= int64(len(r.Members)) || i > 0 && indexes[i-1] >= p {
			return nil, &Error{headMessage, fmt.Sprintf("%s[%d]", field, i), "no such member or out of order"}
		}
		out = append(out, r.Members[p])
	}
	return out, nil
}

// MarshalHead returns h in the JSON encoding of the store. Equal heads have equal
// encodings.
func MarshalHead(h head.Head) ([]byte, error) {
	return json.Marshal(NewRecord(h))
}

// UnmarshalHead decodes a head in the JSON encoding of the store. It returns an *Error if
// b is invalid.
func UnmarshalHead(b []byte) (head.Head, error) {
	if len(b) > MaxHead {
		return head.Head{}, &Error{headMessage, "", "too long"}
	}
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return head.Head{}, &Error{headMessage, "", err.Error()}
	}
	return r.Head()
}

// EncodeHead returns h in protobuf encoding, as sent to peers.
func EncodeHead(h head.Head) ([]byte, error) {
	return proto.Marshal(HeadToWire(h))
}

// DecodeHead decodes a head in protobuf encoding. It returns an *Error if b is invalid.
func DecodeHead(b []byte) (head.Head, error) {
	if len(b) > MaxHead {
		return head.Head{}, &Error{headMessage, "", "too long"}
	}
	w := new(fleetpb.Head)
	if err := proto.Unmarshal(b, w); err != nil {
		return head.Head{}, &Error{headMessage, "", err.Error()}
	}
	return HeadFromWire(w)
}

// HeadToWire returns h as a protobuf message, to be embedded in another one.
func HeadToWire(h head.Head) *fleetpb.Head {
	r := NewRecord(h)
	w := &fleetpb.Head{
		Sequence: r.Sequence, Revision: r.Revision, Manifest: r.Manifest, Epoch: r.Epoch,
		Roster: &fleetpb.Roster{Members: r.Roster},
		Ended:  &fleetpb.Roster{Members: r.Ended},
	}
	for _, m := range r.Members {
		w.Members = append(w.Members, memberToWire(m))
	}
	for _, indexes := range r.Pending {
		w.Pending = append(w.Pending, &fleetpb.Roster{Members: indexes})
	}
	return w
}

// HeadFromWire returns the head in a protobuf message. It returns an *Error if w is
// invalid.
func HeadFromWire(w *fleetpb.Head) (head.Head, error) {
	if len(w.GetMembers()) > MaxMembers {
		return head.Head{}, &Error{headMessage, "Members", "too many"}
	}
	r := Record{
		Sequence: w.GetSequence(), Revision: w.GetRevision(), Manifest: w.GetManifest(), Epoch: w.GetEpoch(),
		Roster: w.GetRoster().GetMembers(), Ended: w.GetEnded().GetMembers(),
	}
	for i, m := range w.GetMembers() {
		got, err := memberFromWire(headMessage, fmt.Sprintf("Members[%d]", i), m)
		if err != nil {
			return head.Head{}, err
		}
		r.Members = append(r.Members, got)
	}
	for _, roster := range w.GetPending() {
		r.Pending = append(r.Pending, roster.GetMembers())
	}
	return r.Head()
}
