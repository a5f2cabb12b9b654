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

// Record is the form of a head in the store. It lists each member once, since
// most are in several rosters; the rosters hold places in Members.
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
	places := make(map[member.Member]uint32, len(members))
	for i, m := range members {
		places[m] = uint32(i)
	}
	place := func(list []member.Member) []uint32 {
		out := make([]uint32, len(list))
		for i, m := range list {
			out[i] = places[m]
		}
		return out
	}
	r := Record{
		Sequence: h.Sequence, Revision: h.Revision, Manifest: h.Manifest, Epoch: h.Epoch,
		Members: members, Roster: place(h.Roster), Ended: place(h.Ended),
	}
	for _, roster := range h.Pending {
		r.Pending = append(r.Pending, place(roster))
	}
	return r
}

// Head returns the head that r records, or an *Error.
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
	if h.Roster, err = r.list("Roster", r.Roster); err != nil {
		return head.Head{}, err
	}
	if h.Ended, err = r.list("Ended", r.Ended); err != nil {
		return head.Head{}, err
	}
	for i, places := range r.Pending {
		roster, err := r.list(fmt.Sprintf("Pending[%d]", i), places)
		if err != nil {
			return head.Head{}, err
		}
		h.Pending = append(h.Pending, roster)
	}
	return h, nil
}

// list returns the members at places, which must grow, so that no member stands
// twice and the order is that of Member.Compare.
func (r Record) list(field string, places []uint32) ([]member.Member, error) {
	var out []member.Member
	for i, p := range places {
		if int64(p) >= int64(len(r.Members)) || i > 0 && places[i-1] >= p {
			return nil, &Error{headMessage, fmt.Sprintf("%s[%d]", field, i), "no such member or out of order"}
		}
		out = append(out, r.Members[p])
	}
	return out, nil
}

// MarshalHead returns the text that the store holds for h. Equal heads give
// equal texts.
func MarshalHead(h head.Head) ([]byte, error) {
	return json.Marshal(NewRecord(h))
}

// UnmarshalHead returns the head whose text is b, or an *Error.
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

// EncodeHead returns the bytes of h for a peer.
func EncodeHead(h head.Head) ([]byte, error) {
	return proto.Marshal(HeadToWire(h))
}

// DecodeHead returns the head that b holds, or an *Error.
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

// HeadToWire returns the protobuf message of h, for use inside another one.
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
	for _, places := range r.Pending {
		w.Pending = append(w.Pending, &fleetpb.Roster{Members: places})
	}
	return w
}

// HeadFromWire returns the head that w holds, or an *Error.
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
